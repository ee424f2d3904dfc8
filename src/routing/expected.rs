use std::hash::Hash;

use rand::Rng;

use crate::clock::Millis;
use crate::config::Class;

use super::candidates::Candidates;
use super::ring::mix;
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

/// Endpoints drawn at random when not all are scored.
///
/// The best of 32 is among the best 9% of all in 19 of 20 decisions, and nodes that draw
/// different samples from the same old reports don't follow them to the same endpoint.
const SAMPLE: usize = 32;

/// Holders of the prompt's prefix that are scored, the deepest first.
const HOLDERS: usize = 32;

/// Chooses by expected time to first token; returns the score, the slot and how many endpoints
/// were scored.
pub(super) fn choose<K>(
    router: &mut Router<K>,
    query: &Query<'_, K>,
    depth: usize,
    now: Millis,
) -> Option<(f64, usize, usize)>
where
    K: Copy + Eq + Hash,
{
    let mut candidates = std::mem::take(&mut router.candidates);
    candidates.clear();
    if router.views.len() <= router.settings.scan_limit {
        score_all(router, query, now, &mut candidates);
    } else {
        score_some(router, query, depth, now, &mut candidates);
    }
    let picked = pick(router, query, depth, now, &candidates);
    let scored = candidates.scores.len();
    router.candidates = candidates;
    picked.map(|(score, slot)| (score, slot, scored))
}

fn score_all<K>(router: &Router<K>, query: &Query<'_, K>, now: Millis, candidates: &mut Candidates)
where
    K: Copy + Eq + Hash,
{
    let limited = router
        .open()
        .any(|(_, view)| fits(router, view, query, true));
    for (slot, view) in router.open() {
        if fits(router, view, query, limited) {
            let score = score(router, view, slot, query, now);
            candidates.scores.push((score, slot));
        }
    }
    candidates.drawn = candidates.scores.len();
}

/// Scores a sample of the endpoints, the holders of the prompt's prefix and the places of a cold
/// one.
fn score_some<K>(
    router: &mut Router<K>,
    query: &Query<'_, K>,
    depth: usize,
    now: Millis,
    candidates: &mut Candidates,
) where
    K: Copy + Eq + Hash,
{
    let mut drawn = [0; SAMPLE];
    let (count, limited) = draw(router, query, &mut drawn);
    let mut push = |slot: usize| {
        let view = router.views.get(slot).and_then(Option::as_ref);
        if let Some(view) = view.filter(|view| fits(router, view, query, limited)) {
            let score = score(router, view, slot, query, now);
            candidates.scores.push((score, slot));
        }
        candidates.scores.len()
    };
    for slot in &drawn[..count] {
        push(*slot);
    }
    let mut scored = count;
    for slot in router.matches.holders().iter().take(HOLDERS) {
        scored = push(usize::from(*slot));
    }
    if query.blocks.len() - depth >= COLD_BLOCKS {
        for slot in router.ring.places(query.blocks[depth]) {
            push(slot as usize);
        }
    }
    candidates.drawn = count;
    candidates.places = Some(scored);
}

/// Draws endpoints that fit at random; returns how many, and whether they have room for the
/// request, which matters for long ones only.
///
/// Goes on until there are enough that have room or all endpoints were visited, so that one is
/// found whenever there is one.
fn draw<K>(
    router: &mut Router<K>,
    query: &Query<'_, K>,
    drawn: &mut [usize; SAMPLE],
) -> (usize, bool)
where
    K: Copy + Eq + Hash,
{
    let mut walk = std::mem::take(&mut router.walk);
    let mut full = [0; SAMPLE];
    let (mut count, mut full_count) = (0, 0);
    for visited in 0..walk.len() {
        // One step of a shuffle: any earlier order of the slots is as good as another.
        let next = router.rng.random_range(visited..walk.len());
        walk.swap(visited, next);
        let slot = walk[visited] as usize;
        let Some(view) = router.views[slot].as_ref() else {
            continue;
        };
        if fits(router, view, query, true) {
            drawn[count] = slot;
            count += 1;
            if count == SAMPLE {
                break;
            }
        } else if full_count < SAMPLE && fits(router, view, query, false) {
            full[full_count] = slot;
            full_count += 1;
        }
    }
    router.walk = walk;
    if count > 0 {
        return (count, true);
    }
    *drawn = full;
    (full_count, false)
}

/// Returns whether an endpoint may get a request; `limited` keeps the limit of long work.
fn fits<K>(router: &Router<K>, view: &View<K>, query: &Query<'_, K>, limited: bool) -> bool
where
    K: Copy + Eq + Hash,
{
    let full = limited && query.class == Class::Long && router.free_long_slots(view) == 0;
    view.open && !full && !query.exclude.contains(&view.key)
}

/// Expected time to first token of a request at an endpoint, with the price term.
fn score<K>(
    router: &Router<K>,
    view: &View<K>,
    slot: usize,
    query: &Query<'_, K>,
    now: Millis,
) -> f64
where
    K: Copy + Eq + Hash,
{
    let price = router.settings.price_ms * (view.price / router.totals.mean_price() - 1.0);
    let mean = router.totals.mean_remote_in_flight();
    expected_ms(router, view, slot, query, mean, now) + price
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
    let matched = f64::from(router.matches.blocks(slot)) * f64::from(BLOCK_TOKENS);
    let uncached = (f64::from(query.prompt_tokens) - matched).max(0.0);
    wait + out.min(slots) * SHARE_MS + (pending + uncached) * settings.prefill_ms
}

/// Picks among the near-equals of the best score.
///
/// A cold prefix goes to the endpoint that a hash of its first unknown block names, so that all
/// nodes place it alike. All else goes to the better of two drawn at random, so that nodes with
/// the same old reports spread.
fn pick<K>(
    router: &mut Router<K>,
    query: &Query<'_, K>,
    depth: usize,
    now: Millis,
    candidates: &Candidates,
) -> Option<(f64, usize)>
where
    K: Copy + Eq + Hash,
{
    let scores = &candidates.scores;
    let best = scores.iter().copied().min_by(|a, b| a.0.total_cmp(&b.0))?;
    let cold = query.blocks.len() - depth;
    let near = NEAR_MS.max(best.0.abs() * NEAR_SHARE);
    if cold >= COLD_BLOCKS {
        let prefill = cold as f64 * f64::from(BLOCK_TOKENS) * router.settings.prefill_ms;
        let limit = best.0 + near.max(prefill * COLD_SHARE);
        if let Some(found) = place(router, query.blocks[depth], limit, now, candidates) {
            return Some(found);
        }
    }
    let near: Vec<_> = scores.iter().filter(|s| s.0 <= best.0 + near).collect();
    let first = near[router.rng.random_range(0..near.len())];
    let second = near[router.rng.random_range(0..near.len())];
    Some(if first.0 <= second.0 { *first } else { *second })
}

/// Returns the first place of a cold prefix that is neither slow nor busier than the others.
fn place<K>(
    router: &Router<K>,
    block: u64,
    limit: f64,
    now: Millis,
    candidates: &Candidates,
) -> Option<(f64, usize)>
where
    K: Copy + Eq + Hash,
{
    let mean_remote_in_flight = router.totals.mean_remote_in_flight();
    let memory = router.settings.load_memory;
    let load = |slot: usize| {
        let view = router.views[slot].as_ref();
        view.map_or(0.0, |v| v.outstanding(mean_remote_in_flight, memory, now))
    };
    let drawn = &candidates.scores[..candidates.drawn];
    let mean = drawn.iter().map(|s| load(s.1)).sum::<f64>() / drawn.len() as f64;
    let fits =
        |(score, slot): &(f64, usize)| *score <= limit && load(*slot) <= mean * COLD_LOAD + 1.0;
    let scores = candidates.scores.iter().copied();
    match candidates.places {
        Some(first) => scores.skip(first).find(fits),
        None => scores
            .filter(fits)
            .max_by_key(|(_, slot)| mix(block, id(router, *slot))),
    }
}

/// Returns the number that all nodes know the endpoint in a slot by.
pub(super) fn id<K>(router: &Router<K>, slot: usize) -> u64 {
    router.views[slot].as_ref().map_or(0, |view| view.id)
}
