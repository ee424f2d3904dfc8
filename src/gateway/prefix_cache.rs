use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;

use super::Segment;

/// Share of an endpoint's memory that is assumed to cache shared segments; running requests use the
/// rest.
const SHARED_MEMORY_RATIO: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    last_used: Millis,
}

/// A node's estimate of an endpoint's prefix cache, with LRU eviction.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    total_tokens: u64,
    entries: HashMap<u64, Entry>,
}

impl PrefixCache {
    /// Creates an empty cache for an endpoint with memory for this many tokens.
    #[must_use]
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            capacity: (memory_tokens as f64 * SHARED_MEMORY_RATIO) as u64,
            total_tokens: 0,
            entries: HashMap::new(),
        }
    }

    /// Returns the tokens of the longest cached prefix of these segments.
    #[must_use]
    pub fn cached_tokens(&self, segments: &[Segment]) -> u64 {
        prefix_hashes(segments)
            .take_while(|(key, _)| self.entries.contains_key(key))
            .map(|(_, tokens)| u64::from(tokens))
            .sum()
    }

    /// Records that the endpoint prefilled these segments.
    pub fn insert(&mut self, segments: &[Segment], now: Millis) {
        for (key, tokens) in prefix_hashes(segments) {
            let entry = Entry {
                tokens,
                last_used: now,
            };
            if self.entries.insert(key, entry).is_none() {
                self.total_tokens += u64::from(tokens);
            }
        }
        while self.total_tokens > self.capacity && self.evict_oldest() {}
    }

    fn evict_oldest(&mut self) -> bool {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_used);
        let Some((key, tokens)) = oldest.map(|(key, entry)| (*key, entry.tokens)) else {
            return false;
        };
        self.entries.remove(&key);
        self.total_tokens -= u64::from(tokens);
        true
    }
}

/// Returns, for each segment, a hash of it and all segments before it, with its tokens.
fn prefix_hashes(segments: &[Segment]) -> impl Iterator<Item = (u64, u32)> + '_ {
    segments.iter().scan(0_u64, |before, segment| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&before.to_le_bytes());
        bytes[8..].copy_from_slice(&segment.id.to_le_bytes());
        *before = xxh3_64(&bytes);
        Some((*before, segment.tokens))
    })
}
