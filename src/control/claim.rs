use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Millis;
use crate::log::Offset;

/// The node that usually does a task, according to the log.
///
/// A claim never decides alone: the records that its holder writes have their own preconditions,
/// and its orders to endpoints carry `offset` as a fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Offset of the record.
    pub offset: Offset,
    /// Unique id of the record.
    pub id: Uuid,
    /// Name of the node.
    pub holder: Arc<str>,
    /// Random number of the node's process.
    pub incarnation: u64,
    /// Time for which the holder acts.
    pub lease_ms: Millis,
}
