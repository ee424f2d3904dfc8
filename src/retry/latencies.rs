use std::collections::VecDeque;

use crate::clock::Millis;

/// Latencies that are kept.
const KEPT: usize = 256;

/// Latencies below which the percentile says too little.
const ENOUGH: usize = 20;

/// Latencies between two computations of the percentile, so that a call does not sort them.
const REFRESH: usize = 16;

/// Shortest delay of a hedge; below it the resolution of the clock and the scheduling of tasks
/// decide which attempt counts as slow.
const MIN_DELAY: Millis = Millis(10);

/// The newest latencies of the attempts on one route.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    kept: VecDeque<Millis>,
    fresh: usize,
    usual: Option<Millis>,
}

impl Latencies {
    /// Takes in the latency of an attempt.
    ///
    /// For an attempt that was cancelled after it had become slow, this is the time it had run:
    /// without these, each hedge would lower the percentile and bring the next one forward.
    pub fn record(&mut self, took: Millis) {
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(took);
        self.fresh += 1;
        if self.kept.len() >= ENOUGH && (self.usual.is_none() || self.fresh >= REFRESH) {
            self.fresh = 0;
            self.usual = Some(self.percentile());
        }
    }

    /// Returns the time after which an attempt counts as slow: the 95th percentile, at least
    /// 10 ms; none while too few latencies are known.
    #[must_use]
    pub fn slow_threshold(&self) -> Option<Millis> {
        self.usual.map(|usual| usual.max(MIN_DELAY))
    }

    fn percentile(&self) -> Millis {
        let mut sorted: Vec<_> = self.kept.iter().copied().collect();
        let rank = (sorted.len() * 95).div_ceil(100) - 1;
        *sorted.select_nth_unstable(rank).1
    }
}
