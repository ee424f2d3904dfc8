use serde::{Deserialize, Serialize};

use crate::log::Offset;

use super::Pair;

/// The counters of one node, as it sends them to other nodes once a second during a rollout.
///
/// Counters are cumulative, so that a lost message loses nothing. With 4 routes and 8 counters of
/// at most 3 bytes each, a report is about 100 bytes; sent to 3 peers with the probes it costs
/// 300 bytes a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Offset of the record that started the rollout.
    pub rollout: Offset,
    /// Incarnation of the node; counters start from 0 in each.
    pub incarnation: u64,
    /// Counters per route, in the order of the rollout's route list.
    pub routes: Vec<Pair>,
}
