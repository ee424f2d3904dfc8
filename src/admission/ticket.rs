use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::config::Class;

/// A queued request, with what admission needs to know about it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Ticket {
    /// Id chosen by the caller of [`Admission`](super::Admission).
    pub id: u64,
    /// Client account.
    pub account: Arc<str>,
    /// Scheduling class.
    pub class: Class,
    /// Expected cost: tokens of prompt and response, or milliseconds of service time.
    pub cost: f64,
    /// Expected time from dispatch to the end of the response.
    pub expected: Millis,
    /// Time by which the response has to be finished.
    pub deadline: Millis,
}

impl Ticket {
    /// Returns whether a request that starts at `start` is expected to meet its deadline.
    #[must_use]
    pub fn meets_deadline(&self, start: Millis) -> bool {
        start + self.expected <= self.deadline
    }
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue of the account or of the node is full.
    QueueFull,
    /// The request isn't expected to meet its deadline.
    Deadline,
    /// The account has used up its rate limit.
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
