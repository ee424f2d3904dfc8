use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

/// Capacity of each model engine of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// KV cache memory of an engine, in tokens.
    pub memory_tokens: u64,
}

/// Limits and prices for autoscaling a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Scale {
    /// Minimum number of endpoints in a failure domain.
    pub min: u32,
    /// Maximum number of endpoints in a failure domain.
    pub max: u32,
    /// Time from an order until the endpoint serves requests.
    pub boot_time: Millis,
    /// Price of a spot endpoint, which the cloud may reclaim, relative to a steady one; `None` if
    /// the service has no spot endpoints.
    pub spot_price: Option<f64>,
    /// Price of an endpoint per second, by failure domain.
    pub prices: HashMap<Arc<str>, f64>,
}

impl Scale {
    /// Returns the same limits without the failure domains for which `is_closed` returns true.
    #[must_use]
    pub fn without<F>(&self, is_closed: F) -> Self
    where
        F: Fn(&str) -> bool,
    {
        let mut open = self.clone();
        open.prices.retain(|domain, _| !is_closed(domain));
        open
    }
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Maximum number of connections that an endpoint accepts from all gateway nodes together.
    pub max_connections: u32,
    /// Requests per second that an endpoint tolerates while it is cold; any number if 0.
    pub cold_rate: f64,
    /// Engine capacity, if the endpoints are model engines.
    pub engine: Option<Engine>,
    /// Autoscaling limits, if the gateway may order endpoints.
    pub scale: Option<Scale>,
}
