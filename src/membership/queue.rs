use std::collections::{BTreeMap, VecDeque};

/// Updates to send to other nodes, each a limited number of times.
///
/// New updates are sent first, and among the others the one that waited longest. A full queue
/// drops the update at its end, which has been sent most often.
#[derive(Clone, Debug)]
pub(super) struct Queue<K, V> {
    order: VecDeque<K>,
    items: BTreeMap<K, Item<V>>,
    limit: usize,
}

#[derive(Clone, Debug)]
struct Item<V> {
    value: V,
    remaining: u32,
}

impl<K, V> Queue<K, V>
where
    K: Clone + Ord,
    V: Clone,
{
    pub(super) fn new(limit: usize) -> Self {
        Self {
            order: VecDeque::new(),
            items: BTreeMap::new(),
            limit,
        }
    }

    /// Adds an update that is sent `transmissions` times; it replaces the one with the same key.
    pub(super) fn push(&mut self, key: K, value: V, transmissions: u32) {
        let item = Item {
            value,
            remaining: transmissions,
        };
        if self.items.insert(key.clone(), item).is_some() {
            self.order.retain(|other| *other != key);
        }
        self.order.push_front(key);
        if self.order.len() > self.limit
            && let Some(last) = self.order.pop_back()
        {
            self.items.remove(&last);
        }
    }

    /// Takes updates until the next one does not fit into `budget` bytes, and returns them with
    /// the rest of the budget.
    pub(super) fn take<F>(&mut self, mut budget: usize, size: F) -> (Vec<V>, usize)
    where
        F: Fn(&V) -> usize,
    {
        let mut taken = Vec::new();
        for _ in 0..self.order.len() {
            let Some(key) = self.order.front() else { break };
            let item = self.items.get_mut(key).expect("a queued key has an item");
            let bytes = size(&item.value);
            if bytes > budget {
                break;
            }
            budget -= bytes;
            item.remaining -= 1;
            taken.push(item.value.clone());
            let done = item.remaining == 0;
            let key = self.order.pop_front().expect("a key was just read");
            if done {
                self.items.remove(&key);
            } else {
                self.order.push_back(key);
            }
        }
        (taken, budget)
    }

    pub(super) fn contains(&self, key: &K) -> bool {
        self.items.contains_key(key)
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }
}
