//! Load answered: requests of all nodes to a cold endpoint.

use super::turns::MAX_LATENESS;

/// How far all nodes together may exceed the rate that cold endpoints tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests per second in addition.
    pub slack: f64,
}

impl Default for ColdTolerance {
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}

/// Maximum rate at which all nodes together send to one cold endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second.
    pub rate: f64,
}

impl ColdLimit {
    /// Returns the limit where cold endpoints tolerate `rate` requests per second; none if they
    /// tolerate any.
    ///
    /// Within any second, one turn more begins than the rate says, and turns that began before it
    /// are taken late.
    #[must_use]
    pub fn new(rate: f64, tolerance: ColdTolerance) -> Option<Self> {
        if rate.is_nan() || rate <= 0.0 {
            return None;
        }
        let allowed = rate * tolerance.overage + tolerance.slack;
        let safe = (allowed - 1.0) / (1.0 + MAX_LATENESS.as_f64() / 1_000.0);
        let least = allowed.min(rate) / 2.0;
        let rate = rate.min(safe.max(least));
        Some(Self { rate })
    }
}
