use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::log::writer;

use super::{Call, Digest, Key, Outcome, Part};

/// A record of a `calls-<shard>` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Writer and sequence number of the record.
    pub writer: writer::Key,
    /// Wall time of the writer.
    pub at: Millis,
    /// Action of the record.
    pub action: Action,
}

/// Action of a record, which takes effect when its precondition holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Accepts a call; the key must have no entry.
    Accept {
        /// Idempotency key.
        key: Key,
        /// Hash of account, route and body.
        digest: Digest,
        /// The call.
        #[serde(rename = "order")]
        call: Box<Call>,
        /// Keys created at or before this time may be forgotten.
        horizon: Millis,
    },
    /// Claims the exclusive right to send the call; the key must be accepted with the same digest.
    Dispatch {
        /// Idempotency key.
        key: Key,
        /// Hash of account, route and body.
        digest: Digest,
        /// Name of the endpoint's host.
        endpoint: Arc<str>,
    },
    /// Returns the right to send; the writer guarantees that it has not sent the call and never
    /// will.
    Release {
        /// Idempotency key.
        key: Key,
        /// Sequence number of the writer's `dispatch` record.
        dispatch: u64,
    },
    /// Ends a call that was sent.
    Finish {
        /// Idempotency key.
        key: Key,
        /// Sequence number of the writer's `dispatch` record.
        dispatch: u64,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// Ensures that the call never runs; the key must have no entry or be accepted.
    Void {
        /// Idempotency key.
        key: Key,
        /// Hash of account, route and body.
        digest: Digest,
        /// Keys created at or before this time may be forgotten.
        horizon: Millis,
    },
    /// Sets the number of shards, each with a stream of its own; only the first such record has an
    /// effect.
    ///
    /// Two nodes with different numbers would look up one key in two streams. The record is in the
    /// first stream, which all nodes read.
    Layout {
        /// Number of shards.
        shards: u32,
    },
    /// Part of the state up to an offset, for readers that start after a gap.
    Checkpoint(Box<Part>),
}

impl writer::Encode for Action {
    fn encode(&self, writer: writer::Key, at: Millis) -> Arc<str> {
        let record = Record {
            writer,
            at,
            action: self.clone(),
        };
        // Records contain only text keys and plain values, whose serialization can't fail.
        serde_json::to_string(&record)
            .expect("records serialize")
            .into()
    }
}

impl Action {
    /// Returns the idempotency key of the action, if it has one.
    #[must_use]
    pub fn key(&self) -> Option<Key> {
        match self {
            Self::Accept { key, .. }
            | Self::Dispatch { key, .. }
            | Self::Release { key, .. }
            | Self::Finish { key, .. }
            | Self::Void { key, .. } => Some(*key),
            Self::Layout { .. } | Self::Checkpoint(_) => None,
        }
    }
}
