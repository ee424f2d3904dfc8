use slotmap::new_key_type;
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;

use super::capacity::{Backlog, Conditions, Contention, Profile, Slowness};
use super::{Health, Load, PrefixCache, Prompt, Ramp, Registration};

new_key_type! {
    /// Key of an endpoint in a [`Fleet`](super::Fleet).
    pub struct Key;
}

/// Age at which a reported load has lost half of its weight.
const LOAD_HALF_LIFE: Millis = Millis(400);

/// Resolution of the clock: a time may be up to this much later than the clock said.
const CLOCK_STEP: Millis = Millis(1);

/// The lifecycle stage of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts new requests.
    Ready,
    /// It said that it leaves: it finishes its current requests and accepts no new ones.
    Leaving,
    /// Its entry was removed: it finishes its current requests, and accepts new ones only once it has
    /// registered again.
    Unlisted,
    /// Its entry stayed missing, or a later run of the endpoint replaced it.
    Gone,
}

/// An endpoint, as this node sees it.
#[derive(Debug)]
pub struct Endpoint {
    /// Its latest registration.
    pub registration: Registration,
    /// Its lifecycle stage.
    pub lifecycle: Lifecycle,
    /// When the lifecycle stage last changed.
    pub lifecycle_since: Millis,
    /// When its entry was removed, went missing or was replaced by that of a later run; none while
    /// it is present in the store, as far as this node knows.
    pub unlisted_at: Option<Millis>,
    /// Since when its entry has been missing, although the endpoint may still be alive.
    pub missing_since: Option<Millis>,
    /// Requests of this node that are in flight.
    pub inflight: u32,
    /// When this node last received any part of a response from it.
    pub last_received: Millis,
    /// Prompt tokens of this node's requests that it has yet to prefill.
    pub pending_tokens: u64,
    /// Prompt tokens of the other nodes' requests that it has yet to prefill, as last announced.
    pub remote_pending_tokens: u64,
    /// Requests of the other nodes that are in flight, as last announced.
    pub remote_inflight: u32,
    /// Until when it is slow after its start, or has become so again.
    pub cold_until: Millis,
    /// When the last turn began, on the wall clock, that this node took while the endpoint was cold.
    last_turn: Option<Millis>,
    /// Its pace after its start or recovery, while it is limited.
    pub ramp: Option<Ramp>,
    /// Until when it wants no requests from this node.
    pub declines_until: Millis,
    /// Its health, judged by the outcomes of requests.
    pub health: Health,
    /// Prompt prefixes that it is assumed to have cached.
    pub prefixes: PrefixCache,
    /// Cancelled when its entry was removed or stayed missing, or when a later run replaced it.
    pub deregistered: CancellationToken,
    /// How much later than expected its first events are at present.
    pub backlog: Backlog,
    /// How slow it is compared to the others of its service.
    pub slowness: Slowness,
    contention: Option<Contention>,
    load: Option<(Load, Millis)>,
    sent_since_load: u32,
}

impl Endpoint {
    /// Creates an endpoint that has just registered.
    #[must_use]
    pub fn new(registration: Registration, memory_tokens: u64, now: Millis) -> Self {
        Self {
            lifecycle: Lifecycle::Ready,
            lifecycle_since: now,
            unlisted_at: None,
            missing_since: None,
            inflight: 0,
            last_received: Millis::ZERO,
            pending_tokens: 0,
            remote_pending_tokens: 0,
            remote_inflight: 0,
            cold_until: now + registration.cold,
            last_turn: None,
            ramp: None,
            declines_until: Millis::ZERO,
            health: Health::default(),
            prefixes: PrefixCache::new(memory_tokens),
            deregistered: CancellationToken::new(),
            load: None,
            sent_since_load: 0,
            backlog: Backlog::default(),
            slowness: Slowness::default(),
            contention: None,
            registration,
        }
    }
}

/// Observations.
impl Endpoint {
    /// Records that a request was sent.
    pub fn record_sent(&mut self) {
        self.inflight += 1;
        self.sent_since_load += 1;
        if let Some(ramp) = &mut self.ramp {
            ramp.record_sent();
        }
    }

    /// Records a response, and whether it reported a failure.
    pub fn record_response(&mut self, failed: bool, now: Millis) {
        self.end_ramp(now);
        if self.health.is_unproven() {
            self.start_ramp(now);
        }
        if let Some(ramp) = self.ramp.as_mut().filter(|_| failed) {
            ramp.record_failure(now);
        }
        self.health.record_response(failed, now);
    }

    /// Lets the pace of requests grow from a low one.
    pub fn start_ramp(&mut self, now: Millis) {
        metrics::counter!("almondpath_endpoint_paces_total").increment(1);
        self.ramp = Some(Ramp::new(self.registration.slots, now));
    }

    /// Forgets a pace that is not limited any more: later responses must not limit it again.
    fn end_ramp(&mut self, now: Millis) {
        self.ramp = self.ramp.filter(|ramp| !ramp.has_ended(now));
    }

    /// Takes a turn for a request, if it needs one; returns whether there was one left.
    pub fn take_turn(&mut self, turn: Option<Millis>) -> bool {
        let Some(turn) = turn else { return true };
        let is_left = self.has_turn(turn);
        self.last_turn = self.last_turn.max(Some(turn));
        is_left
    }

    /// Records the load that the endpoint reported.
    pub fn record_load(&mut self, load: Load, now: Millis) {
        self.load = Some((load, now));
        self.sent_since_load = 0;
        self.contention = load
            .contention()
            .map(|factor| Contention { factor, at: now });
        self.end_ramp(now);
        if let Some(ramp) = &mut self.ramp {
            ramp.record_answer(load.waiting > 0, now);
        }
    }

    /// Records that the endpoint wants no requests from this node for some time. A shorter time than
    /// one that was stated earlier has no effect.
    pub fn record_retry_after(&mut self, delay: Millis, now: Millis) {
        self.declines_until = self.declines_until.max(now + delay + CLOCK_STEP);
    }
}

/// Estimates.
impl Endpoint {
    /// Returns the requests that the endpoint has, estimated from its latest report and the requests
    /// sent since then. As the report ages, the `usual` number is expected.
    #[must_use]
    pub fn outstanding_requests(&self, usual: f64, now: Millis) -> f64 {
        let known = f64::from(self.inflight + self.remote_inflight);
        let Some((load, at)) = self.load else {
            return known.max(usual);
        };
        let weight = (-(now - at).as_f64() / LOAD_HALF_LIFE.as_f64()).exp2();
        let reported = f64::from(load.requests());
        let sent = f64::from(self.sent_since_load.min(self.inflight));
        known.max(usual + (reported - usual) * weight + sent)
    }

    /// Returns what a request meets that is sent now, with `uncached` prompt tokens to prefill.
    #[must_use]
    pub fn conditions(&self, profile: &Profile, uncached: u64, now: Millis) -> Conditions {
        let usual = profile.usual_contention();
        let contention = self.contention.map_or(usual, |c| c.expected(usual, now));
        Conditions {
            tokens: self.total_pending_tokens() + uncached,
            backlog_ms: self.backlog.expected_ms(now),
            outstanding: self.outstanding_requests(profile.usual_outstanding(), now),
            scale: self.slowness.expected() * contention,
        }
    }

    /// Returns the contention of its host that the endpoint reported last.
    #[must_use]
    pub fn reported_contention(&self) -> Option<f64> {
        self.contention.map(|contention| contention.factor)
    }

    /// Returns the remaining time for which the endpoint is slow after its start.
    #[must_use]
    pub fn cold_left(&self, now: Millis) -> Millis {
        self.cold_until - now
    }

    /// Returns whether this node has a turn left, by when the turn began.
    #[must_use]
    pub fn has_turn(&self, turn: Millis) -> bool {
        self.last_turn.is_none_or(|last| last < turn)
    }

    /// Returns whether the endpoint wants no requests from this node for now.
    #[must_use]
    pub fn is_declining(&self, now: Millis) -> bool {
        now < self.declines_until
    }

    /// Returns the input tokens of a prompt that the endpoint is not assumed to have cached.
    #[must_use]
    pub fn uncached_tokens(&self, prompt: &Prompt) -> u64 {
        prompt
            .input_tokens
            .saturating_sub(self.prefixes.cached_tokens(prompt.shared_segments()))
    }

    /// Returns the prompt tokens of all nodes' requests that the endpoint has yet to prefill.
    #[must_use]
    pub fn total_pending_tokens(&self) -> u64 {
        self.pending_tokens + self.remote_pending_tokens
    }
}
