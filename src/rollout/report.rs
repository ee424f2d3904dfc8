use serde::{Deserialize, Serialize};

use crate::log::Offset;

use super::Comparison;

/// The counters of one node, as it sends them to other nodes once a second during a rollout.
///
/// Counters are cumulative, so that a lost message loses nothing. With 4 routes a report takes
/// about 250 bytes; sent to 3 peers a second it stays within the budget of 2 KB/s for a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Offset of the record that started the rollout.
    pub rollout: Offset,
    /// Incarnation of the node; counters start from 0 in each.
    pub incarnation: u64,
    /// Counters per route, in the order of the rollout's route list.
    pub routes: Vec<Comparison>,
}
