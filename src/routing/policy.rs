use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Routing policy; all but `Expected` are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The endpoint with the least expected time to first token.
    #[default]
    Expected,
    /// The endpoints in turn.
    RoundRobin,
    /// The endpoint with the fewest outstanding requests: those of its last load report and those
    /// dispatched since.
    LeastOutstanding,
    /// The endpoint selected by a rendezvous hash of the first block, whatever its load.
    ConsistentHash,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Expected,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::ConsistentHash,
    ];

    /// Returns the name used on the command line and in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Expected => "expected",
            Self::RoundRobin => "round_robin",
            Self::LeastOutstanding => "least_outstanding",
            Self::ConsistentHash => "consistent_hash",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|policy| policy.as_str() == name);
        found.ok_or_else(|| format!("unknown routing policy `{name}`"))
    }
}
