//! Load answered: routes whose callers lose at different delays.

use crate::clock::Millis;

/// Spread of response times around the expected one: the exponent of a log-logistic distribution.
const SHAPE: i32 = 4;

/// What the callers of a route need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Time to the first event, or to a whole response.
    pub latency: Millis,
    /// Longest pause between two events of a stream.
    pub gap: Option<Millis>,
}

impl Targets {
    /// Returns the probability that a response misses its latency target.
    #[must_use]
    pub fn latency_risk(&self, expected_ms: f64) -> f64 {
        risk(expected_ms, self.latency)
    }

    /// Returns the probability that a stream misses its gap target.
    #[must_use]
    pub fn gap_risk(&self, expected_ms: f64) -> f64 {
        self.gap.map_or(0.0, |gap| risk(expected_ms, gap))
    }

    /// Returns whether a response with these expected times keeps the targets.
    #[must_use]
    pub fn are_kept(&self, first_event_ms: f64, gap_ms: f64) -> bool {
        first_event_ms <= self.latency.as_f64() && self.gap.is_none_or(|gap| gap_ms <= gap.as_f64())
    }
}

fn risk(expected_ms: f64, target: Millis) -> f64 {
    if target == Millis::ZERO {
        return 0.0;
    }
    let odds = (expected_ms.max(0.0) / target.as_f64()).powi(SHAPE);
    odds / (1.0 + odds)
}
