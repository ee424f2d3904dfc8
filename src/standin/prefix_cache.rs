use std::collections::{HashSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in a cached block.
pub(super) const BLOCK_TOKENS: usize = 16;

/// Number of prompt bytes that count as one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Maximum number of cached blocks; the block inserted first is evicted first.
const CAPACITY: usize = 65_536;

/// The prefix cache of an engine.
///
/// A block is identified by a hash of its text and of all blocks before it.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    blocks: HashSet<u64>,
    /// Cached blocks in order of insertion.
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Returns the number of cached tokens at the start of `context`, and caches the rest.
    ///
    /// Only full blocks are cached.
    pub(super) fn lookup(&mut self, context: &str) -> usize {
        let mut hash = 0;
        let mut cached = 0;
        let mut is_prefix_cached = true;
        for block in context
            .as_bytes()
            .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN)
        {
            hash = xxh3_64_with_seed(block, hash);
            is_prefix_cached &= self.blocks.contains(&hash);
            if is_prefix_cached {
                cached += BLOCK_TOKENS;
            } else {
                self.insert(hash);
            }
        }
        cached
    }

    fn insert(&mut self, hash: u64) {
        if self.blocks.insert(hash) {
            self.order.push_back(hash);
        }
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.blocks.remove(&oldest);
        }
    }
}
