use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Longest time after which a caller is told to come back.
const LONGEST_DELAY: Millis = Millis(10_000);

/// What fills a bucket, and what it holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    /// Units a second.
    pub(super) rate: f64,
    /// Most units.
    pub(super) burst: f64,
    /// Units that may be owed.
    pub(super) allowance: f64,
}

/// Why a request is not granted now.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Denial {
    /// Time after which it may be granted.
    pub retry_after: Millis,
    /// Units in the bucket.
    pub level: f64,
    /// Units a second that fill it.
    pub rate: f64,
}

/// A token bucket that may owe units.
///
/// A request is granted while less than the allowance is owed, whatever its size, so that large
/// requests wait no longer than small ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    level: f64,
    updated: Millis,
    /// Units of refused requests that were told to come back and are not due yet.
    promised: f64,
}

impl Bucket {
    pub(super) fn new(level: f64, now: Millis) -> Self {
        Self {
            level,
            updated: now,
            promised: 0.0,
        }
    }

    /// Grants a request, or returns why not.
    pub(super) fn take(&mut self, limit: &Limit, cost: f64, now: Millis) -> Result<(), Denial> {
        self.refill(limit, now);
        let missing = -limit.allowance - self.level;
        if missing < 0.0 {
            self.level -= cost;
            return Ok(());
        }
        // Those that were refused before come back first.
        let wait = (missing + self.promised) / limit.rate * 1_000.0;
        self.promised += cost;
        Err(Denial {
            retry_after: Millis(wait as u64 + 1).min(LONGEST_DELAY),
            level: self.level,
            rate: limit.rate,
        })
    }

    /// Takes off what other nodes granted.
    pub(super) fn granted_elsewhere(&mut self, units: f64, limit: &Limit) {
        let least = -limit.allowance - limit.burst;
        self.level = (self.level - units).max(least.min(self.level));
    }

    /// Returns when the bucket was last used.
    pub(super) fn updated(&self) -> Millis {
        self.updated
    }

    fn refill(&mut self, limit: &Limit, now: Millis) {
        let added = limit.rate * (now - self.updated).as_f64() / 1_000.0;
        self.level = (self.level + added).min(limit.burst);
        self.promised = (self.promised - added).max(0.0);
        self.updated = now;
    }
}
