//! Load: an account that sends more than its quota allows, in requests of several kinds.

use std::collections::HashMap;

use crate::clock::Millis;

use super::ask::Profile;

/// Time constant of the decay of the counts.
const DECAY_TIME: Millis = Millis(2_000);

/// Maximum number of kinds that are told apart; a further one takes the place of the rarest.
const MAX_KINDS: usize = 16;

/// Least share of a kind's requests that is granted, relative to the share of all requests.
const FLOOR: f64 = 0.3;

/// Share of a kind's requests that is granted while there is room for all of them.
const SERVED_SHARE: f64 = 0.9;

/// Requests below which the counts of a kind tell nothing.
const MIN_REQUESTS: f64 = 2.0;

/// Recent requests of one kind, with decaying counts.
#[derive(Clone, Copy, Debug)]
struct Kind {
    priority: u8,
    asked: f64,
    granted: f64,
    units: f64,
}

impl Kind {
    const fn new(priority: u8) -> Self {
        Self {
            priority,
            asked: 0.0,
            granted: 0.0,
            units: 0.0,
        }
    }

    /// Returns the units that the recent requests cost, per second.
    fn demand(&self) -> f64 {
        self.units * 1_000.0 / DECAY_TIME.as_f64()
    }

    fn mean_units(&self) -> f64 {
        self.units / self.asked.max(f64::MIN_POSITIVE)
    }

    /// Returns whether this kind goes before another one: it is more urgent, or as urgent and cheaper.
    fn precedes(&self, other: &Self) -> bool {
        let cheaper = self.mean_units() < other.mean_units();
        self.priority < other.priority || (self.priority == other.priority && cheaper)
    }
}

/// The kinds of requests that an account sends.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds {
    kinds: HashMap<u64, Kind>,
    updated: Millis,
}

impl Kinds {
    /// Records a request, before the decision on it.
    pub(super) fn record_request(&mut self, profile: &Profile, units: f64, now: Millis) {
        self.decay(now);
        if !self.kinds.contains_key(&profile.kind) && self.kinds.len() >= MAX_KINDS {
            self.forget_rarest();
        }
        let first = || Kind::new(profile.priority);
        let kind = self.kinds.entry(profile.kind).or_insert_with(first);
        kind.priority = profile.priority;
        kind.asked += 1.0;
        kind.units += units;
    }

    /// Records that a request of a kind was granted.
    pub(super) fn record_grant(&mut self, kind: u64) {
        if let Some(kind) = self.kinds.get_mut(&kind) {
            kind.granted += 1.0;
        }
    }

    /// Returns the units that all recent requests cost, per second.
    pub(super) fn demand(&self) -> f64 {
        self.kinds.values().map(Kind::demand).sum()
    }

    /// Returns the units that the recent requests of a kind cost, per second.
    pub(super) fn demand_of(&self, kind: u64) -> f64 {
        self.kinds.get(&kind).map_or(0.0, Kind::demand)
    }

    /// Returns the place of a kind in the order in which they are granted: 0 for the first one, 1 for
    /// the last one.
    pub(super) fn rank(&self, kind: u64) -> f64 {
        let Some(own) = self.kinds.get(&kind) else {
            return 0.0;
        };
        let others = self.kinds.iter().filter(|(other, _)| **other != kind);
        let others = others.filter(|(_, other)| other.asked >= MIN_REQUESTS);
        let (count, before) = others.fold((0, 0), |(count, before), (_, other)| {
            (count + 1, before + usize::from(other.precedes(own)))
        });
        before as f64 / count.max(1) as f64
    }

    /// Returns whether so few requests of a kind, or of a frequent one after it, were granted that it must
    /// not yield to others.
    pub(super) fn is_starving(&self, kind: u64) -> bool {
        let Some(own) = self.kinds.get(&kind) else {
            return false;
        };
        let sum = |count: fn(&Kind) -> f64| self.kinds.values().map(count).sum::<f64>();
        let least_share = FLOOR * sum(|kind| kind.granted) / sum(|kind| kind.asked).max(1.0);
        let is_starving = |kind: &Kind| kind.granted < kind.asked * least_share;
        let mut after = self.kinds.values().filter(|kind| own.precedes(kind));
        is_starving(own) || after.any(|kind| kind.asked >= MIN_REQUESTS && is_starving(kind))
    }

    /// Returns whether the kinds before one get nearly all that they ask for, so that it gets what is left.
    pub(super) fn is_next(&self, kind: u64) -> bool {
        let Some(own) = self.kinds.get(&kind) else {
            return true;
        };
        let mut before = self.kinds.values().filter(|kind| kind.precedes(own));
        before.all(|kind| kind.asked < MIN_REQUESTS || kind.granted >= kind.asked * SERVED_SHARE)
    }

    fn decay(&mut self, now: Millis) {
        let passed = (now - self.updated).as_f64() / DECAY_TIME.as_f64();
        let factor = (-passed).exp();
        for kind in self.kinds.values_mut() {
            kind.asked *= factor;
            kind.granted *= factor;
            kind.units *= factor;
        }
        self.updated = now;
    }

    fn forget_rarest(&mut self) {
        let rarest = self.kinds.iter();
        let rarest = rarest.min_by(|(_, a), (_, b)| a.asked.total_cmp(&b.asked));
        if let Some(kind) = rarest.map(|(kind, _)| *kind) {
            self.kinds.remove(&kind);
        }
    }
}
