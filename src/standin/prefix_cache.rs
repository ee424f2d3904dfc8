use std::collections::{HashSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in a cached block.
pub(super) const BLOCK_TOKENS: usize = 16;

/// Bytes of a prompt for each of its tokens.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Blocks that an engine keeps; the oldest are dropped first.
const CAPACITY: usize = 65_536;

/// The prompt prefixes that an engine keeps, by the hash of each block and all before it.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Returns the number of tokens at the start of `context` that are kept, and keeps the rest.
    pub(super) fn lookup(&mut self, context: &str) -> usize {
        let mut hash = 0;
        let mut cached = 0;
        let mut unbroken = true;
        for block in context
            .as_bytes()
            .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN)
        {
            hash = xxh3_64_with_seed(block, hash);
            unbroken &= self.blocks.contains(&hash);
            if unbroken {
                cached += BLOCK_TOKENS;
            } else {
                self.keep(hash);
            }
        }
        cached
    }

    fn keep(&mut self, hash: u64) {
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
