use super::Metric;

/// Counters of the requests to one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Finished requests that count as evidence.
    pub requests: u32,
    /// Failed requests.
    pub failures: u32,
    /// Requests whose timing counts as evidence.
    pub timed: u32,
    /// Requests whose first token was late.
    pub slow_first: u32,
    /// Requests with a high inter-token time.
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

    /// Returns the number of slow requests.
    #[must_use]
    pub fn slow(&self) -> u32 {
        self.slow_first.max(self.slow_gap)
    }

    /// Resets the counters of the timing metrics.
    pub fn clear_timing(&mut self) {
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

    /// Returns the difference to `earlier`; counters that decreased count as unchanged.
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

impl From<Tally> for [u32; 5] {
    fn from(tally: Tally) -> Self {
        [
            tally.requests,
            tally.failures,
            tally.timed,
            tally.slow_first,
            tally.slow_gap,
        ]
    }
}

impl From<[u32; 5]> for Tally {
    fn from([requests, failures, timed, slow_first, slow_gap]: [u32; 5]) -> Self {
        Self {
            requests,
            failures,
            timed,
            slow_first,
            slow_gap,
        }
    }
}
