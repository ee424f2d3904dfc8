use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::config::Class;

/// A request as admission sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Ticket {
    /// Number that the caller of admission knows it by.
    pub id: u64,
    /// Client account.
    pub account: Arc<str>,
    /// Scheduling class.
    pub class: Class,
    /// Cost units: tokens of prompt and response, or milliseconds of service time.
    pub cost: f64,
    /// Expected time from dispatch to the end.
    pub expected: Millis,
    /// When it has to be finished.
    pub deadline: Millis,
}

impl Ticket {
    /// Returns whether a request that starts at `start` is expected to meet its deadline.
    #[must_use]
    pub fn meets_deadline(&self, start: Millis) -> bool {
        start + self.expected <= self.deadline
    }
}

/// Why a request was refused; none of them has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue of the account or of the node is full.
    QueueFull,
    /// It can't be finished before its deadline.
    Deadline,
    /// The account has used up its limit.
    Limit,
}

impl Reason {
    /// Returns the name used in metrics and reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::Deadline => "deadline",
            Self::Limit => "limit",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
