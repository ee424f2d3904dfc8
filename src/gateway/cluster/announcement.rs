use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a node says about one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inflight {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Requests of the node there.
    pub requests: u32,
    /// Prompt tokens of the node that the endpoint has still to read.
    pub tokens: u64,
}

/// What a node says about itself. A later announcement replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the node.
    pub node: Arc<str>,
    /// Wall time of its start.
    pub incarnation: u64,
    /// Number of the announcement; grows with each change.
    pub sequence: u64,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for callers.
    pub front: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// The node that it asks for news, and to watch whether it lives.
    pub watcher: Option<Arc<str>>,
    /// Whether the store answers it.
    pub reads: bool,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Fence of the duties, while the node performs them.
    pub duties: Option<u64>,
    /// Units that it granted to each account, in the first seconds after its start.
    pub granted: Vec<(Arc<str>, u64)>,
    /// What it has at endpoints, among few nodes.
    pub inflight: Vec<Inflight>,
}

impl Announcement {
    /// Returns whether another announcement of the same run says the same.
    #[must_use]
    pub fn says_same(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        renumbered == *self
    }
}
