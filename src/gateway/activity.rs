use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

use crate::clock::Millis;

use super::{Body, Limits, Node};

/// Longest time between two checks of a connection, so that a lower idle timeout takes effect soon.
const MAX_CHECK_INTERVAL: Millis = Millis(1_000);

#[derive(Debug)]
struct State {
    /// Requests in progress, until the last byte of the response is taken.
    requests: usize,
    /// When the last request ended, or the connection was opened.
    idle_since: Millis,
    /// The idle timeout in force at that time.
    idle_timeout: Millis,
}

/// The use of a caller's connection, by which it is closed when it is idle for too long.
pub(super) struct Activity {
    node: Arc<Node>,
    state: Mutex<State>,
}

impl Activity {
    /// Creates the activity of a connection that was just opened.
    pub(super) fn new(node: &Arc<Node>) -> Self {
        let state = State {
            requests: 0,
            idle_since: node.clock.now(),
            idle_timeout: limits(node).idle_timeout,
        };
        Self {
            node: Arc::clone(node),
            state: Mutex::new(state),
        }
    }

    /// Returns the time until the connection has to be checked again.
    pub(super) fn next_check(&self) -> Millis {
        let state = self.state();
        if state.requests > 0 {
            return MAX_CHECK_INTERVAL;
        }
        let left = self.idle_until(&state) - self.node.clock.now();
        left.min(MAX_CHECK_INTERVAL)
    }

    /// Returns whether the connection has been idle for too long.
    pub(super) fn is_expired(&self) -> bool {
        let state = self.state();
        state.requests == 0 && self.node.clock.now() >= self.idle_until(&state)
    }

    /// Returns when an idle connection expires.
    ///
    /// Its caller may rely on the timeout that was in force when the connection became idle as well
    /// as on the present one.
    fn idle_until(&self, state: &State) -> Millis {
        state.idle_since + state.idle_timeout.max(limits(&self.node).idle_timeout)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Each change leaves the state consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the limits in force.
pub(super) fn limits(node: &Node) -> Limits {
    let active = node.active.load();
    let limits = active.as_ref().map(|active| active.config.limits);
    limits.unwrap_or_default()
}

/// Marks a connection as in use until it is dropped.
pub(super) struct InUse(Arc<Activity>);

impl InUse {
    pub(super) fn new(activity: &Arc<Activity>) -> Self {
        activity.state().requests += 1;
        Self(Arc::clone(activity))
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        let state = &mut *self.0.state();
        state.requests = state.requests.saturating_sub(1);
        state.idle_since = self.0.node.clock.now();
        state.idle_timeout = limits(&self.0.node).idle_timeout;
    }
}

/// The body of a response, which marks its connection as in use until it is dropped.
pub(super) struct TrackedBody {
    body: Body,
    _in_use: InUse,
}

impl TrackedBody {
    pub(super) fn new(body: Body, in_use: InUse) -> Self {
        Self {
            body,
            _in_use: in_use,
        }
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
