use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;
use crate::rollout::{Outcome, Thresholds};

/// Number of most recent responses that are kept per route.
const MAX_SAMPLES: usize = 256;

/// Minimum responses on a route; the upper quartile of fewer is not meaningful.
const MIN_SAMPLES: usize = 20;

/// Thresholds for a route with fewer responses: the latency target of the system.
const DEFAULT_THRESHOLDS: Thresholds = Thresholds {
    first_ms: Millis(1_500),
    gap_us: 70_000,
};

/// Response times of the most recent responses on each route, from which a rollout's thresholds are
/// computed.
#[derive(Debug, Default)]
pub(super) struct Samples {
    /// Time to the first token, and mean inter-token time in microseconds, per response.
    routes: HashMap<Arc<str>, VecDeque<(Millis, u64)>>,
}

impl Samples {
    /// Adds the timing of a response; other outcomes are ignored.
    ///
    /// The number of routes is bounded by the configuration.
    pub(super) fn push(&mut self, route: &Arc<str>, outcome: Outcome) {
        let Outcome::Answered { first, gap_us } = outcome else {
            return;
        };
        let samples = self.routes.entry(Arc::clone(route)).or_default();
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((first, gap_us));
    }

    /// Removes the routes for which `keep` is false, because they are no longer configured.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// Returns the upper quartiles of the response times on a route.
    pub(super) fn thresholds(&self, route: &str) -> Thresholds {
        let samples = self.routes.get(route);
        let Some(samples) = samples.filter(|samples| samples.len() >= MIN_SAMPLES) else {
            return DEFAULT_THRESHOLDS;
        };
        let mut first: Vec<_> = samples.iter().map(|(first, _)| *first).collect();
        let mut gap: Vec<_> = samples.iter().map(|(_, gap)| *gap).collect();
        first.sort_unstable();
        gap.sort_unstable();
        Thresholds {
            first_ms: first[samples.len() * 3 / 4],
            gap_us: gap[samples.len() * 3 / 4],
        }
    }
}
