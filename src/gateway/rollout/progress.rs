use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::Order;

/// How far a rollout has come. A later stage in this order replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The version gets a bounded share of the requests.
    Trial,
    /// The version gets all requests; the completion is not recorded yet.
    Promoted,
    /// The version gets no requests.
    Reverted,
    /// The completion is recorded, so that the endpoints of other versions end.
    Completed,
}

/// A rollout, as nodes tell each other of it and as its status is recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The order.
    pub order: Order,
    /// Offset of the order in the operator's topic, which identifies the rollout.
    pub offset: u64,
    /// Wall time at which the order became known to the first node.
    pub started: Millis,
    /// The current stage.
    pub stage: Stage,
}

impl Progress {
    /// Returns the wall time by which the rollout has to be completed.
    #[must_use]
    pub fn deadline(&self) -> Millis {
        self.started + self.order.duration
    }

    /// Merges what another node or the store knows of the same rollout; returns whether it says
    /// anything new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let started = self.started.min(other.started);
        let stage = self.stage.max(other.stage);
        let is_new = (started, stage) != (self.started, self.stage);
        self.started = started;
        self.stage = stage;
        is_new
    }
}
