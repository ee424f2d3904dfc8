use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

/// What is known of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs at the same time.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub memory_tokens: u64,
}

/// How many endpoints of a service may be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Scale {
    /// Fewest endpoints in a failure domain.
    pub min: u32,
    /// Most endpoints in a failure domain.
    pub max: u32,
    /// Time from an order until the endpoint serves.
    pub boot: Millis,
    /// Price of a reclaimable endpoint as a part of the price of another one.
    pub spot_price: Option<f64>,
    /// Price of a second of an endpoint in each failure domain.
    pub prices: HashMap<Arc<str>, f64>,
}

/// A group of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Most connections that an endpoint accepts from all gateways together.
    pub max_connections: u32,
    /// Present for model engines.
    pub engine: Option<Engine>,
    /// Present when the number of endpoints may be ordered.
    pub scale: Option<Scale>,
}
