use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Class of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// May be reclaimed with seconds of notice.
    Reclaimable,
    /// Stays until it is stopped.
    OnDemand,
}

/// A kind of host that can be started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Failure domain.
    pub domain: Arc<str>,
    /// Class.
    pub class: Class,
    /// Price per hour.
    pub price: f64,
    /// Whether starts were refused lately; such an offer is used for hosts that run already only.
    pub refused: bool,
    /// Hosts of this kind that run or are being started.
    pub running: u32,
}
