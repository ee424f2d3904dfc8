use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::Tally;

/// What became of a request that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered completely.
    Answered {
        /// Time to the first token, or to the whole answer of a plain service.
        first: Millis,
        /// Mean time between two tokens in microseconds; 0 when there were none.
        gap_us: u64,
    },
    /// The endpoint answered with an error, or its stream broke while its host was reachable.
    Failed,
    /// No connection, or the connection was lost: the host may be gone.
    Unreachable,
    /// Ended for a reason that says nothing about the version, for example by the caller.
    Inconclusive,
}

/// From when on a response counts as slow; an upper quartile of the old version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Thresholds {
    /// Time to the first token.
    pub first_ms: Millis,
    /// Mean time between two tokens in microseconds.
    pub gap_us: u64,
}

impl Thresholds {
    /// Returns the counters that an outcome adds; nothing for those that don't count.
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
            Outcome::Inconclusive => Tally::default(),
        }
    }
}
