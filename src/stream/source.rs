use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The engine stream that a response is read from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Name of the stream on the engine.
    pub handle: Arc<str>,
}
