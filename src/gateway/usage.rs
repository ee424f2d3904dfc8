use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::clock::Millis;

/// Requests of each account that began to run, by window.
pub type Counts = BTreeMap<u64, BTreeMap<Arc<str>, u64>>;

/// Counts the requests of each account that began to run in each window of true time.
#[derive(Debug)]
pub struct Usage {
    window: Millis,
    /// Windows that are kept.
    kept: usize,
    counts: Counts,
    /// What other nodes counted, by name and incarnation.
    elsewhere: HashMap<(Arc<str>, u64), Counts>,
}

impl Usage {
    /// Creates empty counts of windows of this length, so many of which are kept.
    #[must_use]
    pub fn new(window: Millis, kept: usize) -> Self {
        Self {
            window,
            kept,
            counts: Counts::new(),
            elsewhere: HashMap::new(),
        }
    }

    /// Counts a request that began to run at this wall time.
    pub fn record_start(&mut self, account: &Arc<str>, wall: Millis) {
        let window = wall.0 / self.window.0.max(1);
        let counts = self.counts.entry(window).or_default();
        *counts.entry(Arc::clone(account)).or_default() += 1;
        while self.counts.len() > self.kept {
            self.counts.pop_first();
        }
    }

    /// Takes in what another node counted since its start.
    pub fn merge(&mut self, node: &Arc<str>, incarnation: u64, counts: Counts) {
        let known = self.elsewhere.entry((Arc::clone(node), incarnation));
        known.or_default().extend(counts);
    }

    /// Returns the requests of all nodes that began to run in a window, by account.
    #[must_use]
    pub fn sum(&self, window: u64) -> BTreeMap<Arc<str>, u64> {
        let mut sum: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for counts in self.elsewhere.values().chain([&self.counts]) {
            for (account, count) in counts.get(&window).into_iter().flatten() {
                *sum.entry(Arc::clone(account)).or_default() += count;
            }
        }
        sum
    }

    /// Forgets the windows before this one that other nodes counted.
    pub fn forget_before(&mut self, window: u64) {
        self.elsewhere.retain(|_, counts| {
            *counts = counts.split_off(&window);
            !counts.is_empty()
        });
    }

    /// Returns what this node counted.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}
