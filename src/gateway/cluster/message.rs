use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::gateway::changelog::EntryState;
use crate::gateway::quota::GrantRequest;
use crate::gateway::scaler::Demand;
use crate::gateway::usage::Counts;

use super::announcement::Announcement;
use super::member::News;

/// A message from one node to another.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) enum Message {
    /// Answered by an [`Answer`].
    Exchange(Box<Question>),
    /// Answered by the decision of the owner of an account's bucket.
    Quota(GrantRequest),
    /// What the node that performs the duties has to know; answered by nothing.
    Report(Report),
    /// What the next owner of buckets has to know; answered by nothing.
    Grants(Grants),
}

/// What a node says of itself in each message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) announcement: Announcement,
    pub(super) uptime: Millis,
    /// Time of day: by its own clock in a question, the one that most nodes agree on in an answer.
    pub(super) wall: Millis,
    /// Version of its configuration.
    pub(super) config: u64,
}

/// What one node tells another, and asks for.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct Question {
    pub(super) head: Head,
    /// What the sender has of the receiver's news, if it asks for them.
    pub(super) since: Option<Since>,
    /// What the sender itself claims of other nodes.
    pub(super) claims: Vec<News>,
}

/// What the other node answers.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Answer {
    pub(super) head: Head,
    pub(super) news: Option<Changes>,
    /// Configuration document, for an asker that is behind.
    pub(super) document: Option<Vec<u8>>,
}

/// The versions of a node's news that another node has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Since {
    /// Incarnation of the node; the versions start from 0 in each.
    pub(super) incarnation: u64,
    /// Version of the members.
    pub(super) members: u64,
    /// Version of the endpoints' entries.
    pub(super) entries: u64,
}

/// What changed at a node.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Changes {
    /// Versions that the asker has then.
    pub(super) until: Since,
    pub(super) members: Vec<News>,
    pub(super) entries: Vec<EntryNews>,
    /// How far the sender has read the entries, if these are all of them.
    pub(super) endpoints: Option<Progress>,
    /// How far the sender has read the operator's records.
    pub(super) operator: Option<Progress>,
}

/// What became of the entry of an endpoint.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct EntryNews {
    pub(super) id: Arc<str>,
    /// The entry, if it is there.
    document: Option<Vec<u8>>,
    /// Whether a missing entry may only have lapsed.
    lapsed: bool,
}

impl EntryNews {
    pub(super) fn new((id, fate): (Arc<str>, EntryState)) -> Self {
        let lapsed = fate == EntryState::Missing;
        let document = match fate {
            EntryState::Present(document) => Some(document.into()),
            EntryState::Removed | EntryState::Missing => None,
        };
        Self {
            id,
            document,
            lapsed,
        }
    }

    pub(super) fn fate(self) -> EntryState {
        match self.document {
            Some(document) => EntryState::Present(document.into()),
            None if self.lapsed => EntryState::Missing,
            None => EntryState::Removed,
        }
    }
}

/// How far a node has read a topic, and how long ago that was all there was.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Progress {
    pub(super) next: u64,
    pub(super) age: Millis,
}

/// What began to run at a node and what its requests ask of each service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct Report {
    pub(super) node: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) usage: Counts,
    pub(super) demand: Vec<(Arc<str>, Demand)>,
}

/// What a node granted as the owner of buckets since it started.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct Grants {
    pub(super) node: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) uptime: Millis,
    pub(super) granted: Vec<(Arc<str>, u64)>,
}

/// Encodes a message or an answer.
pub(in crate::gateway) fn encode<T>(message: &T) -> Result<Bytes, Error>
where
    T: Serialize,
{
    postcard::to_stdvec(message)
        .map(Bytes::from)
        .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))
}

/// Decodes a message or an answer.
pub(in crate::gateway) fn decode<T>(payload: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(payload)
        .map_err(|error| Error::not_run(ErrorKind::Malformed, error.to_string()))
}
