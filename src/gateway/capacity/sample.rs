//! Load answered: many nodes that each see few responses of one endpoint.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::Identity;

/// Classes per doubling of the time that work takes.
const CLASSES_PER_DOUBLING: f64 = 8.0;

/// The class of an endpoint of usual speed.
const USUAL_CLASS: f64 = 128.0;

/// How slow a run of an endpoint is, in the few bytes that nodes exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Hash of the endpoint's identity.
    pub endpoint: u32,
    /// Logarithm of its slowness, in steps of about 9%.
    pub class: u8,
}

impl Sample {
    /// Creates the sample of an endpoint on which work takes `slowness` times as long as usual.
    #[must_use]
    pub fn new(identity: &Identity, slowness: f64) -> Self {
        let endpoint = Self::hash(identity);
        Self { endpoint, class: 0 }.reclassified(slowness)
    }

    /// Returns the sample of the same endpoint with another slowness.
    #[must_use]
    pub fn reclassified(self, slowness: f64) -> Self {
        let class = USUAL_CLASS + (slowness.log2() * CLASSES_PER_DOUBLING).round();
        Self {
            class: class.clamp(0.0, 255.0) as u8,
            ..self
        }
    }

    /// Returns the hash by which nodes name a run of an endpoint to each other.
    #[must_use]
    pub fn hash(identity: &Identity) -> u32 {
        xxh3_64_with_seed(identity.id.as_bytes(), identity.born) as u32
    }

    /// Returns how long work takes on the endpoint, relative to one of usual speed.
    #[must_use]
    pub fn slowness(self) -> f64 {
        ((f64::from(self.class) - USUAL_CLASS) / CLASSES_PER_DOUBLING).exp2()
    }
}
