use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Identity of a record: its writer, and a sequence number that grows with each record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Random number of the writer's process.
    pub incarnation: u64,
    /// Sequence number of the record among the writer's records in this stream, from 1.
    pub sequence: u64,
}

impl Key {
    /// Returns whether this is the key of record `sequence` of the writer `incarnation`.
    #[must_use]
    pub fn is(self, incarnation: u64, sequence: u64) -> bool {
        self.incarnation == incarnation && self.sequence == sequence
    }
}

/// The content of a record, which is encoded together with its key.
pub trait Encode: Send + Sync + 'static {
    /// Returns the text of the record, with its key and the wall time at the writer.
    fn encode(&self, writer: Key, at: Millis) -> Arc<str>;
}
