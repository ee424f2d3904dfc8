use std::convert::Infallible;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use rand::Rng;
use serde::{Deserialize, Serialize};
use warp::http::StatusCode;

use crate::clock::Millis;
use crate::log::Offset;
use crate::provider::{FencedOrder, Order};

use super::{JsonReply, reply};

/// A fault of a version, which affects the requests that meet all conditions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VersionFault {
    /// Share of the affected requests that fail, in percent.
    pub fail_percent: u32,
    /// Delay of the first token.
    pub delay_ms: Millis,
    /// Number of requests that are served normally before the fault occurs.
    pub after_requests: u32,
    /// Number of running requests above which the fault occurs; 0 for any number.
    pub above_running: usize,
    /// Scheduling class on which the fault occurs, `interactive` or `long`; `None` means all.
    pub route: Option<String>,
}

/// The effect of a version's fault on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// The request is served normally.
    None,
    /// The request fails.
    Fail,
    /// The response is delayed.
    Delay(Millis),
}

impl Effect {
    /// Returns the delay of the response.
    pub(super) fn delay(self) -> Millis {
        match self {
            Self::Delay(delay) => delay,
            Self::None | Self::Fail => Millis::ZERO,
        }
    }
}

/// The version that an endpoint serves, which orders change.
#[derive(Debug)]
pub(super) struct ServedVersion {
    version: Mutex<Arc<str>>,
    /// Highest fencing token accepted so far.
    fencing_token: Mutex<Offset>,
    /// Requests since the last order, counted while the version has a fault.
    served: AtomicU32,
}

impl ServedVersion {
    pub(super) fn new(version: Arc<str>) -> Self {
        Self {
            version: Mutex::new(version),
            fencing_token: Mutex::default(),
            served: AtomicU32::new(0),
        }
    }

    /// Returns the version served at present.
    pub(super) fn current(&self) -> Arc<str> {
        Arc::clone(&self.version.lock().expect("version lock"))
    }

    /// Applies an order.
    ///
    /// With `check_fence`, an order with a lower fencing token than one accepted before is refused.
    pub(super) fn apply(
        &self,
        order: &FencedOrder,
        check_fence: bool,
    ) -> Result<JsonReply, Infallible> {
        let mut fencing_token = self.fencing_token.lock().expect("fencing token lock");
        if check_fence && order.fence < *fencing_token {
            let body = serde_json::json!({ "message": "stale fencing token" });
            return reply(StatusCode::CONFLICT, &body);
        }
        *fencing_token = order.fence.max(*fencing_token);
        let Order::Serve(version) = &order.order;
        *self.version.lock().expect("version lock") = Arc::clone(version);
        self.served.store(0, Ordering::SeqCst);
        reply(StatusCode::OK, &serde_json::json!({}))
    }

    /// Counts a request and returns the effect of the fault on it.
    pub(super) fn effect(&self, fault: &VersionFault, route: &str, running: usize) -> Effect {
        let served = self.served.fetch_add(1, Ordering::SeqCst);
        let is_affected = served >= fault.after_requests
            && (fault.above_running == 0 || running > fault.above_running)
            && fault.route.as_ref().is_none_or(|faulty| *faulty == *route);
        if !is_affected {
            return Effect::None;
        }
        if rand::rng().random_range(0..100) < fault.fail_percent {
            return Effect::Fail;
        }
        Effect::Delay(fault.delay_ms)
    }
}
