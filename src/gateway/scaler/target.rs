use crate::clock::Millis;

use super::capacity::{Capacity, raise_to, steady, total};
use super::meter::Demand;
use super::plan::Need;

/// Time constant with which a past peak of the demand decays.
const PEAK_DECAY_TIME: Millis = Millis(20_000);

/// Time without a further endpoint after which the baseline is complete: endpoints register one
/// after the other, with their heartbeats, and may become known through other nodes.
const SETTLE_TIME: Millis = Millis(2_000);

/// Time since the first requests after which the demand counts as known.
const WARMUP_TIME: Millis = Millis(8_000);

/// Time for which fewer endpoints must have been enough before the service is scaled down.
const SCALE_DOWN_DELAY: Millis = Millis(4_000);

/// Share of the steady endpoints of a domain that are removed in one step.
const SCALE_DOWN_STEP: f64 = 0.2;

/// Demand history and target capacity of one service.
#[derive(Debug, Default)]
pub(super) struct Target {
    /// Peak of the demand, in busy endpoints, with exponential decay.
    peak: f64,
    updated: Millis,
    /// When there was demand for the first time.
    first_demand: Option<Millis>,
    /// Highest capacity seen before the first order, and when it last grew.
    baseline: Option<(Capacity, Millis)>,
    /// Target capacity; `None` before the first decision.
    pub(super) capacity: Option<Capacity>,
    /// Targets of the domains that are evacuated.
    set_aside: Capacity,
    /// Since when fewer endpoints than the target would have been enough.
    excess_since: Option<Millis>,
}

impl Target {
    /// Updates the demand history and returns what the service needs. Each endpoint has `slots`
    /// slots.
    pub(super) fn need(&mut self, demand: Demand, slots: u32, now: Millis) -> Need {
        let decay = (-(now - self.updated).as_f64() / PEAK_DECAY_TIME.as_f64()).exp();
        self.peak = demand.busy.max(self.peak * decay);
        self.updated = now;
        if !demand.is_none() {
            self.first_demand.get_or_insert(now);
        }
        let known = self
            .first_demand
            .is_some_and(|first| first + WARMUP_TIME <= now);
        Need {
            busy: known.then_some(self.peak),
            occupied: f64::from(demand.running) / f64::from(slots.max(1)),
            spot_refused: false,
        }
    }

    /// Sets the targets of domains aside for which `is_open` returns false, and resumes those of the
    /// others: endpoints of an evacuated domain are neither counted nor ordered, but are kept.
    pub(super) fn set_aside<F>(&mut self, is_open: F)
    where
        F: Fn(&str) -> bool,
    {
        let Some(capacity) = &mut self.capacity else {
            return;
        };
        let domains = std::mem::take(capacity).into_iter();
        let kept = std::mem::take(&mut self.set_aside);
        let (open, closed) = domains.chain(kept).partition(|(domain, _)| is_open(domain));
        *capacity = open;
        self.set_aside = closed;
    }

    /// Returns the highest capacity seen before the first order, once it no longer grows.
    pub(super) fn settled_baseline(&mut self, present: &Capacity, now: Millis) -> Option<Capacity> {
        let (baseline, at) = self.baseline.get_or_insert_with(|| (Capacity::new(), now));
        if self.capacity.is_none() && raise_to(baseline, present) {
            *at = now;
        }
        (*at + SETTLE_TIME <= now).then(|| baseline.clone())
    }

    /// Adjusts the target towards `wanted` and returns it: up at once, down only after
    /// [`SCALE_DOWN_DELAY`] and in steps.
    pub(super) fn adjust(&mut self, wanted: Capacity, now: Millis) -> Capacity {
        let Some(current) = &self.capacity else {
            self.capacity = Some(wanted.clone());
            return wanted;
        };
        let is_smaller = total(&wanted) < total(current) || steady(&wanted) < steady(current);
        let adjusted = if is_smaller {
            let since = *self.excess_since.get_or_insert(now);
            if since + SCALE_DOWN_DELAY > now {
                return current.clone();
            }
            step_down(current, &wanted)
        } else {
            wanted
        };
        self.excess_since = None;
        self.capacity = Some(adjusted.clone());
        adjusted
    }

    /// Clears the baseline and the target. The demand history stays.
    pub(super) fn reset(&mut self) {
        self.baseline = None;
        self.capacity = None;
        self.set_aside = Capacity::new();
        self.excess_since = None;
    }
}

/// Returns `wanted`, but with at most a share of each domain's steady endpoints removed from
/// `current`: the prompt prefixes cached at removed endpoints have to be prefilled elsewhere first.
fn step_down(current: &Capacity, wanted: &Capacity) -> Capacity {
    let mut steps = wanted.clone();
    for (domain, counts) in &mut steps {
        let present = current.get(domain).map_or(0, |counts| counts.steady);
        let step = (f64::from(present) * SCALE_DOWN_STEP).ceil() as u32;
        counts.steady = counts.steady.max(present.saturating_sub(step));
    }
    steps
}
