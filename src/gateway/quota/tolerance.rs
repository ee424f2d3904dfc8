use crate::clock::Millis;
use crate::gateway::Quota;

/// Part of the users' tolerance that an account is granted beyond its burst; the rest covers nodes
/// that don't hear each other.
const GRANTED_PART: f64 = 0.4;

/// How exactly a quota has to be kept, as the users state it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Part of what an account may have in a window by which it may have more.
    pub overage: f64,
    /// Units that it may have besides in a window.
    pub slack: f64,
    /// Length of a window.
    pub window: Millis,
}

impl Tolerance {
    /// Returns the units that an account may owe.
    #[must_use]
    pub fn allowance(&self, quota: &Quota) -> f64 {
        let in_window = quota.rate * self.window.as_f64() / 1_000.0 + quota.burst;
        (in_window * self.overage + self.slack) * GRANTED_PART
    }
}
