use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Resolution at which recent grants are kept.
const SLOT_LENGTH: Millis = Millis(500);

/// Time beyond a period for which a slot counts: one in which it was filled, and one in which its units
/// leave the period.
const RETAINED_SLOTS: Millis = Millis(SLOT_LENGTH.0 * 2);

/// Time for which a run is remembered after its last grant; longer than its reports can be delayed.
const RUN_RETENTION: Millis = Millis::from_secs(30);

/// Maximum number of runs in one report.
const MAX_RUNS: usize = 16;

/// One run of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Run {
    /// Name of the node.
    pub node: Arc<str>,
    /// Wall time of its start.
    pub incarnation: u64,
}

/// The units that one run of a node granted to an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The run.
    pub run: Run,
    /// Units since the start of the run.
    pub units: u64,
    /// Those within the last window, as far as the reporting node knows, the latest first.
    pub recent: Vec<Slot>,
}

/// Units that were granted at about the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Time since then.
    pub age: Millis,
    /// Units.
    pub units: u64,
}

/// Grants of one run, the recent ones with their times.
#[derive(Debug, Default)]
struct Granted {
    units: f64,
    /// Recent grants, in order of their times in milliseconds on the steady clock of this node;
    /// negative before that clock's origin.
    slots: Vec<(i64, f64)>,
    changed_at: Millis,
}

impl Granted {
    /// Adds units that were granted `age` ago.
    fn add(&mut self, units: f64, age: Millis, now: Millis) {
        let at = signed(now) - signed(age);
        let next = self.slots.partition_point(|(start, _)| *start <= at);
        match next.checked_sub(1).map(|last| &mut self.slots[last]) {
            Some((start, sum)) if *start + signed(SLOT_LENGTH) > at => *sum += units,
            _ => self.slots.insert(next, (at, units)),
        }
    }

    /// Returns the age and the units of each slot that reaches into the last `period`, the latest
    /// first.
    fn recent(&self, period: Millis, now: Millis) -> impl Iterator<Item = (Millis, f64)> {
        let slots = self.slots.iter().rev();
        let slots = slots.map(move |(start, units)| (age(*start, now), *units));
        slots.take_while(move |(age, _)| *age < period + RETAINED_SLOTS)
    }

    /// Returns the units granted within the last `period`. The units of a slot leave it one after the
    /// other, from when the last of them may have been granted, and not all at once.
    fn recent_units(&self, period: Millis, now: Millis) -> f64 {
        let within = |age: Millis| {
            let left = (period + RETAINED_SLOTS - age).as_f64() / SLOT_LENGTH.as_f64();
            left.min(1.0)
        };
        let slots = self.recent(period, now);
        slots.map(|(age, units)| units * within(age)).sum()
    }

    fn forget_before(&mut self, period: Millis, now: Millis) {
        self.slots
            .retain(|(start, _)| age(*start, now) < period + RETAINED_SLOTS);
    }
}

fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}

fn age(start: i64, now: Millis) -> Millis {
    Millis(u64::try_from(signed(now) - start).unwrap_or(0))
}

/// What all nodes granted to one account, as far as this node knows.
///
/// The counters of each run only grow, so that reports may be repeated, relayed by other nodes and
/// arrive in any order.
#[derive(Debug, Default)]
pub(super) struct History {
    runs: HashMap<Run, Granted>,
}

impl History {
    /// Records units that a run granted now.
    pub(super) fn add(&mut self, run: &Run, units: f64, window: Millis, now: Millis) {
        let granted = self.runs.entry(run.clone()).or_default();
        granted.units += units;
        granted.changed_at = now;
        granted.add(units, Millis::ZERO, now);
        granted.forget_before(window, now);
    }

    /// Merges a report; returns the recent units that were not known before, the latest first.
    pub(super) fn merge(&mut self, grant: &Grant, window: Millis, now: Millis) -> Vec<Slot> {
        let granted = self.runs.entry(grant.run.clone()).or_default();
        let unknown = grant.units as f64 - granted.units;
        if unknown <= 0.0 {
            return Vec::new();
        }
        granted.units = grant.units as f64;
        granted.changed_at = now;
        // The latest grants are the ones that are not known yet.
        let mut left = unknown as u64;
        let mut added = Vec::new();
        for slot in &grant.recent {
            let units = left.min(slot.units);
            if units == 0 {
                break;
            }
            granted.add(units as f64, slot.age, now);
            added.push(Slot { units, ..*slot });
            left -= units;
        }
        granted.forget_before(window, now);
        added
    }

    /// Returns the units that all runs granted within the last `period`.
    pub(super) fn recent(&self, period: Millis, now: Millis) -> f64 {
        let runs = self.runs.values();
        runs.map(|granted| granted.recent_units(period, now)).sum()
    }

    /// Returns the units that the runs other than `own` granted within the last `period`.
    pub(super) fn recent_of_others(&self, own: &Run, period: Millis, now: Millis) -> f64 {
        let others = self.runs.iter().filter(|(run, _)| *run != own);
        others
            .map(|(_, granted)| granted.recent_units(period, now))
            .sum()
    }

    /// Returns the grants of the runs that granted units within the window, the latest first.
    pub(super) fn grants(&self, window: Millis, now: Millis) -> Vec<Grant> {
        let runs = self.runs.iter();
        let mut latest: Vec<_> = runs
            .filter(|(_, granted)| granted.recent(window, now).next().is_some())
            .collect();
        latest.sort_unstable_by_key(|(_, granted)| std::cmp::Reverse(granted.changed_at));
        latest.truncate(MAX_RUNS);
        let grants = latest.into_iter().map(|(run, granted)| Grant {
            run: run.clone(),
            units: granted.units as u64,
            recent: granted.recent(window, now).map(slot).collect(),
        });
        grants.collect()
    }

    /// Forgets the runs other than `own` that granted nothing for long; returns whether any is left.
    pub(super) fn prune(&mut self, own: &Run, now: Millis) -> bool {
        self.runs
            .retain(|run, granted| run == own || granted.changed_at + RUN_RETENTION > now);
        !self.runs.is_empty()
    }
}

fn slot((age, units): (Millis, f64)) -> Slot {
    Slot {
        age,
        units: units as u64,
    }
}
