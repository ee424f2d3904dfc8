use crate::clock::Millis;

use super::RetryPolicy;

/// Time for which a leaving node accepts connections: callers keep its address for a while.
const ACCEPT_TIME: Millis = Millis(2_500);

/// Time before SIGKILL at which requests that still run are answered.
const ANSWER_MARGIN: Millis = Millis(600);

/// Time before SIGKILL at which the process ends, whether the responses were sent or not.
const EXIT_MARGIN: Millis = Millis(300);

/// The course of a planned shutdown, on the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    started: Millis,
    grace: Millis,
}

impl Departure {
    /// Creates the course of a shutdown that starts at `started` and ends with SIGKILL after `grace`.
    #[must_use]
    pub fn new(started: Millis, grace: Millis) -> Self {
        Self { started, grace }
    }

    /// Returns when the node stops accepting connections, and closes each one after its current
    /// request.
    #[must_use]
    pub fn closes_at(&self) -> Millis {
        self.started + ACCEPT_TIME.min(Millis(self.grace.0 / 3))
    }

    /// Returns when the requests that still run are answered.
    #[must_use]
    pub fn answers_at(&self) -> Millis {
        self.started + (self.grace - ANSWER_MARGIN)
    }

    /// Returns when the process ends.
    #[must_use]
    pub fn exits_at(&self) -> Millis {
        self.started + (self.grace - EXIT_MARGIN)
    }

    /// Returns whether a request that has not run may be sent to an endpoint now.
    ///
    /// A request that may still run when the node ends loses its response. That is accepted only for
    /// one that may be sent again, and only while callers still use this node's address.
    #[must_use]
    pub fn may_take(&self, policy: RetryPolicy, deadline: Millis, now: Millis) -> bool {
        if deadline <= self.answers_at() {
            return true;
        }
        policy != RetryPolicy::Never && now < self.closes_at()
    }
}
