use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::clock::Millis;

/// Number of requests started by each account, by window.
pub type Counts = BTreeMap<u64, BTreeMap<Arc<str>, u64>>;

/// Counts the requests that each account starts, in windows of wall time.
#[derive(Debug)]
pub struct Usage {
    window: Millis,
    /// Number of windows that are kept.
    max_windows: usize,
    counts: Counts,
    /// Counts of other nodes, by name and incarnation.
    remote: HashMap<(Arc<str>, u64), Counts>,
}

impl Usage {
    /// Creates empty counts in windows of the length `window`, of which the latest `max_windows`
    /// are kept.
    #[must_use]
    pub fn new(window: Millis, max_windows: usize) -> Self {
        Self {
            window,
            max_windows,
            counts: Counts::new(),
            remote: HashMap::new(),
        }
    }

    /// Counts a request that started at this wall time.
    pub fn record_start(&mut self, account: &Arc<str>, wall: Millis) {
        let window = wall.0 / self.window.0.max(1);
        let counts = self.counts.entry(window).or_default();
        *counts.entry(Arc::clone(account)).or_default() += 1;
        while self.counts.len() > self.max_windows {
            self.counts.pop_first();
        }
    }

    /// Merges the counts of another node since its start. The counts of a run only grow, so that they
    /// may arrive in any order and be relayed.
    pub fn merge(&mut self, node: &Arc<str>, incarnation: u64, counts: Counts) {
        let known = self.remote.entry((Arc::clone(node), incarnation));
        let known = known.or_default();
        for (window, accounts) in counts {
            let known = known.entry(window).or_default();
            for (account, count) in accounts {
                let latest = known.entry(account).or_default();
                *latest = count.max(*latest);
            }
        }
        while known.len() > self.max_windows {
            known.pop_first();
        }
    }

    /// Returns the counts of the other nodes' runs that are not among the `live` ones, by name and
    /// incarnation. The nodes of these runs no longer report them.
    pub fn of_lost_runs<F>(&self, live: F) -> impl Iterator<Item = (&Arc<str>, u64, &Counts)>
    where
        F: Fn(&Arc<str>, u64) -> bool,
    {
        let runs = self
            .remote
            .iter()
            .map(|((node, incarnation), counts)| (node, *incarnation, counts));
        runs.filter(move |(node, incarnation, _)| !live(node, *incarnation))
    }

    /// Returns the number of requests started in a window on all nodes, by account.
    #[must_use]
    pub fn sum(&self, window: u64) -> BTreeMap<Arc<str>, u64> {
        let mut sum: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for counts in self.remote.values().chain([&self.counts]) {
            for (account, count) in counts.get(&window).into_iter().flatten() {
                *sum.entry(Arc::clone(account)).or_default() += count;
            }
        }
        sum
    }

    /// Drops the other nodes' counts of windows before this one.
    pub fn forget_before(&mut self, window: u64) {
        self.remote.retain(|_, counts| {
            *counts = counts.split_off(&window);
            !counts.is_empty()
        });
    }

    /// Returns the counts of this node.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}
