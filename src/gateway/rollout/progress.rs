use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::Order;
use crate::gateway::Era;

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
    /// Era of the store in which the order has this offset.
    pub era: Era,
}

impl Progress {
    /// Returns where the order was written. A later position is that of a later order.
    #[must_use]
    pub fn position(&self) -> (Era, u64) {
        (self.era, self.offset)
    }

    /// Returns whether another order is this one: it has the same position, or it was lost with a
    /// restore of the store and written again.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        if self.era == other.era {
            return self.offset == other.offset;
        }
        self.order == other.order
    }

    /// Returns the era in which the record of an order at `offset` was written, as far as is known.
    /// It was read in the era `current`, with the latest record of each key.
    ///
    /// Where this order was lost with a restore, the store has an earlier one instead until this one
    /// is written again.
    #[must_use]
    pub fn era_of(&self, order: &Order, offset: u64, current: Era) -> Era {
        let is_earlier = self.era < current && offset < self.offset && *order != self.order;
        if is_earlier { self.era } else { current }
    }

    /// Returns the wall time by which the rollout has to be completed.
    #[must_use]
    pub fn deadline(&self) -> Millis {
        self.started + self.order.duration
    }

    /// Merges what another node or the store knows of the same rollout; returns whether it says
    /// anything new.
    pub fn merge(&mut self, other: &Self) -> bool {
        (self.era, self.offset) = self.position().max(other.position());
        let started = self.started.min(other.started);
        let stage = self.stage.max(other.stage);
        let is_new = (started, stage) != (self.started, self.stage);
        self.started = started;
        self.stage = stage;
        is_new
    }
}
