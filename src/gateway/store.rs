use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use crate::clock::Millis;
use crate::error::Error;

/// A sequence of records in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Configuration and rollout orders, by key; written by operators.
    Operator,
    /// Endpoints, by id; written by the endpoints.
    Endpoints,
    /// Nodes of the gateway, by name.
    Nodes,
    /// What the gateway tells operators, by key.
    Status,
    /// Leases and what their holders have fixed.
    Duties,
}

/// A record; without a value it removes its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key, in topics that keep the newest record of each.
    pub key: Option<Arc<str>>,
    /// Value.
    pub value: Option<Bytes>,
    /// Position in the topic.
    pub offset: u64,
}

/// A part of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Records from the offset that was asked for; `end` is the offset after the last one stored.
    Records {
        /// The records, in order.
        records: Vec<Record>,
        /// Offset after the last record of the topic.
        end: u64,
    },
    /// Records from the offset that was asked for are not kept any more.
    Expired {
        /// First offset that is kept.
        first: u64,
    },
}

/// The newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The records.
    pub records: Vec<Record>,
    /// Offset after the last record of the topic, when the first part of the snapshot was read.
    pub end: u64,
}

/// What became of an append under a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// The record was stored at this offset.
    Stored {
        /// Position of the record.
        offset: u64,
    },
    /// The topic ends elsewhere; nothing was stored.
    Conflict {
        /// Offset after the last record.
        end: u64,
    },
}

/// The platform's store.
///
/// An error says in its verdict whether the call may have taken effect; a call may also take effect
/// seconds after its error.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Returns the newest record of each key.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or refuses.
    async fn snapshot(&self, topic: Topic) -> Result<Snapshot, Error>;

    /// Returns records from `from` on, and waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or refuses.
    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Page, Error>;

    /// Appends a record, if `at` is given only when the topic ends there.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or refuses; `MayHaveRun` when the record may be stored.
    async fn append(&self, topic: Topic, at: Option<u64>, value: &[u8]) -> Result<Append, Error>;

    /// Replaces the record of a key, if `at` is given only when the topic ends there.
    ///
    /// # Errors
    ///
    /// As [`Store::append`].
    async fn put(
        &self,
        topic: Topic,
        at: Option<u64>,
        key: &str,
        value: &[u8],
    ) -> Result<Append, Error>;
}
