use std::collections::{BTreeMap, HashMap};

/// The prefix cache of an engine, which evicts the least recently used blocks first.
#[derive(Debug, Default)]
pub(super) struct Cache {
    capacity: usize,
    /// Logical clock, advanced by each use of a block.
    tick: u64,
    /// Time of the last use of each cached block.
    last_used: HashMap<u64, u64>,
    /// Cached blocks by the time of their last use.
    by_last_use: BTreeMap<u64, u64>,
}

impl Cache {
    /// Creates an empty cache that holds at most `capacity` blocks.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the number of leading blocks that are cached.
    pub(super) fn matched_blocks(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count()
    }

    /// Inserts blocks, or marks them as used, and returns the blocks evicted for them.
    pub(super) fn insert(&mut self, blocks: &[u64]) -> Vec<u64> {
        // The last block is marked first, so that the end of a prompt is evicted before its start.
        for &block in blocks.iter().rev() {
            self.tick += 1;
            if let Some(previous) = self.last_used.insert(block, self.tick) {
                self.by_last_use.remove(&previous);
            }
            self.by_last_use.insert(self.tick, block);
        }
        let mut evicted = Vec::new();
        while self.last_used.len() > self.capacity {
            if let Some((_, block)) = self.by_last_use.pop_first() {
                self.last_used.remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }
}
