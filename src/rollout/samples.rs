use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;

use super::{Outcome, Thresholds};

/// Number of most recent responses that are kept per route.
const MAX_SAMPLES: usize = 256;

/// Minimum responses on a route; the upper quartile of fewer is not meaningful.
const MIN_SAMPLES: usize = 20;

/// Response times of the most recent responses on each route, from which a rollout's thresholds are
/// computed.
#[derive(Debug, Default)]
pub struct Samples {
    /// Time to the first token, and mean inter-token time in microseconds, per response.
    routes: HashMap<Arc<str>, VecDeque<(Millis, u64)>>,
}

impl Samples {
    /// Adds the timing of a response; other outcomes are ignored.
    ///
    /// The number of routes is bounded by the configuration.
    pub fn push(&mut self, route: &Arc<str>, outcome: Outcome) {
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
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.routes.retain(|route, _| keep(route));
    }

    /// Returns the upper quartiles of the response times on a route, or default thresholds after too
    /// few responses.
    #[must_use]
    pub fn thresholds(&self, route: &str) -> Thresholds {
        self.quartiles(route, MIN_SAMPLES).unwrap_or_default()
    }

    /// Returns the upper quartiles of the response times on a route after `min` responses.
    #[must_use]
    pub fn quartiles(&self, route: &str, min: usize) -> Option<Thresholds> {
        let samples = self.routes.get(route);
        let samples = samples.filter(|samples| samples.len() >= min.max(1))?;
        let mut first: Vec<_> = samples.iter().map(|(first, _)| *first).collect();
        let mut gap: Vec<_> = samples.iter().map(|(_, gap)| *gap).collect();
        first.sort_unstable();
        gap.sort_unstable();
        Some(Thresholds {
            first_ms: first[samples.len() * 3 / 4],
            gap_us: gap[samples.len() * 3 / 4],
        })
    }
}
