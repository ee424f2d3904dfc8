use crate::clock::Millis;
use crate::gateway::Quota;

/// Share of the tolerance that an account may overdraw its bucket by; the rest covers nodes that
/// can't reach each other.
const ALLOWANCE_SHARE: f64 = 0.4;

/// How far an account may exceed its quota in any window, as the operator configures it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Overage as a share of what the quota allows in a window.
    pub overage: f64,
    /// Overage in units, in addition.
    pub slack: f64,
    /// Length of a window.
    pub window: Millis,
}

impl Tolerance {
    /// Returns the units that a quota allows in a window.
    #[must_use]
    pub fn units_in_window(&self, quota: &Quota) -> f64 {
        quota.rate * self.window.as_f64() / 1_000.0 + quota.burst
    }

    /// Returns the units by which an account may overdraw its bucket.
    #[must_use]
    pub fn allowance(&self, quota: &Quota) -> f64 {
        (self.units_in_window(quota) * self.overage + self.slack) * ALLOWANCE_SHARE
    }
}
