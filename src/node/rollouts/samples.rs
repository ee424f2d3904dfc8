use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;
use crate::rollout::{Outcome, Thresholds};

/// Responses that are kept per route.
const KEPT: usize = 256;

/// Responses below which the quartile says too little.
const ENOUGH: usize = 20;

/// Limits without enough responses: the latency target of the system.
const DEFAULT: Thresholds = Thresholds {
    first_ms: Millis(1_500),
    gap_us: 70_000,
};

/// The newest response times on each route, from which a rollout's limits are taken.
#[derive(Debug, Default)]
pub(super) struct Samples {
    routes: HashMap<Arc<str>, VecDeque<(Millis, u64)>>,
}

impl Samples {
    /// Keeps the timing of a response. `routes` are bounded by the configuration.
    pub(super) fn push(&mut self, route: &Arc<str>, outcome: Outcome) {
        let Outcome::Answered { first, gap_us } = outcome else {
            return;
        };
        let kept = self.routes.entry(Arc::clone(route)).or_default();
        if kept.len() == KEPT {
            kept.pop_front();
        }
        kept.push_back((first, gap_us));
    }

    /// Drops routes that are no longer configured.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// Returns the upper quartile of the response times on a route.
    pub(super) fn limits(&self, route: &str) -> Thresholds {
        let Some(kept) = self.routes.get(route).filter(|kept| kept.len() >= ENOUGH) else {
            return DEFAULT;
        };
        let mut first: Vec<_> = kept.iter().map(|(first, _)| *first).collect();
        let mut gap: Vec<_> = kept.iter().map(|(_, gap)| *gap).collect();
        first.sort_unstable();
        gap.sort_unstable();
        Thresholds {
            first_ms: first[kept.len() * 3 / 4],
            gap_us: gap[kept.len() * 3 / 4],
        }
    }
}
