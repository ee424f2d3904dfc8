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
const SILENCE_TIMEOUT: Millis = Millis(500);

/// The place of a request at an endpoint; dropping it gives the place up.
pub(super) struct Reservation {
    node: Arc<Node>,
    pub(super) key: Key,
    pub(super) endpoint: Arc<str>,
    /// Cancelled when the endpoint is gone or not listed any more.
    pub(super) lost: CancellationToken,
    uncached_tokens: u64,
    /// Prompt tokens that no other request shares.
    unique_tokens: u64,
    sent_at: Millis,
    /// Time after which the first event was expected.
    expected_first_event: Millis,
    /// Tokens that waited before the request, for the measure of the reading speed.
    queued_tokens: u64,
    prefilling: bool,
}

impl Reservation {
    /// Takes a place at an endpoint of the fleet.
    pub(super) fn acquire(node: &Arc<Node>, choice: &Choice) -> Option<Self> {
        let (key, uncached) = (choice.key, choice.uncached_tokens);
        let now = node.clock.now();
        let state = &mut *node.state();
        let endpoint = state.fleet.get_mut(key)?;
        let queued_tokens = endpoint.waiting_tokens();
        endpoint.sent();
        endpoint.pending_tokens += uncached;
        let (endpoint_id, lost) = (
            Arc::clone(&endpoint.listing.identity.id),
            endpoint.lost.clone(),
        );
        Some(Self {
            node: Arc::clone(node),
            key,
            endpoint: endpoint_id,
            lost,
            uncached_tokens: uncached,
            unique_tokens: choice.unique_tokens,
            sent_at: now,
            expected_first_event: Millis(choice.first_event_ms as u64),
            queued_tokens,
            prefilling: true,
        })
    }

    /// Notes the first event of the response.
    pub(super) fn record_first_event(&mut self) {
        let now = self.node.clock.now();
        let took = now - self.sent_at;
        let state = &mut *self.node.state();
        if let Some(endpoint) = state.fleet.get_mut(self.key) {
            endpoint.heard = now;
            endpoint.first_event(self.queued_tokens + self.uncached_tokens, took);
            if self.prefilling {
                endpoint.pending_tokens =
                    endpoint.pending_tokens.saturating_sub(self.uncached_tokens);
            }
            let service = &endpoint.listing.service;
            state.meter.record_first_event(
                service,
                self.unique_tokens,
                self.uncached_tokens,
                took,
                now,
            );
        }
        self.prefilling = false;
    }

    /// Notes bytes of a response.
    pub(super) fn record_data(&self) {
        let now = self.node.clock.now();
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key) {
            endpoint.heard = now;
        }
    }

    /// Returns once the endpoint has to be given up: after `patience`, or, if the request may run
    /// elsewhere, when the endpoint says nothing to anyone for too long.
    pub(super) async fn until_unresponsive(&self, retryable: bool, patience: Millis) -> String {
        let overdue = async {
            let wait = Millis(self.expected_first_event.0 * OVERDUE_FACTOR) + OVERDUE;
            sleep((self.sent_at + wait - self.node.clock.now()).into()).await;
            while self.is_responsive() {
                sleep(SILENCE_TIMEOUT.into()).await;
            }
        };
        tokio::select! {
            () = sleep(patience.into()) => format!("no answer within {patience}"),
            () = overdue, if retryable => "the endpoint is silent".to_owned(),
            why = self.until_gone(), if retryable => why,
        }
    }

    /// Returns once the endpoint is not listed any more and says nothing to anyone.
    pub(super) async fn until_gone(&self) -> String {
        self.lost.cancelled().await;
        sleep(SILENCE_TIMEOUT.into()).await;
        while self.is_responsive() {
            sleep(SILENCE_TIMEOUT.into()).await;
        }
        "the endpoint is gone".to_owned()
    }

    /// Returns whether any response of the endpoint went on a moment ago.
    fn is_responsive(&self) -> bool {
        let now = self.node.clock.now();
        let state = self.node.state();
        let endpoint = state.fleet.get(self.key);
        endpoint.is_some_and(|endpoint| endpoint.heard + SILENCE_TIMEOUT > now)
    }

    /// Notes the whole answer to a plain request.
    pub(super) fn record_completed(&self) {
        let now = self.node.clock.now();
        let took = now - self.sent_at;
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key) {
            endpoint.served(took);
        }
    }

    /// Notes the head of a response.
    pub(super) fn record_head(&self, failed: bool, load: Option<Load>) {
        let now = self.node.clock.now();
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key) {
            endpoint.health.answered(failed, now);
            endpoint.heard = now;
            if let Some(load) = load {
                endpoint.loaded(load, now);
            }
        }
    }

    /// Notes that the endpoint could not be reached, broke off or stayed silent.
    pub(super) fn record_no_response(&self) {
        let now = self.node.clock.now();
        if let Some(endpoint) = self.node.state().fleet.get_mut(self.key)
            && endpoint.health.unanswered(now)
        {
            slog::info!(self.node.log, "endpoint blocked"; "endpoint" => &*self.endpoint);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let state = &mut *self.node.state();
        if let Some(endpoint) = state.fleet.get_mut(self.key) {
            endpoint.inflight = endpoint.inflight.saturating_sub(1);
            if self.prefilling {
                endpoint.pending_tokens =
                    endpoint.pending_tokens.saturating_sub(self.uncached_tokens);
                let service = &endpoint.listing.service;
                state
                    .meter
                    .record_unanswered(service, self.uncached_tokens, now);
            }
        }
    }
}

/// Counts a request of a caller while it is being served.
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
