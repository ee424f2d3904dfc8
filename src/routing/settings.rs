use serde::Serialize;

use crate::clock::Millis;

use super::Policy;

/// Settings of a [`Router`](super::Router).
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// Routing policy.
    pub policy: Policy,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of prefix blocks stored per endpoint; 1,024 are 65,536 tokens.
    pub prefix_blocks: usize,
    /// Number of endpoints up to which a decision scores all of them; above it, only a sample.
    pub scan_limit: usize,
    /// Age at which a load report counts half.
    pub load_memory: Millis,
    /// Prefill time of one token in milliseconds, assumed for all engines.
    pub prefill_ms: f64,
    /// Initial estimate of the service time of a request in milliseconds.
    pub service_ms: f64,
    /// Assumed slots of an endpoint without a load report.
    pub default_slots: u32,
    /// Maximum share of an endpoint's slots that long requests may use.
    pub long_share: f64,
    /// Milliseconds added to the score of an endpoint at twice the mean price.
    pub price_ms: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::Expected,
            seed: 0,
            prefix_blocks: 1_024,
            scan_limit: 64,
            load_memory: Millis(2_000),
            prefill_ms: 0.05,
            service_ms: 1_000.0,
            default_slots: 16,
            long_share: 0.5,
            price_ms: 20.0,
        }
    }
}
