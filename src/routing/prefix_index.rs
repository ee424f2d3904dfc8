use std::collections::VecDeque;

use crate::clock::Millis;

use super::Matches;
use super::entry::Entry;
use super::holders::{Holders, fingerprint};

/// Holders remembered per block; a block held more widely is found on enough of them.
const MAX_HOLDERS: usize = 32;

/// Depths of a prompt that a lookup visits below the deepest known block.
const MAX_PROBES: usize = 32;

/// Entries that one eviction may give another round because they were used again.
const MAX_SECOND_CHANCES: usize = 8;

/// Share of its length that a match counts when cache events were lost after it was seen.
const UNSURE_MATCH: f32 = 0.5;

/// Free places that an eviction queue may keep; they are 8 bytes each.
const MAX_SPARE: usize = 128;

/// Which endpoints probably hold which prompt blocks, bounded per endpoint.
///
/// Endpoints are numbered by slots. Of the entries of one endpoint, the least recently used is
/// evicted first, and of one prompt the last block first.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    capacity: usize,
    holders: Holders,
    order: Vec<VecDeque<Entry>>,
    unsure_before: Vec<u32>,
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
        self.order.iter().map(VecDeque::len).sum()
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
    pub fn insert(&mut self, slot: u16, blocks: &[u64], now: Millis) {
        self.reserve(slot);
        let at = tenths(now);
        let order = &mut self.order[usize::from(slot)];
        for &block in blocks.iter().rev() {
            let block = fingerprint(block);
            let used = self.holders.touch(block, slot, at);
            if !used && self.holders.of(block).count() < MAX_HOLDERS {
                self.holders.insert(block, slot, at);
                if order.len() == order.capacity() {
                    // Doubling would leave up to half of the queue unused.
                    order.reserve_exact(MAX_SPARE);
                }
                order.push_back(Entry::new(block, at));
            }
        }
        while self.order[usize::from(slot)].len() > self.capacity {
            self.evict(slot);
        }
        let order = &mut self.order[usize::from(slot)];
        if order.capacity() > order.len() + MAX_SPARE * 2 {
            order.shrink_to(order.len() + MAX_SPARE);
        }
    }

    /// Records that an endpoint no longer holds these blocks.
    pub fn remove(&mut self, slot: u16, blocks: &[u64]) {
        for block in blocks {
            self.holders.remove(fingerprint(*block), slot);
        }
        if let Some(order) = self.order.get_mut(usize::from(slot)) {
            let holders = &self.holders;
            // Removals of a few blocks leave stale order entries, which eviction drops; only a
            // queue that outgrew its bound is cleaned at once.
            if order.len() > self.capacity {
                order.retain(|queued| holders.time(queued.block(), slot).is_some());
            }
        }
    }

    /// Records that cache events of an endpoint were lost; older entries count less from now on.
    pub fn cache_events_lost(&mut self, slot: u16, now: Millis) {
        self.reserve(slot);
        self.unsure_before[usize::from(slot)] = tenths(now) + 1;
    }

    /// Drops all entries of an endpoint.
    pub fn clear(&mut self, slot: u16) {
        self.reserve(slot);
        let order = std::mem::take(&mut self.order[usize::from(slot)]);
        for queued in order {
            self.holders.remove(queued.block(), slot);
        }
        self.unsure_before[usize::from(slot)] = 0;
    }

    fn reserve(&mut self, slot: u16) {
        let length = usize::from(slot) + 1;
        if self.order.len() < length {
            self.order.resize_with(length, VecDeque::new);
            self.unsure_before.resize(length, 0);
        }
    }

    fn evict(&mut self, slot: u16) {
        let order = &mut self.order[usize::from(slot)];
        for _ in 0..=MAX_SECOND_CHANCES {
            let Some(queued) = order.pop_front() else {
                return;
            };
            let block = queued.block();
            match self.holders.time(block, slot) {
                Some(at) if queued.used_since(at) => order.push_back(Entry::new(block, at)),
                _ => return self.holders.remove(block, slot),
            }
        }
        if let Some(queued) = order.pop_front() {
            self.holders.remove(queued.block(), slot);
        }
    }
}

/// Lookups.
impl PrefixIndex {
    /// Finds for each endpoint the number of leading blocks it probably holds, and returns the depth up to which any endpoint holds the prompt.
    ///
    /// Visits a bounded number of depths: blocks are chained, so that the deepest known one is
    /// found by bisection. A match is exact for prompts of up to 32 blocks and short by at most
    /// a thirty-second for longer ones.
    pub fn lookup(&self, blocks: &[u64], matched: &mut Matches) -> usize {
        matched.clear();
        let deepest = blocks.partition_point(|block| self.holders.contains(fingerprint(*block)));
        let stride = deepest.div_ceil(MAX_PROBES).max(1);
        let mut depth = deepest;
        while depth > 0 {
            for (slot, at) in self.holders.of(fingerprint(blocks[depth - 1])) {
                let unsure = at < self.unsure_before[usize::from(slot)];
                let factor = if unsure { UNSURE_MATCH } else { 1.0 };
                matched.record(slot, depth as f32 * factor);
            }
            depth = depth.saturating_sub(stride);
        }
        deepest
    }
}

fn tenths(now: Millis) -> u32 {
    u32::try_from(now.0 / 100).unwrap_or(u32::MAX - 1)
}
