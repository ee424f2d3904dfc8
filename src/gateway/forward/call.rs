use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use slog::info;

use crate::clock::Millis;
use crate::gateway::{Account, Node, RequestMetadata, RetryPolicy, Route};

use super::attempts::Attempts;
use super::reservation::InflightGuard;

/// A request that was read and admitted.
pub(super) struct Call {
    pub(super) node: Arc<Node>,
    pub(super) metadata: RequestMetadata,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    pub(super) account: Option<Arc<Account>>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// When the request arrived.
    pub(super) arrived: Millis,
    /// When the request has its final answer: the caller's patience or the route's limit.
    pub(super) deadline: Millis,
    /// Version of the configuration that it is handled by.
    pub(super) config_version: u64,
    pub(super) attempts: Mutex<Attempts>,
    /// Whether the log line of the request was written.
    pub(super) reported: AtomicBool,
    /// Counts the request until it is dropped, which for a stream is at its end.
    pub(super) _inflight: InflightGuard,
}

impl Call {
    /// Returns the name of the request in log lines.
    pub(super) fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("-")
    }

    /// Returns the time until the final answer is due.
    pub(super) fn time_left(&self, now: Millis) -> Millis {
        self.deadline - now
    }

    /// Returns whether the request may run at another endpoint as well.
    pub(super) fn is_retryable(&self) -> bool {
        self.route.retry_policy != RetryPolicy::Never && self.route.max_attempts > 1
    }

    /// Returns the rank at an endpoint: the account's goes before the route's.
    pub(super) fn priority(&self) -> u8 {
        // 10 ranks; accounts have a few, so each leaves room for three route priorities.
        let account = self.account.as_ref().and_then(|a| a.priority).unwrap_or(1);
        (account.min(2) * 3 + self.route.priority.min(2)).min(9)
    }

    /// Returns what became of the sends so far. The guard must not be held across an await.
    pub(super) fn attempts(&self) -> MutexGuard<'_, Attempts> {
        // Each change leaves the sends usable, also when a later step panics.
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes the first event, or the head, of the response.
    pub(super) fn record_first_event(&self) {
        let took = self.node.clock.now() - self.arrived;
        self.attempts().first_event.get_or_insert(took);
    }

    /// Writes the line of the request; later calls write nothing.
    ///
    /// `status` is none when the caller left before it got one.
    pub(super) fn report(&self, status: Option<u16>, outcome: &'static str) {
        if self.reported.swap(true, Ordering::Relaxed) {
            return;
        }
        let took = self.node.clock.now() - self.arrived;
        metrics::counter!("almondpath_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("almondpath_request_ms").record(took.as_f64());
        let attempts = self.attempts();
        if let Some(first) = attempts.first_event {
            metrics::histogram!("almondpath_first_event_ms").record(first.as_f64());
        }
        info!(self.node.log, "request"; "id" => self.id(), "outcome" => outcome, "status" => status,
            "route" => &*self.route.name, "service" => &*self.service,
            "account" => self.account.as_ref().map(|account| &*account.name),
            "endpoints" => attempts.endpoints.join(","), "why" => &attempts.reason,
            "expected_ms" => attempts.choice.map(|choice| choice.first_event_ms as u64),
            "uncached" => attempts.choice.map(|choice| choice.uncached_tokens),
            "first_ms" => attempts.first_event.map(|first| first.0),
            "config" => self.config_version, "ms" => took.0);
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.report(None, "caller_gone");
    }
}
