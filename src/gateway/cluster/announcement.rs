use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::Evidence;
use crate::gateway::rollout::Progress;

/// The requests that a node has in flight at one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inflight {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens of these requests that the endpoint has yet to prefill.
    pub tokens: u64,
}

/// What a node announces about itself. A later announcement replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the node.
    pub node: Arc<str>,
    /// Wall time of its start.
    pub incarnation: u64,
    /// Sequence number of the announcement; grows with each change.
    pub sequence: u64,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for callers.
    pub front: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// The reader from which it requests updates, and which watches whether it is alive.
    pub watcher: Option<Arc<str>>,
    /// Whether it can read the store.
    pub store_available: bool,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Fence of the duties' lease, while the node holds it.
    pub duties_fence: Option<u64>,
    /// Units granted to each account, announced during the first seconds after the start.
    pub granted: Vec<(Arc<str>, u64)>,
    /// Requests in flight at endpoints; announced only in a small cluster.
    pub inflight: Vec<Inflight>,
    /// What this node knows of prompt segments that crash endpoints.
    pub evidence: Evidence,
    /// The latest rollout of each service.
    pub rollouts: Vec<Progress>,
}

impl Announcement {
    /// Returns whether another announcement of the same run differs in its sequence number at most.
    #[must_use]
    pub fn same_content(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        renumbered == *self
    }
}
