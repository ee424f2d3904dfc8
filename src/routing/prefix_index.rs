use std::collections::VecDeque;

use crate::clock::Millis;

use super::Matches;
use super::entry::Entry;
use super::holders::{Holders, fingerprint};

/// Maximum number of holders stored per block; if more endpoints hold a block, these are enough to
/// choose from.
const MAX_HOLDERS: usize = 32;

/// Maximum number of depths of a prompt that a lookup visits, from the deepest known block down.
const MAX_PROBES: usize = 32;

/// Maximum number of entries that one eviction requeues because they were used again.
const MAX_SECOND_CHANCES: usize = 8;

/// Factor on the length of a match when cache events were lost after its last use.
const STALE_MATCH_FACTOR: f32 = 0.5;

/// Spare capacity that an eviction queue may keep, in entries of 8 bytes.
const MAX_SPARE_CAPACITY: usize = 128;

/// An index of the prompt blocks that each endpoint probably holds, bounded per endpoint.
///
/// Endpoints are identified by their index in the router. The least recently used entry of an
/// endpoint is evicted first, and of one prompt the last block first.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    capacity: usize,
    holders: Holders,
    /// Eviction queue per endpoint.
    queues: Vec<VecDeque<Entry>>,
    /// Time per endpoint, in deciseconds; entries last used before it count less.
    stale_before: Vec<u32>,
}

/// Construction and size.
impl PrefixIndex {
    /// Creates an empty index with at most `capacity` blocks per endpoint.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the number of entries over all endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Updates.
impl PrefixIndex {
    /// Records that an endpoint holds the blocks of a prompt.
    pub fn insert(&mut self, endpoint: u16, blocks: &[u64], now: Millis) {
        self.reserve(endpoint);
        let at = deciseconds(now);
        let queue = &mut self.queues[usize::from(endpoint)];
        for &block in blocks.iter().rev() {
            let block = fingerprint(block);
            let used = self.holders.touch(block, endpoint, at);
            if !used && self.holders.of(block).count() < MAX_HOLDERS {
                self.holders.insert(block, endpoint, at);
                if queue.len() == queue.capacity() {
                    // Doubling would leave up to half of the queue's memory unused.
                    queue.reserve_exact(MAX_SPARE_CAPACITY);
                }
                queue.push_back(Entry::new(block, at));
            }
        }
        while self.queues[usize::from(endpoint)].len() > self.capacity {
            self.evict(endpoint);
        }
        let queue = &mut self.queues[usize::from(endpoint)];
        if queue.capacity() > queue.len() + MAX_SPARE_CAPACITY * 2 {
            queue.shrink_to(queue.len() + MAX_SPARE_CAPACITY);
        }
    }

    /// Records that an endpoint no longer holds these blocks.
    pub fn remove(&mut self, endpoint: u16, blocks: &[u64]) {
        for block in blocks {
            self.holders.remove(fingerprint(*block), endpoint);
        }
        if let Some(queue) = self.queues.get_mut(usize::from(endpoint)) {
            let holders = &self.holders;
            // Removed blocks leave obsolete queue entries, which eviction drops. Only a queue that
            // exceeds its capacity is cleaned up at once.
            if queue.len() > self.capacity {
                queue.retain(|entry| holders.time(entry.block(), endpoint).is_some());
            }
        }
    }

    /// Records that cache events of an endpoint were lost; its older entries count less from now
    /// on.
    pub fn cache_events_lost(&mut self, endpoint: u16, now: Millis) {
        self.reserve(endpoint);
        self.stale_before[usize::from(endpoint)] = deciseconds(now) + 1;
    }

    /// Drops all entries of an endpoint.
    pub fn clear(&mut self, endpoint: u16) {
        self.reserve(endpoint);
        let queue = std::mem::take(&mut self.queues[usize::from(endpoint)]);
        for entry in queue {
            self.holders.remove(entry.block(), endpoint);
        }
        self.stale_before[usize::from(endpoint)] = 0;
    }

    fn reserve(&mut self, endpoint: u16) {
        let length = usize::from(endpoint) + 1;
        if self.queues.len() < length {
            self.queues.resize_with(length, VecDeque::new);
            self.stale_before.resize(length, 0);
        }
    }

    fn evict(&mut self, endpoint: u16) {
        let queue = &mut self.queues[usize::from(endpoint)];
        for _ in 0..=MAX_SECOND_CHANCES {
            let Some(entry) = queue.pop_front() else {
                return;
            };
            let block = entry.block();
            match self.holders.time(block, endpoint) {
                Some(at) if entry.used_since(at) => queue.push_back(Entry::new(block, at)),
                _ => return self.holders.remove(block, endpoint),
            }
        }
        if let Some(entry) = queue.pop_front() {
            self.holders.remove(entry.block(), endpoint);
        }
    }
}

/// Lookups.
impl PrefixIndex {
    /// Finds the number of leading blocks that each endpoint probably holds.
    ///
    /// Returns the number of leading blocks that any endpoint holds. A bounded number of depths is
    /// visited: block hashes are chained, so that the deepest known block is found by bisection. A
    /// match is exact for prompts of up to 32 blocks, and too short by at most a thirty-second for
    /// longer ones.
    pub fn lookup(&self, blocks: &[u64], matches: &mut Matches) -> usize {
        matches.clear();
        let deepest = blocks.partition_point(|block| self.holders.contains(fingerprint(*block)));
        let stride = deepest.div_ceil(MAX_PROBES).max(1);
        let mut depth = deepest;
        while depth > 0 {
            for (endpoint, at) in self.holders.of(fingerprint(blocks[depth - 1])) {
                let stale = at < self.stale_before[usize::from(endpoint)];
                let factor = if stale { STALE_MATCH_FACTOR } else { 1.0 };
                matches.record(endpoint, depth as f32 * factor);
            }
            depth = depth.saturating_sub(stride);
        }
        deepest
    }
}

/// Returns a time in deciseconds.
fn deciseconds(now: Millis) -> u32 {
    u32::try_from(now.0 / 100).unwrap_or(u32::MAX - 1)
}
