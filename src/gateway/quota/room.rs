use crate::clock::Millis;

use super::delay::MAX_DELAY;

/// What is left of an account's quota when a request is decided.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// Units above the lowest level of the bucket.
    pub(super) units: f64,
    /// Units per second that refill it.
    pub(super) rate: f64,
    /// Units by which the bucket may be overdrawn.
    pub(super) allowance: f64,
}

impl Room {
    /// Returns the time in which the bucket gains units.
    pub(super) fn time_for(&self, units: f64) -> Millis {
        let time = units / self.rate * 1_000.0;
        Millis(time.min(MAX_DELAY.as_f64()) as u64 + 1)
    }
}
