use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Millis;
use crate::log::Offset;
use crate::rollout::Thresholds;

use super::Reason;

/// A change of a rollout or a claim.
///
/// `at` is the wall time of the writer. Preconditions are checked against the state derived from
/// the preceding records, so a duplicate or late record has no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Starts the rollout that the active configuration requires.
    RolloutStart {
        /// Unique id of the record.
        id: Uuid,
        /// Name of the service.
        service: Arc<str>,
        /// Version that serves at present.
        from: Arc<str>,
        /// Version that the configuration specifies.
        to: Arc<str>,
        /// Writer's wall time.
        at: Millis,
        /// Wall time by which the rollout must be done.
        deadline: Millis,
        /// Routes on which the versions are compared, with the thresholds of each.
        limits: Vec<(Arc<str>, Thresholds)>,
    },
    /// Begins the next stage.
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
    /// Ends the last stage; the old version stays available for traffic during the bake time.
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
        /// Reason for the rollback.
        why: Reason,
        /// Writer's wall time.
        at: Millis,
    },
    /// Claims a task for the duration of a lease, or renews the claim.
    Claim {
        /// Unique id of the record.
        id: Uuid,
        /// Name of the task.
        task: Arc<str>,
        /// Name of the claiming node.
        holder: Arc<str>,
        /// Number that identifies the node's process.
        incarnation: u64,
        /// Duration of the lease; the holder counts it on its monotonic clock from before the
        /// append.
        lease_ms: Millis,
        /// Offset of the claim that this one replaces.
        previous: Option<Offset>,
    },
}
