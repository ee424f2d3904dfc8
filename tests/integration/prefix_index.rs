//! The prefix index, compared with a reference implementation of plain maps and full hashes.

use std::collections::{HashMap, VecDeque};

use almondpath::clock::Millis;
use almondpath::routing::{Matches, PrefixIndex, block_hashes};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENDPOINTS: u16 = 40;

const CAPACITY: usize = 120;

const MAX_HOLDERS: usize = 32;

const STEPS: u64 = 20_000;

/// Reference implementation of [`PrefixIndex`] with full hashes and times.
#[derive(Default)]
struct Reference {
    /// Time of the last use in deciseconds, by block and endpoint.
    holders: HashMap<u64, HashMap<u16, u64>>,
    /// Eviction queue of blocks and the times at which they were queued, by endpoint.
    queues: HashMap<u16, VecDeque<(u64, u64)>>,
    /// Time per endpoint before which entries count half.
    stale_before: HashMap<u16, u64>,
}

impl Reference {
    fn insert(&mut self, endpoint: u16, blocks: &[u64], deciseconds: u64) {
        let queue = self.queues.entry(endpoint).or_default();
        for block in blocks.iter().rev() {
            let holders = self.holders.entry(*block).or_default();
            if let Some(at) = holders.get_mut(&endpoint) {
                *at = deciseconds;
            } else if holders.len() < MAX_HOLDERS {
                holders.insert(endpoint, deciseconds);
                queue.push_back((*block, deciseconds));
            }
        }
        while self.queues[&endpoint].len() > CAPACITY {
            self.evict(endpoint);
        }
    }

    fn evict(&mut self, endpoint: u16) {
        let queue = self
            .queues
            .get_mut(&endpoint)
            .expect("the endpoint has a queue");
        for chance in 0.. {
            let Some((block, queued_at)) = queue.pop_front() else {
                return;
            };
            let at = self
                .holders
                .get(&block)
                .and_then(|holders| holders.get(&endpoint));
            match at.copied() {
                Some(at) if at > queued_at && chance <= 8 => queue.push_back((block, at)),
                _ => return self.remove_holder(endpoint, block),
            }
        }
    }

    fn remove_holder(&mut self, endpoint: u16, block: u64) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.remove(&endpoint);
            if holders.is_empty() {
                self.holders.remove(&block);
            }
        }
    }

    fn remove(&mut self, endpoint: u16, blocks: &[u64]) {
        for block in blocks {
            self.remove_holder(endpoint, *block);
        }
    }

    fn clear(&mut self, endpoint: u16) {
        for (block, _) in self.queues.remove(&endpoint).unwrap_or_default() {
            self.remove_holder(endpoint, block);
        }
        self.stale_before.remove(&endpoint);
    }

    fn lookup(&self, blocks: &[u64]) -> (usize, HashMap<u16, f32>) {
        let deepest = blocks.partition_point(|block| self.holders.contains_key(block));
        let mut matches = HashMap::new();
        for depth in (1..=deepest).rev() {
            for (endpoint, at) in self.holders.get(&blocks[depth - 1]).into_iter().flatten() {
                let stale = self
                    .stale_before
                    .get(endpoint)
                    .is_some_and(|since| at < since);
                let factor = if stale { 0.5 } else { 1.0 };
                matches.entry(*endpoint).or_insert(depth as f32 * factor);
            }
        }
        (deepest, matches)
    }
}

/// Returns prompts with shared prefixes. They have up to 32 blocks, so that a lookup visits every
/// depth.
fn prompts(rng: &mut SmallRng) -> Vec<Vec<u64>> {
    let prompts = (0..200).map(|number| {
        let shared = format!("{:08}", number % 5).repeat(32 * rng.random_range(0..8));
        let own = format!("{number:08}").repeat(32 * rng.random_range(1..24));
        block_hashes(&(shared + &own))
    });
    prompts.collect()
}

/// Guards against results that differ from the reference implementation, for example after a
/// removal that breaks the probe sequence of other blocks.
#[test]
fn the_index_returns_the_same_as_plain_maps() {
    let mut rng = SmallRng::seed_from_u64(3);
    let prompts = prompts(&mut rng);
    let mut index = PrefixIndex::new(CAPACITY);
    let mut reference = Reference::default();
    let mut matches = Matches::default();
    for step in 0..STEPS {
        let now = Millis(step * 37);
        let deciseconds = now.0 / 100;
        let prompt = &prompts[rng.random_range(0..prompts.len())];
        let endpoint = rng.random_range(0..ENDPOINTS);
        match rng.random_range(0..100) {
            0 => {
                index.clear(endpoint);
                reference.clear(endpoint);
            }
            1..4 => {
                index.cache_events_lost(endpoint, now);
                reference.stale_before.insert(endpoint, deciseconds + 1);
            }
            4..20 => {
                let evicted = &prompt[prompt.len() / 2..];
                index.remove(endpoint, evicted);
                reference.remove(endpoint, evicted);
            }
            20..70 => {
                index.insert(endpoint, prompt, now);
                reference.insert(endpoint, prompt, deciseconds);
            }
            _ => {}
        }
        let depth = index.lookup(prompt, &mut matches);
        let (expected, expected_matches) = reference.lookup(prompt);
        assert_eq!(depth, expected, "step {step}");
        for endpoint in 0..ENDPOINTS {
            let expected = expected_matches.get(&endpoint).copied().unwrap_or(0.0);
            let found = matches.blocks(usize::from(endpoint));
            assert!(
                (found - expected).abs() < 0.1,
                "step {step}, endpoint {endpoint}"
            );
        }
        assert_eq!(
            matches.holders().len(),
            expected_matches.len(),
            "step {step}"
        );
    }
    assert!(index.len() > CAPACITY * usize::from(ENDPOINTS) / 2);
}
