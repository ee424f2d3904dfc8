use std::hash::Hash;

use rand::Rng;

use crate::clock::Millis;
use crate::config::Class;

use super::{BLOCK_TOKENS, Query, Router, View};

/// Extra time to first token of each request that is already being generated, in milliseconds.
const SHARE_MS: f64 = 1.0;

/// Part of the pending long prefill that an interactive request waits for; engines serve its
/// prefill first, but share each step.
const LONG_PREFILL_WEIGHT: f64 = 0.25;

/// Endpoints whose scores differ by less than this share of the best are near-equals.
const NEAR_SHARE: f64 = 0.1;

/// Least difference of scores in milliseconds that makes two endpoints unequal.
const NEAR_MS: f64 = 5.0;

/// Share of its prefill time that a cold prefix may wait longer to be at its own endpoint.
const COLD_SHARE: f64 = 0.5;

/// Load of an endpoint relative to the mean up to which cold prefixes are placed there.
const COLD_LOAD: f64 = 1.25;

/// Blocks of uncached prompt that make the place of a prefix matter.
const COLD_BLOCKS: usize = 4;

/// Chooses by expected time to first token; returns the score and the slot.
pub(super) fn expected<K>(
    router: &mut Router<K>,
    query: &Query<'_, K>,
    depth: usize,
    now: Millis,
) -> Option<(f64, usize)>
where
    K: Copy + Eq + Hash,
{
    let mut scores = std::mem::take(&mut router.scores);
    score_all(router, query, now, &mut scores);
    let picked = pick(router, query, depth, now, &scores);
    router.scores = scores;
    picked
}

fn score_all<K>(
    router: &Router<K>,
    query: &Query<'_, K>,
    now: Millis,
    scores: &mut Vec<(f64, usize)>,
) where
    K: Copy + Eq + Hash,
{
    let mean = router.mean_foreign();
    let mean_price = mean_price(router);
    scores.clear();
    let limited = query.class == Class::Long
        && router
            .open()
            .any(|(_, view)| router.long_room(view) > 0 && !query.exclude.contains(&view.key));
    for (slot, view) in router.open() {
        let full = limited && router.long_room(view) == 0;
        if !full && !query.exclude.contains(&view.key) {
            let price = router.settings.price_ms * (view.price / mean_price - 1.0);
            let ms = expected_ms(router, view, slot, query, mean, now) + price;
            scores.push((ms, slot));
        }
    }
}

fn mean_price<K>(router: &Router<K>) -> f64
where
    K: Copy + Eq + Hash,
{
    let (sum, count) = router
        .open()
        .fold((0.0, 0.0), |(s, n), (_, v)| (s + v.price, n + 1.0));
    if sum > 0.0 { sum / count } else { 1.0 }
}

/// Expected time to first token of a request at an endpoint, without the price term.
fn expected_ms<K>(
    router: &Router<K>,
    view: &View<K>,
    slot: usize,
    query: &Query<'_, K>,
    mean: f64,
    now: Millis,
) -> f64
where
    K: Copy + Eq + Hash,
{
    let settings = &router.settings;
    let slots = f64::from(view.report.slots.max(1));
    let out = view.outstanding(mean, settings.load_memory, now);
    let wait = (out - slots + 1.0).max(0.0) * view.service_ms / slots;
    let pending = match query.class {
        Class::Interactive => {
            view.pending_interactive as f64 + view.pending_long as f64 * LONG_PREFILL_WEIGHT
        }
        Class::Long => (view.pending_interactive + view.pending_long) as f64,
    };
    let matched = f64::from(router.matched[slot]) * f64::from(BLOCK_TOKENS);
    let uncached = (f64::from(query.prompt_tokens) - matched).max(0.0);
    wait + out.min(slots) * SHARE_MS + (pending + uncached) * settings.prefill_ms
}

/// Picks among the near-equals of the best score.
///
/// A cold prefix goes to the endpoint that a rendezvous hash of its first unknown block names,
/// so that all nodes place it alike. All else goes to the better of two drawn at random, so that
/// nodes with the same old reports spread.
fn pick<K>(
    router: &mut Router<K>,
    query: &Query<'_, K>,
    depth: usize,
    now: Millis,
    scores: &[(f64, usize)],
) -> Option<(f64, usize)>
where
    K: Copy + Eq + Hash,
{
    let best = scores.iter().copied().min_by(|a, b| a.0.total_cmp(&b.0))?;
    let cold = query.blocks.len() - depth;
    let near = NEAR_MS.max(best.0.abs() * NEAR_SHARE);
    if cold >= COLD_BLOCKS {
        let prefill = cold as f64 * f64::from(BLOCK_TOKENS) * router.settings.prefill_ms;
        let limit = best.0 + near.max(prefill * COLD_SHARE);
        if let Some(found) = rendezvous(router, query.blocks[depth], limit, now, scores) {
            return Some(found);
        }
    }
    let near: Vec<_> = scores.iter().filter(|s| s.0 <= best.0 + near).collect();
    let first = near[router.rng.random_range(0..near.len())];
    let second = near[router.rng.random_range(0..near.len())];
    Some(if first.0 <= second.0 { *first } else { *second })
}

fn rendezvous<K>(
    router: &Router<K>,
    block: u64,
    limit: f64,
    now: Millis,
    scores: &[(f64, usize)],
) -> Option<(f64, usize)>
where
    K: Copy + Eq + Hash,
{
    let mean_foreign = router.mean_foreign();
    let memory = router.settings.load_memory;
    let load = |slot: usize| {
        let view = router.views[slot].as_ref();
        view.map_or(0.0, |v| v.outstanding(mean_foreign, memory, now))
    };
    let mean = scores.iter().map(|s| load(s.1)).sum::<f64>() / scores.len() as f64;
    scores
        .iter()
        .filter(|(score, slot)| *score <= limit && load(*slot) <= mean * COLD_LOAD + 1.0)
        .max_by_key(|(_, slot)| mix(block, id(router, *slot)))
        .copied()
}

/// Returns the number that all nodes know the endpoint in a slot by.
pub(super) fn id<K>(router: &Router<K>, slot: usize) -> u64 {
    router.views[slot].as_ref().map_or(0, |view| view.id)
}

/// Mixes a block hash and an endpoint into a rendezvous weight.
pub(super) fn mix(block: u64, id: u64) -> u64 {
    let mut x = block ^ id.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
