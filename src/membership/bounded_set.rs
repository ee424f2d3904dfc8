use std::collections::{BTreeSet, VecDeque};

/// A set of bounded size that evicts its oldest element when full.
#[derive(Clone, Debug)]
pub(super) struct BoundedSet<T> {
    order: VecDeque<T>,
    set: BTreeSet<T>,
    limit: usize,
}

impl<T> BoundedSet<T>
where
    T: Clone + Ord,
{
    pub(super) fn new(limit: usize) -> Self {
        Self {
            order: VecDeque::new(),
            set: BTreeSet::new(),
            limit,
        }
    }

    /// Adds an element and returns whether it was new.
    pub(super) fn insert(&mut self, item: T) -> bool {
        if !self.set.insert(item.clone()) {
            return false;
        }
        self.order.push_back(item);
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
        true
    }
}
