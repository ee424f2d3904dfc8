use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::rollout::Trip;

/// Why a rollout was rolled back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The version was found bad.
    Trip(Trip),
    /// It was not done by the deadline.
    Deadline,
    /// A configuration that names another version was published.
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
