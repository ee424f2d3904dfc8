use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

use crate::clock::Millis;

use super::intake::Connection;
use super::{Body, Limits, Node};

/// Longest time between two checks of a connection, so that a lower idle timeout takes effect soon.
pub(super) const MAX_CHECK_INTERVAL: Millis = Millis(1_000);

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
    connection: Arc<Connection>,
    /// Least idle timeout, whatever the limits.
    min_idle_timeout: Millis,
    state: Mutex<State>,
}

impl Activity {
    /// Creates the activity of a connection that was just opened.
    pub(super) fn new(node: &Arc<Node>, connection: &Arc<Connection>) -> Self {
        let state = State {
            requests: 0,
            idle_since: node.clock.now(),
            idle_timeout: limits(node).idle_timeout,
        };
        Self {
            node: Arc::clone(node),
            connection: Arc::clone(connection),
            min_idle_timeout: Millis::ZERO,
            state: Mutex::new(state),
        }
    }

    /// Sets the least time for which the connection may stay idle, whatever the limits.
    pub(super) fn with_min_idle_timeout(mut self, timeout: Millis) -> Self {
        self.min_idle_timeout = timeout;
        self
    }

    /// Returns the connection whose use this is.
    pub(super) fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }

    /// Returns the time until the connection has to be checked again.
    pub(super) fn next_check(&self) -> Millis {
        let state = self.state();
        if state.requests > 0 {
            return MAX_CHECK_INTERVAL;
        }
        let until = self.idle_until(&state).min(self.head_until());
        (until - self.node.clock.now()).min(MAX_CHECK_INTERVAL)
    }

    /// Returns whether a head has not arrived in time, or the caller takes nothing of a response. Such
    /// a connection closes at once.
    pub(super) fn is_stalled(&self) -> bool {
        self.node.clock.now() >= self.head_until() || self.connection.is_stalled()
    }

    /// Returns when the head that is arriving is late.
    fn head_until(&self) -> Millis {
        let since = self.connection.head_since();
        since.map_or(Millis::MAX, |since| {
            since + limits(&self.node).header_timeout
        })
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
        let in_force = limits(&self.node).idle_timeout;
        state.idle_since + state.idle_timeout.max(in_force).max(self.min_idle_timeout)
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
        let state = &mut *activity.state();
        if state.requests == 0 {
            activity.connection.start_request();
        }
        state.requests += 1;
        Self(Arc::clone(activity))
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        let state = &mut *self.0.state();
        state.requests = state.requests.saturating_sub(1);
        if state.requests == 0 {
            self.0.connection.end_request();
        }
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
