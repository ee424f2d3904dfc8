use serde::{Deserialize, Serialize};

use super::{Metric, Stratum, Tally};

/// One of the two versions compared by a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arm {
    /// The version that served before the rollout.
    Old,
    /// The version that is being rolled out.
    New,
}

/// Counters of both versions on one route over the same period.
///
/// Serialized as ten numbers without names to keep it short, because nodes exchange it every
/// second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "[u32; 10]", from = "[u32; 10]")]
pub struct Comparison {
    /// Counters of the old version.
    pub old: Tally,
    /// Counters of the new version.
    pub new: Tally,
}

impl Comparison {
    /// Returns a mutable reference to the counters of one version.
    pub fn arm_mut(&mut self, arm: Arm) -> &mut Tally {
        match arm {
            Arm::Old => &mut self.old,
            Arm::New => &mut self.new,
        }
    }

    /// Adds the counters of another comparison.
    pub fn add(&mut self, other: Self) {
        self.old.add(other.old);
        self.new.add(other.new);
    }

    /// Returns what was counted since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: Self) -> Self {
        Self {
            old: self.old.since(earlier.old),
            new: self.new.since(earlier.new),
        }
    }

    /// Returns the events of one metric in both versions.
    #[must_use]
    pub fn stratum(&self, metric: Metric) -> Stratum {
        Stratum {
            new: self.new.observed(metric),
            new_events: self.new.events(metric),
            old: self.old.observed(metric),
            old_events: self.old.events(metric),
        }
    }
}

impl From<Comparison> for [u32; 10] {
    fn from(Comparison { old, new }: Comparison) -> Self {
        let [a, b, c, d, e] = old.into();
        let [f, g, h, i, j] = new.into();
        [a, b, c, d, e, f, g, h, i, j]
    }
}

impl From<[u32; 10]> for Comparison {
    fn from([a, b, c, d, e, f, g, h, i, j]: [u32; 10]) -> Self {
        Self {
            old: [a, b, c, d, e].into(),
            new: [f, g, h, i, j].into(),
        }
    }
}
