use serde::Serialize;

use crate::clock::Millis;

use super::Policy;

/// Constants of a [`Router`](super::Router).
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Seed of the generator.
    pub seed: u64,
    /// PrefixIndex blocks remembered per endpoint; 1,024 are 65,536 tokens.
    pub prefix_blocks: usize,
    /// Endpoints up to which a decision scores all of them; among more, it scores a sample.
    pub scan_limit: usize,
    /// Time after which a load report counts half.
    pub load_memory: Millis,
    /// Prefill time of a token in milliseconds, until engines are measured.
    pub prefill_ms: f64,
    /// Time of a request in milliseconds, until requests are measured.
    pub service_ms: f64,
    /// Slots of an endpoint that has not reported yet.
    pub default_slots: u32,
    /// Share of an endpoint's slots open to long work.
    pub long_share: f64,
    /// Milliseconds that an endpoint of twice the mean price counts as slower.
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
