use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// How an endpoint is chosen; all but `Expected` are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The least expected time to first token.
    #[default]
    Expected,
    /// One endpoint after the other.
    RoundRobin,
    /// The fewest requests reported and dispatched since.
    LeastOutstanding,
    /// Rendezvous hash of the first block, whatever the load.
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
        found.ok_or_else(|| format!("there is no policy `{name}`"))
    }
}
