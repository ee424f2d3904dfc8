use serde::{Deserialize, Serialize};

use crate::log::Offset;

use super::Comparison;

/// The counters that a node sends to other nodes once per second during a rollout.
///
/// Counters are cumulative, so that a lost message loses no evidence. With 4 routes a report takes
/// about 250 bytes; sent to 3 peers per second, it stays within the budget of 2 KB/s per node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Offset of the record that started the rollout.
    pub rollout: Offset,
    /// Incarnation of the node; counters start at 0 in each incarnation.
    pub incarnation: u64,
    /// Counters per route, in the order of the rollout's list of routes.
    pub routes: Vec<Comparison>,
}
