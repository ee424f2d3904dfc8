use crate::clock::Millis;

use super::Scenario;

/// Time after a trip within which the last request may reach the version.
pub(super) const SETTLE: Millis = Millis(2_000);

/// What a policy did with one scenario.
#[derive(Clone, Copy, Debug)]
pub struct Score {
    /// The scenario.
    pub scenario: Scenario,
    /// When the new version was done, if it was.
    pub done_at: Option<Millis>,
    /// When the first node tripped or the rollout was rolled back, if it was.
    pub tripped_at: Option<Millis>,
    /// Whether the rollout ended with a rollback.
    pub rolled_back: bool,
    /// Requests of the whole window, expected.
    pub window_requests: f64,
    /// Requests that met the version's fault before the trip.
    pub exposed_before: u32,
    /// Requests sent to the version after the trip.
    pub sent_after: u32,
    /// Those sent more than 2 s after the trip.
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
                self.sent_late += u32::from(now > at + SETTLE);
            }
        }
    }

    /// Returns whether the outcome is the one that the version deserves.
    #[must_use]
    pub fn is_right(&self) -> bool {
        if self.scenario.fault.is_bad() {
            self.rolled_back
        } else {
            self.done_at.is_some() && !self.rolled_back
        }
    }
}
