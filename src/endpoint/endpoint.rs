use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Lifecycle state of a host in the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host serves requests.
    #[default]
    Live,
    /// The host is about to be reclaimed or stopped.
    Leaving,
}

/// One entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name of the host.
    pub host: Arc<str>,
    /// Address of the endpoint on it.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Version that the endpoint serves.
    pub version: Arc<str>,
    /// Lifecycle state.
    #[serde(default)]
    pub state: State,
    /// Price per hour.
    #[serde(default)]
    pub price: f64,
}

/// Load report of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests being served.
    pub running: u32,
    /// Requests waiting in the endpoint's queue.
    pub queued: u32,
    /// Requests that the endpoint can serve concurrently.
    pub slots: u32,
    /// Version that the endpoint serves.
    pub version: Arc<str>,
    /// Whether the endpoint announces that it is leaving.
    pub leaving: bool,
    /// Random number that identifies the endpoint's process.
    pub incarnation: u64,
    /// Sequence number of this report, from 0.
    pub seq: u64,
}

/// State of an endpoint as one node knows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Entry in the host list.
    pub host: Host,
    /// Last load report.
    pub load: Load,
    /// Time at which the load report arrived, on the monotonic clock.
    pub loaded_at: Millis,
    /// This node's requests in flight at the endpoint.
    pub in_flight: u32,
    /// Whether any source reported that the endpoint is leaving; never reset for the same process.
    pub leaving: bool,
}
