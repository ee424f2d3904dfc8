use rand::Rng;
use serde::Serialize;

use crate::clock::Millis;

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub first: Millis,
    /// Upper bound of all delays.
    pub limit: Millis,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Millis(20),
            limit: Millis(1_000),
        }
    }
}

impl Backoff {
    /// Returns a random delay before the retry that follows `attempts` attempts.
    ///
    /// The delay is uniform between zero and an upper bound that doubles with each attempt, so that
    /// requests that failed together are not retried together.
    pub fn delay<R>(&self, attempts: u32, rng: &mut R) -> Millis
    where
        R: Rng,
    {
        let doubled = self
            .first
            .0
            .saturating_mul(1 << attempts.saturating_sub(1).min(16));
        Millis(rng.random_range(0..=doubled.min(self.limit.0)))
    }
}
