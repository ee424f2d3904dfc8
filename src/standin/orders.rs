use std::convert::Infallible;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use rand::Rng;
use serde::{Deserialize, Serialize};
use warp::http::StatusCode;

use crate::clock::Millis;
use crate::log::Offset;
use crate::provider::{FencedOrder, Order};

use super::{Answer, reply};

/// What is wrong with a version; it shows on requests that meet all conditions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VersionFault {
    /// Share of the requests that fail, in percent.
    pub fail_percent: u32,
    /// Time by which the first token, or the whole answer, comes later.
    pub delay_ms: Millis,
    /// Number of requests that are served well before the fault shows.
    pub after_requests: u32,
    /// Number of requests in progress above which the fault shows.
    pub above_running: usize,
    /// Route on which the fault shows; at an engine `interactive` or `long`.
    pub route: Option<String>,
}

/// What a version's fault does to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    None,
    Fail,
    Delay(Millis),
}

impl Effect {
    /// Returns the time that is added to the answer.
    pub(super) fn delay(self) -> Millis {
        match self {
            Self::Delay(delay) => delay,
            Self::None | Self::Fail => Millis::ZERO,
        }
    }
}

/// The version that an endpoint serves, as ordered.
#[derive(Debug)]
pub(super) struct Orders {
    version: Mutex<Arc<str>>,
    fence: Mutex<Offset>,
    served: AtomicU32,
}

impl Orders {
    pub(super) fn new(version: Arc<str>) -> Self {
        Self {
            version: Mutex::new(version),
            fence: Mutex::default(),
            served: AtomicU32::new(0),
        }
    }

    pub(super) fn version(&self) -> Arc<str> {
        Arc::clone(&self.version.lock().expect("version lock"))
    }

    /// Takes an order; refuses an older fencing token than the newest seen, if it checks.
    pub(super) fn apply(&self, order: &FencedOrder, checks: bool) -> Result<Answer, Infallible> {
        let mut fence = self.fence.lock().expect("fence lock");
        if checks && order.fence < *fence {
            let body = serde_json::json!({ "message": "stale fencing token" });
            return reply(StatusCode::CONFLICT, &body);
        }
        *fence = order.fence.max(*fence);
        let Order::Serve(version) = &order.order;
        *self.version.lock().expect("version lock") = Arc::clone(version);
        self.served.store(0, Ordering::SeqCst);
        reply(StatusCode::OK, &serde_json::json!({}))
    }

    /// Returns what the fault does to the next request.
    pub(super) fn effect(&self, fault: &VersionFault, route: &str, running: usize) -> Effect {
        let served = self.served.fetch_add(1, Ordering::SeqCst);
        let shows = served >= fault.after_requests
            && (fault.above_running == 0 || running > fault.above_running)
            && fault.route.as_ref().is_none_or(|faulty| *faulty == *route);
        if !shows {
            return Effect::None;
        }
        if rand::rng().random_range(0..100) < fault.fail_percent {
            return Effect::Fail;
        }
        Effect::Delay(fault.delay_ms)
    }
}
