use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Life cycle state in the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host serves.
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
    /// Life cycle state.
    #[serde(default)]
    pub state: State,
    /// Price per hour.
    #[serde(default)]
    pub price: f64,
}

/// A load report of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that are being served.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that can be served at the same time.
    pub slots: u32,
    /// Version that the endpoint serves.
    pub version: Arc<str>,
    /// Whether the endpoint announces that it is leaving.
    pub leaving: bool,
    /// Random number of the endpoint's process.
    pub incarnation: u64,
    /// Number of this report, from 0.
    pub seq: u64,
}

/// What a node knows about an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Its entry in the host list.
    pub host: Host,
    /// Its last load report.
    pub load: Load,
    /// When the load report arrived, on the monotonic clock.
    pub loaded_at: Millis,
    /// Requests that this node has in flight there.
    pub in_flight: u32,
    /// Whether any signal said that it is leaving; never taken back for the same process.
    pub leaving: bool,
}
