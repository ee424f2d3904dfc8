use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::error::{Error, ErrorKind};
use crate::stream::{Progress, Replica, Snapshot};

/// Payload of `hold`.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hold {
    pub(super) owner: Replica,
    pub(super) snapshot: Snapshot,
}

/// Payload of `progress`; the answer is a [`Receipt`](crate::peer::Receipt) for each item.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Batch {
    pub(super) owner: Replica,
    pub(super) items: Vec<Progress>,
}

/// Payload of `handover`; the answer is the ids of the streams that were taken over.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Handover {
    pub(super) owner: Replica,
    pub(super) snapshots: Vec<Snapshot>,
}

/// Payload of `find`; the answer is a [`Found`] or nothing for each id.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Find {
    pub(super) ids: Vec<Uuid>,
    /// Only requests of this client account are found; none when one node asks about another's.
    pub(super) account: Option<Arc<str>>,
}

/// Where the response to a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Found {
    /// Address for callers.
    pub(super) address: SocketAddr,
    /// Whether the node serves the response; otherwise it holds a copy.
    pub(super) serves: bool,
}

pub(super) fn decode<T>(payload: &Bytes) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(payload)
        .map_err(|error| Error::not_run(ErrorKind::Malformed, error.to_string()))
}

pub(super) fn encode<T>(answer: &T) -> Result<Bytes, Error>
where
    T: Serialize,
{
    serde_json::to_vec(answer)
        .map(Bytes::from)
        .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))
}
