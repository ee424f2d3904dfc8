use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;

/// Windows that are kept for the report; a report is due two windows after its window's end.
const WINDOWS: usize = 8;

/// Requests of each account that began to run, by window.
pub type Counts = BTreeMap<u64, BTreeMap<Arc<str>, u64>>;

/// Counts the requests of each account that began to run in each window of true time.
#[derive(Debug)]
pub struct Usage {
    window: Millis,
    counts: Counts,
}

impl Usage {
    /// Creates empty counts of windows of this length.
    #[must_use]
    pub fn new(window: Millis) -> Self {
        Self {
            window,
            counts: Counts::new(),
        }
    }

    /// Counts a request that began to run at this wall time.
    pub fn began(&mut self, account: &Arc<str>, wall: Millis) {
        let window = wall.0 / self.window.0.max(1);
        let counts = self.counts.entry(window).or_default();
        *counts.entry(Arc::clone(account)).or_default() += 1;
        while self.counts.len() > WINDOWS {
            self.counts.pop_first();
        }
    }

    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}
