use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A node process that stores, or may store, responses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// Name of the node.
    pub name: Arc<str>,
    /// Number that identifies the process.
    pub incarnation: u64,
    /// Failure domain of its host.
    pub domain: Arc<str>,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for callers.
    pub listen: SocketAddr,
}
