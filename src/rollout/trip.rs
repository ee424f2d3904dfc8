use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::log::Offset;

use super::Metric;

/// The decision to send nothing more to a version; never taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trip {
    /// Offset of the record that started the rollout.
    pub rollout: Offset,
    /// The version.
    pub version: Arc<str>,
    /// The route on which the fault shows.
    pub route: Arc<str>,
    /// What is worse than with the old version.
    pub metric: Metric,
}

impl fmt::Display for Trip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version {} is worse in {} on route {}",
            self.version,
            self.metric.as_str(),
            self.route
        )
    }
}
