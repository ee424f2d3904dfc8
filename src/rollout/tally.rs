use serde::{Deserialize, Serialize};

use super::Metric;

/// Counters of the requests sent to one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ended and count as evidence.
    pub requests: u32,
    /// Those that failed.
    pub failures: u32,
    /// Those whose timing counts as evidence.
    pub timed: u32,
    /// Those whose first token came late.
    pub slow_first: u32,
    /// Those whose tokens came slowly.
    pub slow_gap: u32,
}

impl Tally {
    /// Returns the number of requests in which the metric could be observed.
    #[must_use]
    pub fn observed(&self, metric: Metric) -> u32 {
        match metric {
            Metric::Failures => self.requests,
            Metric::FirstToken | Metric::TokenGap => self.timed,
        }
    }

    /// Returns the number of events of the metric.
    #[must_use]
    pub fn events(&self, metric: Metric) -> u32 {
        match metric {
            Metric::Failures => self.failures,
            Metric::FirstToken => self.slow_first,
            Metric::TokenGap => self.slow_gap,
        }
    }

    /// Removes what the counters say about timing.
    pub fn drop_timing(&mut self) {
        self.timed = 0;
        self.slow_first = 0;
        self.slow_gap = 0;
    }

    /// Adds the counters of another tally.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.failures = self.failures.saturating_add(other.failures);
        self.timed = self.timed.saturating_add(other.timed);
        self.slow_first = self.slow_first.saturating_add(other.slow_first);
        self.slow_gap = self.slow_gap.saturating_add(other.slow_gap);
    }

    /// Returns what was counted since `earlier`; counters that went back count nothing.
    #[must_use]
    pub fn since(&self, earlier: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            failures: self.failures.saturating_sub(earlier.failures),
            timed: self.timed.saturating_sub(earlier.timed),
            slow_first: self.slow_first.saturating_sub(earlier.slow_first),
            slow_gap: self.slow_gap.saturating_sub(earlier.slow_gap),
        }
    }
}
