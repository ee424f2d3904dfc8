use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Most remembered processes; the design size is 600 endpoints.
const LIMIT: usize = 4_096;

/// Processes of endpoints that were said to be leaving, by host name and incarnation.
///
/// They are remembered when the host disappears from the host list, because a list that lags can
/// bring it back. Incarnation 0 stands for a process whose number is not known yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    order: VecDeque<(Arc<str>, u64)>,
    set: BTreeSet<(Arc<str>, u64)>,
}

impl Departures {
    pub(super) fn contains(&self, host: &Arc<str>, incarnation: u64) -> bool {
        self.set.contains(&(Arc::clone(host), incarnation))
    }

    /// Remembers a process and returns whether it was new; the oldest one is forgotten when full.
    pub(super) fn insert(&mut self, host: &Arc<str>, incarnation: u64) -> bool {
        let item = (Arc::clone(host), incarnation);
        if !self.set.insert(item.clone()) {
            return false;
        }
        self.order.push_back(item);
        if self.order.len() > LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
        true
    }

    /// Binds what was said about the host's unknown process to this one.
    pub(super) fn bind(&mut self, host: &Arc<str>, incarnation: u64) {
        let unknown = (Arc::clone(host), 0);
        if self.set.remove(&unknown) {
            self.order.retain(|item| *item != unknown);
            self.insert(host, incarnation);
        }
    }
}
