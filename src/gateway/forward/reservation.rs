use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::gateway::capacity::{Conditions, Pauses};
use crate::gateway::endpoint::Key;
use crate::gateway::rollout::Attempt;
use crate::gateway::scaler::Prefill;
use crate::gateway::{Fleet, Load, Node};
use crate::rollout::{Outcome, Timing};

use super::choose::Choice;

/// Margin after [`OVERDUE_FACTOR`] times the expected time, beyond which a first event is overdue.
const OVERDUE_MARGIN: Millis = Millis(800);

/// Factor on the expected time to the first event; see [`OVERDUE_MARGIN`].
const OVERDUE_FACTOR: u64 = 2;

/// Time without data from an endpoint, on any response, after which it counts as unresponsive.
const SILENCE_TIMEOUT: Millis = Millis(500);

/// Counts a request at an endpoint, from the decision to send it until it is dropped.
pub(super) struct Reservation {
    node: Arc<Node>,
    pub(super) key: Key,
    pub(super) endpoint: Arc<str>,
    uncached_tokens: u64,
    /// Prompt tokens in the segment that no other request shares.
    unique_tokens: u64,
    sent_at: Millis,
    /// Expected time from sending to the first event.
    expected_first_event: Millis,
    /// What the request met at the endpoint, to measure its speed.
    met: Conditions,
    pauses: Pauses,
    /// Whether the endpoint is still counted as prefilling the prompt.
    prefilling: bool,
    route: Arc<str>,
    /// When the events of the response, or the whole of it, arrived.
    timing: Timing,
    /// The outcome as evidence about the endpoint's version, if the request was not answered.
    failure: Option<Outcome>,
    /// Whether the endpoint was found silent, and has sent no event since.
    silent: bool,
    /// When the request looks for another endpoint next, if this one is silent.
    pub(super) next_look: Millis,
    /// Whether the endpoint was still slow after its start when the request was sent.
    cold: bool,
}

impl Reservation {
    /// Counts a request at the chosen endpoint; returns `None` if the endpoint is gone, or if another
    /// request has taken its turn there.
    pub(super) fn acquire(node: &Arc<Node>, choice: &Choice, route: &Arc<str>) -> Option<Self> {
        let (key, uncached) = (choice.key, choice.uncached_tokens);
        let now = node.clock.now();
        let state = &mut *node.state();
        let endpoint = state.fleet.get_mut(key)?;
        if !endpoint.take_turn(choice.turn) {
            return None;
        }
        endpoint.record_sent();
        endpoint.pending_tokens += uncached;
        let cold = endpoint.cold_left(now) > Millis::ZERO;
        let registration = &endpoint.registration;
        state
            .rollouts
            .record_sent(&registration.service, &registration.version);
        let endpoint_id = Arc::clone(&endpoint.registration.identity.id);
        Some(Self {
            node: Arc::clone(node),
            key,
            endpoint: endpoint_id,
            uncached_tokens: uncached,
            unique_tokens: choice.unique_tokens,
            sent_at: now,
            expected_first_event: Millis(choice.first_event_ms as u64),
            met: choice.met,
            pauses: Pauses::default(),
            prefilling: true,
            route: Arc::clone(route),
            timing: Timing::start(now),
            failure: None,
            silent: false,
            next_look: Millis::ZERO,
            cold,
        })
    }

    /// Records that the first event of a stream, or the head of a whole response, arrived.
    pub(super) fn record_first_event(&mut self) {
        let now = self.node.clock.now();
        let elapsed = now - self.sent_at;
        let state = &mut *self.node.state();
        if let Some(endpoint) = state.fleet.get_mut(self.key) {
            endpoint.last_received = now;
            if self.prefilling {
                endpoint.pending_tokens =
                    endpoint.pending_tokens.saturating_sub(self.uncached_tokens);
            }
            let service = Arc::clone(&endpoint.registration.service);
            if self.uncached_tokens > 0 {
                state.record_first_event(self.key, self.met, elapsed, now);
            }
            let prefill = Prefill {
                unique_tokens: self.unique_tokens,
                uncached_tokens: self.uncached_tokens,
                met: self.met,
                elapsed,
            };
            let profile = state.fleet.profiles.get(&service);
            state
                .meter
                .record_first_event(&service, profile, prefill, now);
        }
        self.prefilling = false;
    }

    /// Returns a hash of the endpoint's id and run.
    pub(super) fn endpoint_run(&self) -> u64 {
        let state = self.node.state();
        let endpoint = state.fleet.get(self.key);
        let born = endpoint.map_or(0, |endpoint| endpoint.registration.identity.born);
        xxh3_64_with_seed(self.endpoint.as_bytes(), born)
    }

    /// Returns whether the first event of the response is still missing.
    pub(super) fn is_prefilling(&self) -> bool {
        self.prefilling
    }

    /// Records that events of a stream, or the whole of another response, arrived.
    pub(super) fn record_events(&mut self, events: usize) {
        let now = self.node.clock.now();
        self.silent = false;
        self.pauses.record(events, now);
        for _ in 0..events {
            self.timing.record_token(now);
        }
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key) {
            endpoint.last_received = now;
        }
    }

    /// Waits until the response should be sought at another endpoint, and returns the reason: it is
    /// due, its first event is overdue and the endpoint sends nothing on any response, or the
    /// endpoint is gone.
    pub(super) async fn until_silent(&self, due: Millis) -> String {
        let left = due - self.node.clock.now();
        tokio::select! {
            () = sleep(left.into()) => "the response is overdue".to_owned(),
            () = self.until_overdue(), if self.prefilling => {
                "the endpoint is unresponsive".to_owned()
            }
            () = self.until_gone() => "the endpoint is gone".to_owned(),
        }
    }

    /// Waits until the first event is overdue and the endpoint sends nothing on any response.
    async fn until_overdue(&self) {
        let wait = Millis(self.expected_first_event.0 * OVERDUE_FACTOR) + OVERDUE_MARGIN;
        sleep((self.sent_at + wait - self.node.clock.now()).into()).await;
        while self.is_responsive() {
            sleep(SILENCE_TIMEOUT.into()).await;
        }
    }

    /// Waits until the endpoint is no longer registered and sends nothing on any response. One that
    /// registers again is not gone.
    async fn until_gone(&self) {
        loop {
            self.until_deregistered().await;
            sleep(SILENCE_TIMEOUT.into()).await;
            while self.is_responsive() {
                sleep(SILENCE_TIMEOUT.into()).await;
            }
            if self.node.state().fleet.is_deregistered(self.key) {
                return;
            }
        }
    }

    /// Waits until the endpoint is no longer registered.
    async fn until_deregistered(&self) {
        let token = {
            let state = self.node.state();
            let endpoint = state.fleet.get(self.key);
            endpoint.map(|endpoint| endpoint.deregistered.clone())
        };
        if let Some(token) = token {
            token.cancelled().await;
        }
    }

    /// Returns whether the endpoint sent data on any response within [`SILENCE_TIMEOUT`].
    fn is_responsive(&self) -> bool {
        let now = self.node.clock.now();
        let state = self.node.state();
        let endpoint = state.fleet.get(self.key);
        endpoint.is_some_and(|endpoint| endpoint.last_received + SILENCE_TIMEOUT > now)
    }

    /// Records the time of a whole response.
    pub(super) fn record_completed(&self) {
        let now = self.node.clock.now();
        let elapsed = now - self.sent_at;
        let state = &mut *self.node.state();
        state.record_service_time(self.key, self.met, elapsed);
    }

    /// Records the head of a response.
    pub(super) fn record_head(&mut self, failed: bool, load: Option<Load>) {
        self.silent = false;
        let now = self.node.clock.now();
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key) {
            endpoint.record_response(failed, now);
            endpoint.last_received = now;
        }
        if let Some(load) = load {
            self.node.state().record_load(self.key, load, now);
        }
    }

    /// Records that the endpoint stated in a response that it is leaving.
    ///
    /// Its entry in the store may not say so yet, and may never do.
    pub(super) fn record_leaving(&self) {
        let now = self.node.clock.now();
        let transition = {
            let fleet = &mut self.node.state().fleet;
            let endpoint = fleet.get(self.key);
            let identity = endpoint.map(|endpoint| endpoint.registration.identity.clone());
            identity.and_then(|identity| fleet.record_departure(&identity, now))
        };
        self.node.log_transition(transition, "response");
    }

    /// Records that the endpoint wants no requests from this node for some time.
    pub(super) fn record_retry_after(&self, delay: Millis) {
        let now = self.node.clock.now();
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key) {
            endpoint.record_retry_after(delay, now);
        }
        slog::info!(self.node.log, "endpoint declines"; "endpoint" => &*self.endpoint,
            "retry_after_ms" => delay.0);
    }

    /// Records that the endpoint failed to serve the request.
    pub(super) fn record_failed(&mut self) {
        self.failure = Some(Outcome::Failed);
    }

    /// Records that the endpoint did not run the request.
    pub(super) fn record_declined(&mut self) {
        self.failure = Some(Outcome::Inconclusive);
    }

    /// Records that the endpoint could not be reached, broke the connection or did not respond.
    pub(super) fn record_no_response(&mut self) {
        self.failure = Some(Outcome::Unreachable);
        self.record_silence();
    }

    /// Records that the endpoint does not respond at present; once, until data arrives. Returns whether
    /// this is the first record of the silence.
    pub(super) fn record_silence(&mut self) -> bool {
        if std::mem::replace(&mut self.silent, true) {
            return false;
        }
        let now = self.node.clock.now();
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key)
            && endpoint.health.record_no_response(now)
        {
            slog::info!(self.node.log, "endpoint blocked"; "endpoint" => &*self.endpoint);
        }
        true
    }
}

impl Reservation {
    /// Returns what the request says of the version of its endpoint.
    fn outcome(&self, now: Millis) -> Outcome {
        if let Some(failure) = self.failure {
            return failure;
        }
        if self.silent {
            return Outcome::Unreachable;
        }
        if self.cold {
            return Outcome::Inconclusive;
        }
        if self.timing.has_started() {
            return self.timing.answered();
        }
        Outcome::Waited(self.timing.elapsed(now))
    }

    /// Returns the time for which the request waits for prompts; see [`Attempt::queued`].
    fn queued(&self, fleet: &Fleet) -> Millis {
        let Some(endpoint) = fleet.get(self.key) else {
            return Millis::ZERO;
        };
        let profile = fleet.profiles.get(&endpoint.registration.service);
        let tokens = self.met.tokens.saturating_sub(self.unique_tokens);
        Millis(profile.prefill_ms(tokens) as u64)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let state = &mut *self.node.state();
        let attempt = Attempt {
            endpoint: self.key,
            outcome: self.outcome(now),
            queued: self.queued(&state.fleet),
        };
        if self.failure.is_none() {
            state.record_pauses(self.key, self.met, self.pauses);
        }
        if let Some(endpoint) = state.fleet.get(self.key) {
            let registration = &endpoint.registration;
            state.rollouts.record(
                &registration.service,
                &registration.version,
                &self.route,
                attempt,
                now,
            );
        }
        if let Some(endpoint) = state.fleet.get_mut(self.key) {
            endpoint.inflight = endpoint.inflight.saturating_sub(1);
            if self.prefilling {
                endpoint.pending_tokens =
                    endpoint.pending_tokens.saturating_sub(self.uncached_tokens);
                let service = Arc::clone(&endpoint.registration.service);
                let profile = state.fleet.profiles.get(&service);
                state
                    .meter
                    .record_unanswered(&service, profile, self.uncached_tokens, now);
            }
        }
    }
}

/// Counts a caller's request as in flight until it is dropped.
pub(super) struct InflightGuard(Arc<Node>);

impl InflightGuard {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        node.requests.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(node))
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
