use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::log::writer;

use super::{Call, Digest, Key, Outcome, Part};

/// A record of a `calls-<shard>` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who wrote it.
    pub writer: writer::Key,
    /// Wall time of the writer.
    pub at: Millis,
    /// What it does.
    pub action: Action,
}

/// What a record does when its precondition holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Accepts a call; the key must have no entry.
    Accept {
        /// Idempotency key.
        key: Key,
        /// Hash of account, route and body.
        digest: Digest,
        /// What another node needs to run the call.
        order: Box<Call>,
        /// Keys made at or before this time may be forgotten.
        horizon: Millis,
    },
    /// Claims the right to send; the key must be accepted with the same digest.
    Dispatch {
        /// Idempotency key.
        key: Key,
        /// Hash of account, route and body.
        digest: Digest,
        /// Name of the endpoint's host.
        endpoint: Arc<str>,
    },
    /// Gives the right to send back; the writer guarantees that it never sent and never will.
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
        /// How it ended.
        outcome: Outcome,
    },
    /// Rules out that the call ever runs; the key must have no entry or be accepted.
    Void {
        /// Idempotency key.
        key: Key,
        /// Hash of account, route and body.
        digest: Digest,
        /// Keys made at or before this time may be forgotten.
        horizon: Millis,
    },
    /// Sets the number of streams that keys are spread over; only the first has an effect.
    ///
    /// Two nodes with different numbers would look for one key in two streams. The record stands
    /// in the first stream, which all nodes read.
    Layout {
        /// Number of streams.
        shards: u32,
    },
    /// Part of the state as of an offset, for readers that start after a gap.
    Checkpoint(Box<Part>),
}

impl writer::Encode for Action {
    fn encode(&self, writer: writer::Key, at: Millis) -> Arc<str> {
        let record = Record {
            writer,
            at,
            action: self.clone(),
        };
        // Records have only text keys and plain values, which always serialize.
        serde_json::to_string(&record)
            .expect("records serialize")
            .into()
    }
}

impl Action {
    /// Returns the idempotency key that the record is about.
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
