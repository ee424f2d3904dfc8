//! The prefix index against plain maps of whole hashes.

use std::collections::{HashMap, VecDeque};

use almondpath::clock::Millis;
use almondpath::routing::{Matches, PrefixIndex, block_hashes};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u16 = 40;

const CAPACITY: usize = 120;

const MAX_HOLDERS: usize = 32;

const STEPS: u64 = 20_000;

/// What [`PrefixIndex`] promises, with whole hashes and times.
#[derive(Default)]
struct Plain {
    /// Time of last use by block and slot.
    holders: HashMap<u64, HashMap<u16, u64>>,
    order: HashMap<u16, VecDeque<(u64, u64)>>,
    unsure_before: HashMap<u16, u64>,
}

impl Plain {
    fn insert(&mut self, slot: u16, blocks: &[u64], tenths: u64) {
        let order = self.order.entry(slot).or_default();
        for block in blocks.iter().rev() {
            let holders = self.holders.entry(*block).or_default();
            if let Some(at) = holders.get_mut(&slot) {
                *at = tenths;
            } else if holders.len() < MAX_HOLDERS {
                holders.insert(slot, tenths);
                order.push_back((*block, tenths));
            }
        }
        while self.order[&slot].len() > CAPACITY {
            self.evict(slot);
        }
    }

    fn evict(&mut self, slot: u16) {
        let order = self.order.get_mut(&slot).expect("the slot has a queue");
        for chance in 0.. {
            let Some((block, queued)) = order.pop_front() else {
                return;
            };
            let at = self.holders.get(&block).and_then(|of| of.get(&slot));
            match at.copied() {
                Some(at) if at > queued && chance <= 8 => order.push_back((block, at)),
                _ => return self.forget(slot, block),
            }
        }
    }

    fn forget(&mut self, slot: u16, block: u64) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.remove(&slot);
            if holders.is_empty() {
                self.holders.remove(&block);
            }
        }
    }

    fn remove(&mut self, slot: u16, blocks: &[u64]) {
        for block in blocks {
            self.forget(slot, *block);
        }
    }

    fn clear(&mut self, slot: u16) {
        for (block, _) in self.order.remove(&slot).unwrap_or_default() {
            self.forget(slot, block);
        }
        self.unsure_before.remove(&slot);
    }

    fn lookup(&self, blocks: &[u64]) -> (usize, HashMap<u16, f32>) {
        let deepest = blocks.partition_point(|block| self.holders.contains_key(block));
        let mut matched = HashMap::new();
        for depth in (1..=deepest).rev() {
            for (slot, at) in self.holders.get(&blocks[depth - 1]).into_iter().flatten() {
                let unsure = self.unsure_before.get(slot).is_some_and(|since| at < since);
                let factor = if unsure { 0.5 } else { 1.0 };
                matched.entry(*slot).or_insert(depth as f32 * factor);
            }
        }
        (deepest, matched)
    }
}

/// Returns prompts of up to 32 blocks, so that every depth is visited, that share beginnings.
fn prompts(rng: &mut SmallRng) -> Vec<Vec<u64>> {
    let prompts = (0..200).map(|number| {
        let shared = format!("{:08}", number % 5).repeat(32 * rng.random_range(0..8));
        let own = format!("{number:08}").repeat(32 * rng.random_range(1..24));
        block_hashes(&(shared + &own))
    });
    prompts.collect()
}

/// Guards against a compact index that answers otherwise than one with whole hashes, for example
/// after a removal that breaks the search for other blocks.
#[test]
fn a_compact_index_answers_as_plain_maps_do() {
    let mut rng = SmallRng::seed_from_u64(3);
    let prompts = prompts(&mut rng);
    let mut index = PrefixIndex::new(CAPACITY);
    let mut plain = Plain::default();
    let mut matched = Matches::default();
    for step in 0..STEPS {
        let now = Millis(step * 37);
        let tenths = now.0 / 100;
        let prompt = &prompts[rng.random_range(0..prompts.len())];
        let slot = rng.random_range(0..SLOTS);
        match rng.random_range(0..100) {
            0 => {
                index.clear(slot);
                plain.clear(slot);
            }
            1..4 => {
                index.cache_events_lost(slot, now);
                plain.unsure_before.insert(slot, tenths + 1);
            }
            4..20 => {
                let evicted = &prompt[prompt.len() / 2..];
                index.remove(slot, evicted);
                plain.remove(slot, evicted);
            }
            20..70 => {
                index.insert(slot, prompt, now);
                plain.insert(slot, prompt, tenths);
            }
            _ => {}
        }
        let depth = index.lookup(prompt, &mut matched);
        let (expected, of) = plain.lookup(prompt);
        assert_eq!(depth, expected, "step {step}");
        for slot in 0..SLOTS {
            let expected = of.get(&slot).copied().unwrap_or(0.0);
            let found = matched.blocks(usize::from(slot));
            assert!((found - expected).abs() < 0.1, "step {step}, slot {slot}");
        }
        assert_eq!(matched.holders().len(), of.len(), "step {step}");
    }
    assert!(index.len() > CAPACITY * usize::from(SLOTS) / 2);
}
