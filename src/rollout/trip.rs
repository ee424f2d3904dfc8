use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::log::Offset;

use super::Metric;

/// The decision to send no more requests to a version; it is never reverted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trip {
    /// Offset of the record that started the rollout.
    pub rollout: Offset,
    /// The version that was tripped.
    pub version: Arc<str>,
    /// The route on which the fault was detected.
    pub route: Arc<str>,
    /// The metric that is worse than with the old version.
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
