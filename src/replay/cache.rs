use std::collections::{BTreeMap, HashMap};

/// The prefix cache of an engine: blocks, least recently used first out.
#[derive(Debug, Default)]
pub(super) struct Cache {
    capacity: usize,
    tick: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns how many leading blocks are held.
    pub(super) fn matched(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count()
    }

    /// Stores blocks and returns those evicted for them.
    pub(super) fn store(&mut self, blocks: &[u64]) -> Vec<u64> {
        // The last block is touched first, so that a prompt loses its end before its start.
        for &block in blocks.iter().rev() {
            self.tick += 1;
            if let Some(old) = self.used.insert(block, self.tick) {
                self.order.remove(&old);
            }
            self.order.insert(self.tick, block);
        }
        let mut evicted = Vec::new();
        while self.used.len() > self.capacity {
            if let Some((_, block)) = self.order.pop_first() {
                self.used.remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }
}
