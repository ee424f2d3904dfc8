use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::Error;

/// Number of the content that the store has; it rises by one each time the store is restored from an
/// earlier copy, which loses the latest records and gives their offsets out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// A response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<T> {
    /// Era in which the store responded; the lowest one if the store does not tell.
    pub era: Era,
    /// What the store responded.
    pub content: T,
}

/// A sequence of records in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Configuration and rollout orders, by key; written by operators.
    Operator,
    /// Endpoints, by id; written by the endpoints.
    Endpoints,
    /// Nodes of the gateway, by name.
    Nodes,
    /// Status of the gateway for operators, by key.
    Status,
    /// Lease of the duties, and the usage totals that its holders committed.
    Duties,
}

/// A record of a topic. In a keyed topic, a record without a value removes its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key, in topics that keep the latest record of each key.
    pub key: Option<Arc<str>>,
    /// Value.
    pub value: Option<Bytes>,
    /// Offset in the topic.
    pub offset: u64,
}

/// The outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Records from the requested offset on.
    Records {
        /// The records, in order.
        records: Vec<Record>,
        /// Offset after the last record of the topic.
        end: u64,
    },
    /// The store has no record at the requested offset: it is no longer retained, or lies beyond the
    /// end of a topic that was restored.
    Expired {
        /// First offset that is retained.
        first: u64,
    },
}

/// The latest record of each key of a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The records.
    pub records: Vec<Record>,
    /// Offset after the last record of the topic at the time when the first part of the snapshot
    /// was read.
    pub end: u64,
}

/// The outcome of a conditional append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// The record was stored at this offset.
    Stored {
        /// Offset of the record.
        offset: u64,
    },
    /// The topic does not end at the expected offset; nothing was stored.
    Conflict {
        /// Offset after the last record.
        end: u64,
    },
}

/// The platform's store.
///
/// The verdict of an error says whether the call may have taken effect. A call may even take effect
/// seconds after it has failed.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Returns the latest record of each key.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond or rejects the call.
    async fn snapshot(&self, topic: Topic) -> Result<Reply<Snapshot>, Error>;

    /// Returns records from the offset `from` on, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond or rejects the call.
    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Reply<Page>, Error>;

    /// Appends a record. If `at` is given, the record is stored only if the topic ends at that
    /// offset.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond or rejects the call; `MayHaveRun` if the record may have
    /// been stored.
    async fn append(
        &self,
        topic: Topic,
        at: Option<u64>,
        value: &[u8],
    ) -> Result<Reply<Append>, Error>;

    /// Replaces the record of a key. If `at` is given, the record is stored only if the topic ends
    /// at that offset.
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
    ) -> Result<Reply<Append>, Error>;
}
