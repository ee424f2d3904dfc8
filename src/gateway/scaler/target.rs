use crate::clock::Millis;

use super::capacity::{Capacity, raise_to, steady, total};
use super::meter::Demand;
use super::plan::Need;

/// Time over which a past peak of the demand fades.
const PEAK_FADES: Millis = Millis(20_000);

/// Time for which no further endpoint has to be found: they register one after the other, at their
/// heartbeats, and are heard of through other nodes.
const SETTLED: Millis = Millis(2_000);

/// Time for which requests have to be seen before the demand counts as known.
const KNOWN_AFTER: Millis = Millis(8_000);

/// Time for which fewer endpoints have to be enough before some are given up.
const SHRINK_AFTER: Millis = Millis(4_000);

/// Part of the steady endpoints of a domain that is given up at a time.
const SHRINK_STEP: f64 = 0.2;

/// What is known and wanted of one service.
#[derive(Debug, Default)]
pub(super) struct Target {
    /// Highest demand, which fades.
    peak: f64,
    updated: Millis,
    /// When requests were first seen.
    first_demand: Option<Millis>,
    /// The most that was present before the first order, and since when that has not grown.
    found: Option<(Capacity, Millis)>,
    /// What is wanted.
    pub(super) goal: Option<Capacity>,
    /// Since when fewer endpoints than the goal would do.
    shrinkable: Option<Millis>,
}

impl Target {
    /// Takes in the present demand and returns what is known of it, with so many places an endpoint.
    pub(super) fn need(&mut self, demand: Demand, slots: u32, now: Millis) -> Need {
        let left = (-(now - self.updated).as_f64() / PEAK_FADES.as_f64()).exp();
        self.peak = demand.busy.max(self.peak * left);
        self.updated = now;
        if !demand.is_none() {
            self.first_demand.get_or_insert(now);
        }
        let known = self
            .first_demand
            .is_some_and(|first| first + KNOWN_AFTER <= now);
        Need {
            busy: known.then_some(self.peak),
            occupied: f64::from(demand.running) / f64::from(slots.max(1)),
            spot_refused: false,
        }
    }

    /// Returns the most that was present before the first order, once that has settled.
    pub(super) fn found(&mut self, present: &Capacity, now: Millis) -> Option<Capacity> {
        let (found, at) = self.found.get_or_insert_with(|| (Capacity::new(), now));
        if self.goal.is_none() && raise_to(found, present) {
            *at = now;
        }
        (*at + SETTLED <= now).then(|| found.clone())
    }

    /// Moves the goal: up at once, down only when fewer would have done for a while.
    pub(super) fn move_goal(&mut self, wanted: Capacity, now: Millis) -> Capacity {
        let Some(goal) = &self.goal else {
            self.goal = Some(wanted.clone());
            return wanted;
        };
        let fewer = total(&wanted) < total(goal) || steady(&wanted) < steady(goal);
        let goal = if fewer {
            let since = *self.shrinkable.get_or_insert(now);
            if since + SHRINK_AFTER > now {
                return goal.clone();
            }
            fewer_by_steps(goal, &wanted)
        } else {
            wanted
        };
        self.shrinkable = None;
        self.goal = Some(goal.clone());
        goal
    }

    /// Forgets what was found and wanted.
    pub(super) fn reset(&mut self) {
        self.found = None;
        self.goal = None;
        self.shrinkable = None;
    }
}

/// Returns `wanted`, but at most a part of the steady endpoints of a domain fewer than `goal`: the
/// subjects of those that go have to be read elsewhere first.
fn fewer_by_steps(goal: &Capacity, wanted: &Capacity) -> Capacity {
    let mut steps = wanted.clone();
    for (domain, place) in &mut steps {
        let present = goal.get(domain).map_or(0, |place| place.steady);
        let step = (f64::from(present) * SHRINK_STEP).ceil() as u32;
        place.steady = place.steady.max(present.saturating_sub(step));
    }
    steps
}
