use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

use crate::clock::Millis;

use super::Matched;

/// Holders remembered per block; a block held more widely is found on enough of them.
const MAX_HOLDERS: usize = 32;

/// Depths of a prompt that a lookup visits below the deepest known block.
const MAX_PROBES: usize = 32;

/// Entries that one eviction may give another round because they were used again.
const MAX_SECOND_CHANCES: usize = 8;

/// Share of its length that a match counts when cache events were lost after it was seen.
const UNSURE_MATCH: f32 = 0.5;

/// Hashes block hashes, which are uniform already, to themselves.
#[derive(Clone, Copy, Debug, Default)]
struct Identity(u64);

impl Hasher for Identity {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, _: &[u8]) {
        unreachable!("only block hashes are keys");
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    slot: u16,
    /// Last use, in tenths of a second.
    at: u32,
}

/// Which endpoints probably hold which prompt blocks, bounded per endpoint.
///
/// Endpoints are numbered by slots. Of the entries of one endpoint, the least recently used is
/// evicted first, and of one prompt the last block first.
#[derive(Debug, Default)]
pub struct Prefix {
    capacity: usize,
    holders: HashMap<u64, Vec<Holder>, BuildHasherDefault<Identity>>,
    order: Vec<VecDeque<(u64, u32)>>,
    unsure_before: Vec<u32>,
}

/// Construction and size.
impl Prefix {
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
impl Prefix {
    /// Records that an endpoint holds the blocks of a prompt.
    pub fn insert(&mut self, slot: u16, blocks: &[u64], now: Millis) {
        self.reserve(slot);
        let at = tenths(now);
        for &block in blocks.iter().rev() {
            let holders = self.holders.entry(block).or_default();
            if let Some(holder) = holders.iter_mut().find(|h| h.slot == slot) {
                holder.at = at;
                continue;
            }
            if holders.len() < MAX_HOLDERS {
                holders.push(Holder { slot, at });
                self.order[usize::from(slot)].push_back((block, at));
            }
        }
        while self.order[usize::from(slot)].len() > self.capacity {
            self.evict(slot);
        }
    }

    /// Records that an endpoint no longer holds these blocks.
    pub fn remove(&mut self, slot: u16, blocks: &[u64]) {
        for block in blocks {
            self.forget(*block, slot);
        }
        if let Some(order) = self.order.get_mut(usize::from(slot)) {
            let holders = &self.holders;
            // Removals of a few blocks leave stale order entries, which eviction drops; only a
            // queue that outgrew its bound is cleaned at once.
            if order.len() > self.capacity {
                order.retain(|(block, _)| holds(holders, *block, slot).is_some());
            }
        }
    }

    /// Records that cache events of an endpoint were lost; older entries count less from now on.
    pub fn gap(&mut self, slot: u16, now: Millis) {
        self.reserve(slot);
        self.unsure_before[usize::from(slot)] = tenths(now) + 1;
    }

    /// Drops all entries of an endpoint.
    pub fn clear(&mut self, slot: u16) {
        self.reserve(slot);
        let order = std::mem::take(&mut self.order[usize::from(slot)]);
        for (block, _) in order {
            self.forget(block, slot);
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

    fn forget(&mut self, block: u64, slot: u16) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|holder| holder.slot != slot);
            if holders.is_empty() {
                self.holders.remove(&block);
            }
        }
    }

    fn evict(&mut self, slot: u16) {
        for _ in 0..=MAX_SECOND_CHANCES {
            let Some((block, queued)) = self.order[usize::from(slot)].pop_front() else {
                return;
            };
            match holds(&self.holders, block, slot) {
                Some(at) if at > queued => {
                    self.order[usize::from(slot)].push_back((block, at));
                }
                _ => return self.forget(block, slot),
            }
        }
        if let Some((block, _)) = self.order[usize::from(slot)].pop_front() {
            self.forget(block, slot);
        }
    }
}

/// Lookups.
impl Prefix {
    /// Finds for each endpoint the number of leading blocks it probably holds, and returns the depth up to which any endpoint holds the prompt.
    ///
    /// Visits a bounded number of depths: blocks are chained, so that the deepest known one is
    /// found by bisection. A match is exact for prompts of up to 32 blocks and short by at most
    /// a thirty-second for longer ones.
    pub fn lookup(&self, blocks: &[u64], matched: &mut Matched) -> usize {
        matched.clear();
        let deepest = blocks.partition_point(|block| self.holders.contains_key(block));
        let stride = deepest.div_ceil(MAX_PROBES).max(1);
        let mut depth = deepest;
        while depth > 0 {
            for holder in self.holders.get(&blocks[depth - 1]).into_iter().flatten() {
                let unsure = holder.at < self.unsure_before[usize::from(holder.slot)];
                let factor = if unsure { UNSURE_MATCH } else { 1.0 };
                matched.record(holder.slot, depth as f32 * factor);
            }
            depth = depth.saturating_sub(stride);
        }
        deepest
    }
}

fn holds(
    holders: &HashMap<u64, Vec<Holder>, BuildHasherDefault<Identity>>,
    block: u64,
    slot: u16,
) -> Option<u32> {
    let holders = holders.get(&block)?;
    holders.iter().find(|h| h.slot == slot).map(|h| h.at)
}

fn tenths(now: Millis) -> u32 {
    u32::try_from(now.0 / 100).unwrap_or(u32::MAX - 1)
}
