use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Millis;
use crate::log::Offset;

/// Claim of a task by a node, according to the log.
///
/// Safety does not depend on the claim alone: the records that its holder writes have their own
/// preconditions, and its orders to endpoints carry `offset` as a fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Offset of the claim record.
    pub offset: Offset,
    /// Unique id of the record.
    pub id: Uuid,
    /// Name of the claiming node.
    pub holder: Arc<str>,
    /// Number that identifies the node's process.
    pub incarnation: u64,
    /// Duration of the lease.
    pub lease_ms: Millis,
}
