use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Purchase class of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The cloud may reclaim the host with seconds of notice.
    Reclaimable,
    /// The host runs until it is stopped.
    OnDemand,
}

/// A kind of host that can be started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Failure domain.
    pub domain: Arc<str>,
    /// Purchase class.
    pub class: Class,
    /// Price per hour.
    pub price: f64,
    /// Whether starts were recently refused; if so, only hosts that already run are planned for.
    pub refused: bool,
    /// Number of hosts of this kind that run or are being started.
    pub running: u32,
}
