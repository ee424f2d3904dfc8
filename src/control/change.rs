use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Millis;
use crate::log::Offset;
use crate::rollout::Thresholds;

use super::Reason;

/// A record about a rollout or a claim.
///
/// `at` is the wall time of the writer. Every precondition is on the folded state, so that a
/// duplicate or late record has no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Starts the rollout that the active configuration asks for.
    RolloutStart {
        /// Unique id of the record.
        id: Uuid,
        /// The service.
        service: Arc<str>,
        /// Version that serves now.
        from: Arc<str>,
        /// Version that the configuration names.
        to: Arc<str>,
        /// Writer's wall time.
        at: Millis,
        /// Wall time by which the rollout has to be done.
        deadline: Millis,
        /// Compared routes, and from when on a response counts as slow on each.
        limits: Vec<(Arc<str>, Thresholds)>,
    },
    /// Begins the stage after the present one.
    RolloutStage {
        /// Unique id of the record.
        id: Uuid,
        /// Offset of the record that started the rollout.
        rollout: Offset,
        /// Number of the stage.
        stage: u32,
        /// Writer's wall time.
        at: Millis,
    },
    /// Ends the last stage; the old version stays able to take traffic for a while.
    RolloutDone {
        /// Unique id of the record.
        id: Uuid,
        /// Offset of the record that started the rollout.
        rollout: Offset,
        /// Writer's wall time.
        at: Millis,
    },
    /// Returns all traffic to the old version.
    RolloutRollback {
        /// Unique id of the record.
        id: Uuid,
        /// Offset of the record that started the rollout.
        rollout: Offset,
        /// Why.
        why: Reason,
        /// Writer's wall time.
        at: Millis,
    },
    /// Claims a task for a time, or extends the claim.
    Claim {
        /// Unique id of the record.
        id: Uuid,
        /// The task.
        task: Arc<str>,
        /// Name of the node.
        holder: Arc<str>,
        /// Random number of the node's process.
        incarnation: u64,
        /// Time for which the holder acts, on its own monotonic clock from before the append.
        lease_ms: Millis,
        /// The claim that this one follows.
        previous: Option<Offset>,
    },
}
