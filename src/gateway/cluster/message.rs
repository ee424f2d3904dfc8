use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::gateway::entries::{Entry, EntryState, Revision};
use crate::gateway::quota::{GrantReport, GrantRequest};
use crate::gateway::rollout;
use crate::gateway::scaler::Demand;
use crate::gateway::trailing::or_default;
use crate::gateway::usage::Counts;
use crate::gateway::{Committed, Era, Evacuation};

use super::announcement::Announcement;
use super::member::MemberUpdate;
use super::speeds::SpeedRequest;

/// A message from one node to another.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) enum Message {
    /// A gossip exchange; answered by a [`Response`].
    Exchange(Box<Request>),
    /// A request for quota; answered by the decision of the owner of the account's bucket.
    Quota(GrantRequest),
    /// Counters for the node that performs the duties; acknowledged without content.
    Report(Report),
    /// Grants for the next owner of the buckets; acknowledged without content.
    Grants(Vec<GrantReport>),
    /// As [`Message::Quota`], of a node to which the preferred owners of the bucket did not respond.
    QuotaAfterLoss(GrantRequest),
    /// Measured speeds of endpoints; answered by those that changed.
    Speeds(SpeedRequest),
}

/// The state of the sender, which is part of each request and response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Header {
    pub(super) announcement: Announcement,
    pub(super) uptime: Millis,
    /// Wall time: by the sender's own clock in a request, the median of all nodes in a response.
    pub(super) wall: Millis,
    /// Version of the sender's configuration.
    pub(super) config: u64,
}

/// The request of a gossip exchange.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct Request {
    pub(super) header: Header,
    /// The versions that the sender has of the receiver's state, if it requests a delta.
    pub(super) have: Option<Versions>,
    /// The sender's own claims on whether other nodes are alive.
    pub(super) claims: Vec<MemberUpdate>,
    /// What the sender knows of evacuations.
    #[serde(deserialize_with = "or_default")]
    pub(super) evacuations: Vec<Evacuation>,
}

/// The response of a gossip exchange.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Response {
    pub(super) header: Header,
    pub(super) delta: Option<Delta>,
    /// The configuration document, if the requester has an older version.
    pub(super) document: Option<Vec<u8>>,
    /// What the sender knows of evacuations.
    #[serde(deserialize_with = "or_default")]
    pub(super) evacuations: Vec<Evacuation>,
}

/// Versions of a node's state up to which another node has received it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Versions {
    /// Incarnation of the node; each one counts its versions from 0.
    pub(super) incarnation: u64,
    /// Version of the members.
    pub(super) members: u64,
    /// Version of the endpoints' entries.
    pub(super) entries: u64,
}

/// The changes of a node's state after some versions.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Delta {
    /// Versions that the receiver has once it has applied the delta.
    pub(super) versions: Versions,
    pub(super) members: Vec<MemberUpdate>,
    pub(super) entries: Vec<EntryUpdate>,
    /// Revision from which on the sender records all changes of entries.
    pub(super) entries_from: Option<Revision>,
    /// Position of the sender in the topic of endpoints, if the delta contains all changes of
    /// entries.
    pub(super) endpoints: Option<Progress>,
    /// Position of the sender in the operator's topic.
    pub(super) operator: Option<Progress>,
}

/// The new entry of an endpoint.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct EntryUpdate {
    pub(super) id: Arc<str>,
    revision: Revision,
    /// The content of the entry, if it is present.
    document: Option<Vec<u8>>,
    /// Time since the end of the outage of the store, if an absent entry may merely have expired.
    pub(super) missing_for: Option<Millis>,
}

impl EntryUpdate {
    /// Creates the update of an entry; `missing_for` is used only for one that is missing.
    pub(super) fn new(id: Arc<str>, entry: Entry, missing_for: Millis) -> Self {
        let missing_for = (entry.state == EntryState::Missing).then_some(missing_for);
        let document = match entry.state {
            EntryState::Present(document) => Some(document.into()),
            EntryState::Removed | EntryState::Missing => None,
        };
        Self {
            id,
            revision: entry.revision,
            document,
            missing_for,
        }
    }

    pub(super) fn into_entry(self) -> Entry {
        let state = match self.document {
            Some(document) => EntryState::Present(document.into()),
            None if self.missing_for.is_some() => EntryState::Missing,
            None => EntryState::Removed,
        };
        Entry {
            state,
            revision: self.revision,
        }
    }
}

/// A position in a topic, and the time since it was known to be the end of the topic.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Progress {
    pub(super) era: Era,
    pub(super) next: u64,
    pub(super) age: Millis,
}

/// The requests that a node has started, the demand of its requests on each service, and its evidence
/// on rollouts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct Report {
    pub(super) node: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) usage: Counts,
    pub(super) demand: Vec<(Arc<str>, Demand)>,
    /// What the responses say of versions on trial.
    pub(super) rollouts: Vec<rollout::Report>,
    /// Totals that the sender, as the holder of the duties, committed for the latest windows.
    pub(super) totals: Vec<(u64, Committed)>,
}

/// Encodes a message or a response.
pub(in crate::gateway) fn encode<T>(message: &T) -> Result<Bytes, Error>
where
    T: Serialize,
{
    postcard::to_stdvec(message)
        .map(Bytes::from)
        .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))
}

/// Decodes a message or a response.
pub(in crate::gateway) fn decode<T>(payload: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(payload)
        .map_err(|error| Error::not_run(ErrorKind::Malformed, error.to_string()))
}
