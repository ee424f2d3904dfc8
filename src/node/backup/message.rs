use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::error::{Error, ErrorKind};
use crate::stream::{Progress, Replica, Snapshot};

/// Payload of a `hold` RPC; the response is the number of chunks of the stored copy.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hold {
    pub(super) owner: Replica,
    pub(super) snapshot: Snapshot,
}

/// Payload of a `progress` RPC; the response is a [`Receipt`](crate::peer::Receipt) for each item.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Batch {
    pub(super) owner: Replica,
    pub(super) items: Vec<Progress>,
}

/// Payload of a `handover` RPC; the response lists the ids of the responses that were taken
/// over.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Handover {
    pub(super) owner: Replica,
    pub(super) snapshots: Vec<Snapshot>,
}

/// Payload of a `find` RPC; the response is an optional [`Found`] for each id.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Find {
    pub(super) ids: Vec<Uuid>,
    /// Client account whose requests are found; `None` when a node checks another node's
    /// responses, which finds requests of all accounts.
    pub(super) account: Option<Arc<str>>,
}

/// Where the response to a request can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Found {
    /// Address for callers.
    pub(super) address: SocketAddr,
    /// Whether the node serves the response; otherwise it stores a copy.
    pub(super) serves: bool,
}

/// Parses the JSON payload of an RPC.
///
/// # Errors
///
/// Fails with [`ErrorKind::Malformed`] if the payload does not match the expected type.
pub(super) fn decode<T>(payload: &Bytes) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(payload)
        .map_err(|error| Error::not_run(ErrorKind::Malformed, error.to_string()))
}

/// Serializes the response to an RPC as JSON.
///
/// # Errors
///
/// Fails with [`ErrorKind::Internal`] if the response cannot be serialized.
pub(super) fn encode<T>(response: &T) -> Result<Bytes, Error>
where
    T: Serialize,
{
    serde_json::to_vec(response)
        .map(Bytes::from)
        .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))
}
