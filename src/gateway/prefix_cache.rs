use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;

use super::Segment;

/// Share of the memory that is assumed to hold shared parts; running requests take the rest.
const SHARED_MEMORY: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: Millis,
}

/// The shared parts that an endpoint is believed to keep, the least recently used ones yield.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    held: u64,
    kept: HashMap<u64, Kept>,
}

impl PrefixCache {
    /// Creates an empty memory of this many tokens.
    #[must_use]
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            capacity: (memory_tokens as f64 * SHARED_MEMORY) as u64,
            held: 0,
            kept: HashMap::new(),
        }
    }

    /// Returns the tokens of the leading parts that are kept.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[Segment]) -> u64 {
        chain(parts)
            .take_while(|(key, _)| self.kept.contains_key(key))
            .map(|(_, tokens)| u64::from(tokens))
            .sum()
    }

    /// Notes that the endpoint read these parts.
    pub fn insert(&mut self, parts: &[Segment], now: Millis) {
        for (key, tokens) in chain(parts) {
            let fresh = Kept { tokens, used: now };
            if self.kept.insert(key, fresh).is_none() {
                self.held += u64::from(tokens);
            }
        }
        while self.held > self.capacity && self.evict_oldest() {}
    }

    fn evict_oldest(&mut self) -> bool {
        let oldest = self.kept.iter().min_by_key(|(_, kept)| kept.used);
        let Some((key, tokens)) = oldest.map(|(key, kept)| (*key, kept.tokens)) else {
            return false;
        };
        self.kept.remove(&key);
        self.held -= u64::from(tokens);
        true
    }
}

/// Returns for each part a number that stands for it and all parts before it.
fn chain(parts: &[Segment]) -> impl Iterator<Item = (u64, u32)> + '_ {
    parts.iter().scan(0_u64, |before, part| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&before.to_le_bytes());
        bytes[8..].copy_from_slice(&part.id.to_le_bytes());
        *before = xxh3_64(&bytes);
        Some((*before, part.tokens))
    })
}
