use std::sync::Arc;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

use crate::clock::Millis;

use super::ticket::Served;
use super::{Account, Ask, Repeat, Route};

/// A request that was read and admitted.
pub(super) struct Call {
    pub(super) ask: Ask,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    pub(super) account: Option<Arc<Account>>,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// When the request arrived.
    pub(super) arrived: Millis,
    /// When the request has its final answer: the caller's patience or the route's limit.
    pub(super) limit: Millis,
    /// Version of the configuration that it is handled by.
    pub(super) config: u64,
    /// Counts the request until it is dropped, which for a stream is at its end.
    pub(super) _served: Served,
}

impl Call {
    /// Returns the name of the request in log lines.
    pub(super) fn id(&self) -> &str {
        self.ask.id.as_deref().unwrap_or("-")
    }

    /// Returns the time until the final answer is due.
    pub(super) fn left(&self, now: Millis) -> Millis {
        self.limit - now
    }

    /// Returns whether the request may run at another endpoint as well.
    pub(super) fn repeatable(&self) -> bool {
        self.route.repeat != Repeat::Never && self.route.max_attempts > 1
    }

    /// Returns the rank at an endpoint: the account's goes before the route's.
    pub(super) fn rank(&self) -> u8 {
        // 10 ranks; accounts have a few, so each leaves room for three route priorities.
        let account = self.account.as_ref().and_then(|a| a.priority).unwrap_or(1);
        (account.min(2) * 3 + self.route.priority.min(2)).min(9)
    }
}
