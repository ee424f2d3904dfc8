use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Longest retry delay that a denial states.
const MAX_RETRY_AFTER: Millis = Millis(10_000);

/// Refill rate and bounds of a bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    /// Units per second.
    pub(super) rate: f64,
    /// Maximum number of units in the bucket.
    pub(super) burst: f64,
    /// Units by which the bucket may be overdrawn.
    pub(super) allowance: f64,
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Denial {
    /// Time after which it may be granted.
    pub retry_after: Millis,
    /// Units in the bucket.
    pub level: f64,
    /// Units per second that refill it.
    pub rate: f64,
}

/// A token bucket that may be overdrawn.
///
/// A request of any size is granted while the bucket is overdrawn by less than the allowance, so
/// that large requests wait no longer than small ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    level: f64,
    updated: Millis,
    /// Units of denied requests whose retry delay has not passed yet.
    reserved: f64,
}

impl Bucket {
    pub(super) fn new(level: f64, now: Millis) -> Self {
        Self {
            level,
            updated: now,
            reserved: 0.0,
        }
    }

    /// Takes the cost of a request from the bucket, or denies the request.
    pub(super) fn take(&mut self, limit: &Limit, cost: f64, now: Millis) -> Result<(), Denial> {
        self.refill(limit, now);
        let missing = -limit.allowance - self.level;
        if missing < 0.0 {
            self.level -= cost;
            return Ok(());
        }
        // Requests that were denied earlier retry first.
        let wait = (missing + self.reserved) / limit.rate * 1_000.0;
        self.reserved += cost;
        Err(Denial {
            retry_after: Millis(wait as u64 + 1).min(MAX_RETRY_AFTER),
            level: self.level,
            rate: limit.rate,
        })
    }

    /// Deducts units that other nodes granted.
    pub(super) fn deduct(&mut self, units: f64, limit: &Limit) {
        let lowest_level = -limit.allowance - limit.burst;
        self.level = (self.level - units).max(lowest_level.min(self.level));
    }

    /// Returns when the bucket was last used.
    pub(super) fn updated(&self) -> Millis {
        self.updated
    }

    fn refill(&mut self, limit: &Limit, now: Millis) {
        let added = limit.rate * (now - self.updated).as_f64() / 1_000.0;
        self.level = (self.level + added).min(limit.burst);
        self.reserved = (self.reserved - added).max(0.0);
        self.updated = now;
    }
}
