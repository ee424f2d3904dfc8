use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::rollout::Trip;

/// Reason for a rollback.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The comparison found that the new version is worse than the old one.
    Trip(Trip),
    /// The rollout was not done by the deadline.
    Deadline,
    /// A configuration with this other version was published.
    Superseded(Arc<str>),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Trip(trip) => trip.fmt(f),
            Self::Deadline => f.write_str("not done by the deadline"),
            Self::Superseded(version) => write!(f, "version {version} was published"),
        }
    }
}
