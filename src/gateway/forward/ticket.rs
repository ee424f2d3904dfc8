use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;
use crate::gateway::endpoint::Key;
use crate::gateway::{Load, Node};

use super::choose::Choice;

/// Time beyond the expected one after which a first event is overdue.
const OVERDUE: Millis = Millis(800);

/// A first event is not overdue before this multiple of the expected time.
const OVERDUE_FACTOR: u64 = 2;

/// Time after which an endpoint that says nothing counts as silent.
const SILENCE: Millis = Millis(500);

/// The place of a request at an endpoint; dropping it gives the place up.
pub(super) struct Ticket {
    node: Arc<Node>,
    pub(super) key: Key,
    pub(super) endpoint: Arc<str>,
    /// Cancelled when the endpoint is gone or not listed any more.
    pub(super) lost: CancellationToken,
    uncached: u64,
    /// Prompt tokens that no other request shares.
    own: u64,
    sent: Millis,
    /// Time after which the first event was expected.
    expected: Millis,
    /// Tokens that waited before the request, for the measure of the reading speed.
    ahead: u64,
    reading: bool,
}

impl Ticket {
    /// Takes a place at an endpoint of the fleet.
    pub(super) fn take(node: &Arc<Node>, choice: &Choice) -> Option<Self> {
        let (key, uncached) = (choice.key, choice.uncached_tokens);
        let now = node.clock.now();
        let state = &mut *node.state();
        let endpoint = state.fleet.get_mut(key)?;
        let ahead = endpoint.total_pending_tokens();
        endpoint.record_sent();
        endpoint.pending_tokens += uncached;
        let (endpoint_id, lost) = (
            Arc::clone(&endpoint.registration.identity.id),
            endpoint.lost.clone(),
        );
        Some(Self {
            node: Arc::clone(node),
            key,
            endpoint: endpoint_id,
            lost,
            uncached,
            own: choice.unique_tokens,
            sent: now,
            expected: Millis(choice.first_event_ms as u64),
            ahead,
            reading: true,
        })
    }

    /// Notes the first event of the response.
    pub(super) fn first_event(&mut self) {
        let now = self.node.clock.now();
        let took = now - self.sent;
        let state = &mut *self.node.state();
        if let Some(endpoint) = state.fleet.get_mut(self.key) {
            endpoint.last_received = now;
            endpoint.record_first_event(self.ahead + self.uncached, took);
            if self.reading {
                endpoint.pending_tokens = endpoint.pending_tokens.saturating_sub(self.uncached);
            }
            let service = &endpoint.registration.service;
            state
                .meter
                .record_first_event(service, self.own, self.uncached, took, now);
        }
        self.reading = false;
    }

    /// Notes bytes of a response.
    pub(super) fn heard(&self) {
        let now = self.node.clock.now();
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key) {
            endpoint.last_received = now;
        }
    }

    /// Returns once the endpoint has to be given up: after `patience`, or, if the request may run
    /// elsewhere, when the endpoint says nothing to anyone for too long.
    pub(super) async fn silent(&self, repeatable: bool, patience: Millis) -> String {
        let overdue = async {
            let wait = Millis(self.expected.0 * OVERDUE_FACTOR) + OVERDUE;
            sleep((self.sent + wait - self.node.clock.now()).into()).await;
            while self.is_heard() {
                sleep(SILENCE.into()).await;
            }
        };
        tokio::select! {
            () = sleep(patience.into()) => format!("no answer within {patience}"),
            () = overdue, if repeatable => "the endpoint is silent".to_owned(),
            why = self.gone(), if repeatable => why,
        }
    }

    /// Returns once the endpoint is not listed any more and says nothing to anyone.
    pub(super) async fn gone(&self) -> String {
        self.lost.cancelled().await;
        sleep(SILENCE.into()).await;
        while self.is_heard() {
            sleep(SILENCE.into()).await;
        }
        "the endpoint is gone".to_owned()
    }

    /// Returns whether any response of the endpoint went on a moment ago.
    fn is_heard(&self) -> bool {
        let now = self.node.clock.now();
        let state = self.node.state();
        let endpoint = state.fleet.get(self.key);
        endpoint.is_some_and(|endpoint| endpoint.last_received + SILENCE > now)
    }

    /// Notes the whole answer to a plain request.
    pub(super) fn served(&self) {
        let now = self.node.clock.now();
        let took = now - self.sent;
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key) {
            endpoint.record_service_time(took);
        }
    }

    /// Notes the head of a response.
    pub(super) fn answered(&self, failed: bool, load: Option<Load>) {
        let now = self.node.clock.now();
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key) {
            endpoint.health.record_response(failed, now);
            endpoint.last_received = now;
            if let Some(load) = load {
                endpoint.record_load(load, now);
            }
        }
    }

    /// Notes that the endpoint could not be reached, broke off or stayed silent.
    pub(super) fn unanswered(&self) {
        let now = self.node.clock.now();
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key)
            && endpoint.health.record_no_response(now)
        {
            slog::info!(self.node.log, "endpoint blocked"; "endpoint" => &*self.endpoint);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let state = &mut *self.node.state();
        if let Some(endpoint) = state.fleet.get_mut(self.key) {
            endpoint.inflight = endpoint.inflight.saturating_sub(1);
            if self.reading {
                endpoint.pending_tokens = endpoint.pending_tokens.saturating_sub(self.uncached);
                let service = &endpoint.registration.service;
                state.meter.record_unanswered(service, self.uncached, now);
            }
        }
    }
}

/// Counts a request of a caller while it is being served.
pub(super) struct Served(Arc<Node>);

impl Served {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        node.requests.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(node))
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
