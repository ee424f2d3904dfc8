use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use slog::info;

use crate::clock::Millis;
use crate::gateway::quota::Charge;
use crate::gateway::{Account, Crash, Node, RequestMetadata, RetryPolicy, Route};

use super::attempts::Attempts;
use super::reservation::{InflightGuard, Reservation};

/// An admitted request, whose body was read.
pub(super) struct Call {
    pub(super) node: Arc<Node>,
    pub(super) metadata: RequestMetadata,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    pub(super) account: Option<Arc<Account>>,
    /// What the request took from the account's quota.
    pub(super) charge: Option<Charge>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// When the request arrived.
    pub(super) arrived: Millis,
    /// When the final response is due, by the caller's timeout or the route's.
    pub(super) deadline: Millis,
    /// Version of the configuration that the request was admitted under.
    pub(super) config_version: u64,
    pub(super) attempts: Mutex<Attempts>,
    /// Whether the request was logged and counted.
    pub(super) reported: AtomicBool,
    /// Counts the request as in flight until the call is dropped, which for a stream is at its end.
    pub(super) _inflight: InflightGuard,
}

impl Call {
    /// Returns the request id for log lines.
    pub(super) fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("-")
    }

    /// Returns the time until the final response is due.
    pub(super) fn time_left(&self, now: Millis) -> Millis {
        self.deadline - now
    }

    /// Returns whether the request may be sent to a second endpoint after it may have run at one.
    pub(super) fn is_retryable(&self) -> bool {
        self.route.retry_policy != RetryPolicy::Never && self.route.max_attempts > 1
    }

    /// Returns the priority at an endpoint, 0 to 9: by account first, then by route.
    pub(super) fn priority(&self) -> u8 {
        // There are 10 priorities. Each of the three account priorities spans three route
        // priorities.
        let account = self.account.as_ref().and_then(|a| a.priority).unwrap_or(1);
        (account.min(2) * 3 + self.route.priority.min(2)).min(9)
    }

    /// Locks the state of the attempts. The guard must not be held across an await.
    pub(super) fn attempts(&self) -> MutexGuard<'_, Attempts> {
        // Every change leaves the state consistent, so a poisoned lock can be used.
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time to the first event of a stream, or to a whole response.
    pub(super) fn record_first_event(&self) {
        let elapsed = self.node.clock.now() - self.arrived;
        self.attempts().first_event.get_or_insert(elapsed);
        if let Some(prompt) = &self.metadata.prompt {
            let wall = self.node.wall_time();
            let quarantine = &mut self.node.state().quarantine;
            quarantine.record_success(prompt.shared_ids(), wall);
        }
    }

    /// Returns whether the request must not be sent again, since its prompt may crash endpoints.
    pub(super) fn is_suspected(&self) -> bool {
        let Some(prompt) = &self.metadata.prompt else {
            return false;
        };
        let Some(request) = prompt.segments.last() else {
            return false;
        };
        let quarantine = &self.node.state().quarantine;
        quarantine.is_suspected(request.id, prompt.shared_ids())
    }

    /// Records that an endpoint broke off the request before its first event.
    pub(super) fn record_crash(&self, reservation: &Reservation) {
        let Some(prompt) = &self.metadata.prompt else {
            return;
        };
        let Some(request) = prompt.segments.last() else {
            return;
        };
        if !reservation.is_prefilling() {
            return;
        }
        let crash = Crash {
            endpoint: reservation.endpoint_run(),
            request: request.id,
            segments: prompt.shared_ids().collect(),
            at: self.node.wall_time(),
        };
        self.node.state().quarantine.record_crash(crash);
    }

    /// Logs and counts the request. Only the first call has an effect.
    ///
    /// `status` is `None` when the caller disconnected before it got one.
    pub(super) fn report(&self, status: Option<u16>, outcome: &'static str) {
        if self.reported.swap(true, Ordering::Relaxed) {
            return;
        }
        let elapsed = self.node.clock.now() - self.arrived;
        metrics::counter!("almondpath_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("almondpath_request_ms").record(elapsed.as_f64());
        let attempts = self.attempts();
        if let Some(first) = attempts.first_event {
            metrics::histogram!("almondpath_first_event_ms").record(first.as_f64());
        }
        info!(self.node.log, "request"; "id" => self.id(), "outcome" => outcome, "status" => status,
            "route" => &*self.route.name, "service" => &*self.service,
            "account" => self.account.as_ref().map(|account| &*account.name),
            "units" => self.charge.map(|charge| charge.units),
            "decider" => self.charge.map(|charge| format!("{:?}", charge.decider)),
            "endpoints" => attempts.endpoints.join(","), "why" => &attempts.reason,
            "expected_ms" => attempts.choice.map(|choice| choice.first_event_ms as u64),
            "uncached" => attempts.choice.map(|choice| choice.uncached_tokens),
            "first_ms" => attempts.first_event.map(|first| first.0),
            "config" => self.config_version, "ms" => elapsed.0);
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.report(None, "caller_gone");
    }
}
