use crate::clock::Millis;

use super::Scenario;

/// Time after a trip within which all nodes should have stopped sending requests to the version.
pub(super) const TRIP_PROPAGATION: Millis = Millis(2_000);

/// Result of a policy in one scenario.
#[derive(Clone, Copy, Debug)]
pub struct Score {
    /// The scenario.
    pub scenario: Scenario,
    /// Time at which the rollout was done, if it was.
    pub done_at: Option<Millis>,
    /// Time at which the first node tripped or the rollout was rolled back, if either happened.
    pub tripped_at: Option<Millis>,
    /// Whether the rollout ended with a rollback.
    pub rolled_back: bool,
    /// Expected number of requests in the whole window.
    pub window_requests: f64,
    /// Requests that were exposed to the version's fault before the trip.
    pub exposed_before: u32,
    /// Requests sent to the version after the trip.
    pub sent_after: u32,
    /// Requests sent to the version more than 2 s after the trip.
    pub sent_late: u32,
}

impl Score {
    pub(super) fn new(scenario: &Scenario) -> Self {
        Self {
            scenario: *scenario,
            done_at: None,
            tripped_at: None,
            rolled_back: false,
            window_requests: scenario.rate * scenario.window.as_f64() / 1_000.0,
            exposed_before: 0,
            sent_after: 0,
            sent_late: 0,
        }
    }

    /// Counts a request sent to the new version.
    pub(super) fn count(&mut self, exposed: bool, now: Millis) {
        match self.tripped_at {
            None => self.exposed_before += u32::from(exposed),
            Some(at) => {
                self.sent_after += 1;
                self.sent_late += u32::from(now > at + TRIP_PROPAGATION);
            }
        }
    }

    /// Returns whether a bad version was rolled back, or the rollout of a good one was completed.
    #[must_use]
    pub fn is_correct(&self) -> bool {
        if self.scenario.fault.is_bad() {
            self.rolled_back
        } else {
            self.done_at.is_some() && !self.rolled_back
        }
    }
}
