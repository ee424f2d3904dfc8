use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::history::Slot;

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
    /// Units that all nodes together may still grant in the current window.
    pub headroom: f64,
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
    created: Millis,
    updated: Millis,
    /// When a request was last decided.
    used: Option<Millis>,
    /// Units of denied requests whose retry delay has not passed yet.
    reserved: f64,
}

impl Bucket {
    pub(super) fn new(level: f64, now: Millis) -> Self {
        Self {
            level,
            created: now,
            updated: now,
            used: None,
            reserved: 0.0,
        }
    }

    /// Takes the cost of a request from the bucket, or denies the request. `headroom` is what all
    /// nodes together may still grant in the current window.
    pub(super) fn take(
        &mut self,
        limit: &Limit,
        headroom: f64,
        cost: f64,
        now: Millis,
    ) -> Result<(), Denial> {
        self.refill(limit, now);
        self.used = Some(now);
        let missing = (-limit.allowance - self.level).max(-headroom);
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
            headroom,
            rate: limit.rate,
        })
    }

    /// Deducts units that other nodes granted since the level was first known.
    pub(super) fn deduct(&mut self, granted: &[Slot], limit: &Limit, now: Millis) {
        let known_for = now - self.created;
        let later = granted.iter().filter(|slot| slot.age <= known_for);
        let units: f64 = later.map(|slot| slot.units as f64).sum();
        let lowest_level = -limit.allowance - limit.burst;
        self.level = (self.level - units).max(lowest_level.min(self.level));
    }

    /// Lowers the level to that of another owner's bucket for the same account, if that is lower.
    pub(super) fn lower(&mut self, level: f64, limit: &Limit, now: Millis) {
        self.refill(limit, now);
        self.level = self.level.min(level);
    }

    /// Returns when the bucket was last brought up to date.
    pub(super) fn updated(&self) -> Millis {
        self.updated
    }

    /// Returns the level when the bucket was last brought up to date.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// Returns whether a request was decided within the last `period`.
    pub(super) fn was_used(&self, period: Millis, now: Millis) -> bool {
        self.used.is_some_and(|used| used + period > now)
    }

    fn refill(&mut self, limit: &Limit, now: Millis) {
        let added = limit.rate * (now - self.updated).as_f64() / 1_000.0;
        self.level = (self.level + added).min(limit.burst);
        self.reserved = (self.reserved - added).max(0.0);
        self.updated = now;
    }
}
