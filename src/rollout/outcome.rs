use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::Tally;

/// Outcome of a request that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Answered {
        /// Time to the first token, or to the whole response of a plain service.
        first: Millis,
        /// Mean inter-token time in microseconds; 0 if there is none.
        gap_us: u64,
    },
    /// The caller left, or the deadline passed, after this time without a response.
    Waited(Millis),
    /// The endpoint returned an error, or its stream broke while its host was reachable.
    Failed,
    /// The connection failed or was lost, so that the host may be gone.
    Unreachable,
    /// The request ended for a reason that is unrelated to the version, for example because the
    /// caller cancelled it.
    Inconclusive,
}

impl Outcome {
    /// Returns the outcome as if the endpoint had begun this much sooner.
    #[must_use]
    pub fn without(self, time: Millis) -> Self {
        match self {
            Self::Answered { first, gap_us } => Self::Answered {
                first: first - time,
                gap_us,
            },
            Self::Waited(elapsed) => Self::Waited(elapsed - time),
            Self::Failed | Self::Unreachable | Self::Inconclusive => self,
        }
    }
}

/// Thresholds above which a response counts as slow: the upper quartiles of the old version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Thresholds {
    /// Time to the first token.
    pub first_ms: Millis,
    /// Mean inter-token time in microseconds.
    pub gap_us: u64,
}

impl Default for Thresholds {
    /// Returns the thresholds for a route with few responses: the latency target of the system.
    fn default() -> Self {
        Self {
            first_ms: Millis(1_500),
            gap_us: 70_000,
        }
    }
}

impl Thresholds {
    /// Returns the thresholds of responses that are `factor` times as slow.
    #[must_use]
    pub fn scaled(self, factor: u64) -> Self {
        Self {
            first_ms: Millis(self.first_ms.0.saturating_mul(factor)),
            gap_us: self.gap_us.saturating_mul(factor),
        }
    }

    /// Returns the counters that an outcome adds; none for an inconclusive outcome. Without
    /// thresholds, the timing does not count.
    #[must_use]
    pub fn tally_with(thresholds: Option<Self>, outcome: Outcome) -> Tally {
        let mut tally = thresholds.unwrap_or_default().tally(outcome);
        if thresholds.is_none() {
            tally.clear_timing();
        }
        tally
    }

    /// Returns the counters that an outcome adds; none for an inconclusive outcome.
    #[must_use]
    pub fn tally(&self, outcome: Outcome) -> Tally {
        match outcome {
            Outcome::Answered { first, gap_us } => Tally {
                requests: 1,
                failures: 0,
                timed: 1,
                slow_first: u32::from(first > self.first_ms),
                slow_gap: u32::from(gap_us > self.gap_us),
            },
            Outcome::Failed | Outcome::Unreachable => Tally {
                requests: 1,
                failures: 1,
                ..Tally::default()
            },
            Outcome::Waited(elapsed) if elapsed > self.first_ms => Tally {
                requests: 1,
                timed: 1,
                slow_first: 1,
                ..Tally::default()
            },
            Outcome::Waited(_) | Outcome::Inconclusive => Tally::default(),
        }
    }
}
