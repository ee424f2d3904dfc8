use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::gateway::trailing::or_default;

use super::ask::Ask;
use super::contention::Contention;
use super::history::Slot;
use super::room::Room;

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
    /// Whether room is kept for the request after that time. Earlier releases neither send it nor read
    /// it.
    #[serde(deserialize_with = "or_default")]
    pub is_promised: bool,
}

/// A token bucket that may be overdrawn.
///
/// A request of any size is granted while the bucket is overdrawn by less than the allowance, so
/// that large requests wait no longer than small ones.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    level: f64,
    created: Millis,
    updated: Millis,
    /// When a request was last decided.
    used: Option<Millis>,
    contention: Contention,
}

impl Bucket {
    pub(super) fn new(level: f64, now: Millis) -> Self {
        Self {
            level,
            created: now,
            updated: now,
            used: None,
            contention: Contention::default(),
        }
    }

    /// Takes the cost of a request from the bucket, or denies the request. `headroom` is what all
    /// nodes together may still grant in the current window.
    pub(super) fn take(
        &mut self,
        limit: &Limit,
        headroom: f64,
        ask: &Ask,
        now: Millis,
    ) -> Result<(), Denial> {
        self.refill(limit, now);
        self.used = Some(now);
        let room = Room {
            units: (self.level + limit.allowance).min(headroom),
            rate: limit.rate,
            allowance: limit.allowance,
        };
        let decided = self.contention.decide(ask, &room, now);
        decided.map_err(|delay| Denial {
            retry_after: delay.time,
            level: self.level,
            headroom,
            rate: limit.rate,
            is_promised: delay.is_promised,
        })?;
        self.level -= ask.units;
        Ok(())
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
        self.updated = now;
    }
}
