use std::collections::VecDeque;

use crate::clock::Millis;

/// Maximum number of latencies kept.
const MAX_SAMPLES: usize = 256;

/// Number of latencies below which the percentile is too uncertain to use.
const MIN_SAMPLES: usize = 20;

/// Number of latencies between two computations of the percentile, so that not every call sorts
/// them.
const REFRESH_INTERVAL: usize = 16;

/// Minimum time before a hedge. Below it, clock resolution and task scheduling would determine
/// which attempts count as slow.
const MIN_THRESHOLD: Millis = Millis(10);

/// The most recent latencies of the attempts on one route.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    samples: VecDeque<Millis>,
    since_refresh: usize,
    threshold: Option<Millis>,
}

impl Latencies {
    /// Records the latency of an attempt.
    ///
    /// For an attempt that was cancelled after it had become slow, this is the time it had run.
    /// Without these samples, each hedge would lower the percentile and make the next one earlier.
    pub fn record(&mut self, took: Millis) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(took);
        self.since_refresh += 1;
        if self.samples.len() >= MIN_SAMPLES
            && (self.threshold.is_none() || self.since_refresh >= REFRESH_INTERVAL)
        {
            self.since_refresh = 0;
            self.threshold = Some(self.percentile());
        }
    }

    /// Returns the time after which an attempt counts as slow, or `None` if too few latencies are
    /// known.
    ///
    /// This is the 95th percentile, at least 10 ms.
    #[must_use]
    pub fn slow_threshold(&self) -> Option<Millis> {
        self.threshold.map(|threshold| threshold.max(MIN_THRESHOLD))
    }

    fn percentile(&self) -> Millis {
        let mut sorted: Vec<_> = self.samples.iter().copied().collect();
        let rank = (sorted.len() * 95).div_ceil(100) - 1;
        *sorted.select_nth_unstable(rank).1
    }
}
