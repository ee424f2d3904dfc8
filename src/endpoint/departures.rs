use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Maximum number of processes remembered; the system is designed for 600 endpoints.
const MAX_DEPARTURES: usize = 4_096;

/// Endpoint processes that were reported to be leaving, by host name and incarnation.
///
/// They are remembered after the host disappears from the host list, because an outdated list may
/// contain the host again. Incarnation 0 stands for a process whose incarnation is not known yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    order: VecDeque<(Arc<str>, u64)>,
    set: BTreeSet<(Arc<str>, u64)>,
}

impl Departures {
    pub(super) fn contains(&self, host: &Arc<str>, incarnation: u64) -> bool {
        self.set.contains(&(Arc::clone(host), incarnation))
    }

    /// Adds a process and returns whether it was new; the oldest one is dropped when full.
    pub(super) fn insert(&mut self, host: &Arc<str>, incarnation: u64) -> bool {
        let item = (Arc::clone(host), incarnation);
        if !self.set.insert(item.clone()) {
            return false;
        }
        self.order.push_back(item);
        if self.order.len() > MAX_DEPARTURES
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
        true
    }

    /// Attributes a report about the host's unknown process to this incarnation.
    pub(super) fn resolve(&mut self, host: &Arc<str>, incarnation: u64) {
        let unknown = (Arc::clone(host), 0);
        if self.set.remove(&unknown) {
            self.order.retain(|item| *item != unknown);
            self.insert(host, incarnation);
        }
    }
}
