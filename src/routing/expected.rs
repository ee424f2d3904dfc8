use std::hash::Hash;

use rand::Rng;

use crate::clock::Millis;
use crate::config::Class;

use super::candidates::Candidates;
use super::ring::mix;
use super::{BLOCK_TOKENS, Query, Router, View};

/// Delay of the first token in milliseconds per request that the endpoint is already serving.
const BATCHING_MS: f64 = 1.0;

/// Part of the pending long prefill that delays an interactive request. Engines prefill interactive
/// requests first, but long requests share each batch step.
const LONG_PREFILL_WEIGHT: f64 = 0.25;

/// Difference from the best score, relative to it, up to which endpoints count as near-equal.
const NEAR_RATIO: f64 = 0.1;

/// Difference from the best score in milliseconds up to which endpoints always count as near-equal.
const NEAR_MS: f64 = 5.0;

/// Extra wait accepted for a cold prefix to reach its preferred endpoint, relative to its prefill
/// time.
const COLD_WAIT_RATIO: f64 = 0.5;

/// Load relative to the mean up to which an endpoint gets cold prefixes.
const COLD_LOAD_RATIO: f64 = 1.25;

/// Uncached blocks of a prompt from which on its prefix is placed by hash.
const MIN_COLD_BLOCKS: usize = 4;

/// Number of endpoints sampled at random when not all are scored.
///
/// The best of 32 is among the best 9% of all endpoints in 19 of 20 decisions. Because each node
/// draws its own sample, nodes with the same stale reports don't all choose the same endpoint.
const SAMPLE_SIZE: usize = 32;

/// Maximum number of holders of the prompt's prefix that are scored, longest match first.
const MAX_HOLDERS_SCORED: usize = 32;

/// Chooses the endpoint with the least expected time to first token.
///
/// `depth` is the number of leading blocks of the prompt that any endpoint holds. Returns the
/// endpoint's score, its index and the number of endpoints scored.
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
        score_sample(router, query, depth, now, &mut candidates);
    }
    let picked = pick(router, query, depth, now, &candidates);
    let scored = candidates.scores.len();
    router.candidates = candidates;
    picked.map(|(score, index)| (score, index, scored))
}

/// Scores all eligible endpoints.
fn score_all<K>(router: &Router<K>, query: &Query<'_, K>, now: Millis, candidates: &mut Candidates)
where
    K: Copy + Eq + Hash,
{
    let limited = router
        .open()
        .any(|(_, view)| is_eligible(router, view, query, true));
    for (index, view) in router.open() {
        if is_eligible(router, view, query, limited) {
            let score = score(router, view, index, query, now);
            candidates.scores.push((score, index));
        }
    }
    candidates.sampled = candidates.scores.len();
}

/// Scores a sample of the endpoints, the holders of the prompt's prefix and, for a cold prefix, its
/// preferred endpoints.
fn score_sample<K>(
    router: &mut Router<K>,
    query: &Query<'_, K>,
    depth: usize,
    now: Millis,
    candidates: &mut Candidates,
) where
    K: Copy + Eq + Hash,
{
    let mut sample = [0; SAMPLE_SIZE];
    let (count, limited) = draw_sample(router, query, &mut sample);
    let mut push = |index: usize| {
        let view = router.views.get(index).and_then(Option::as_ref);
        if let Some(view) = view.filter(|view| is_eligible(router, view, query, limited)) {
            let score = score(router, view, index, query, now);
            candidates.scores.push((score, index));
        }
        candidates.scores.len()
    };
    for index in &sample[..count] {
        push(*index);
    }
    let mut preferred_start = count;
    for index in router.matches.holders().iter().take(MAX_HOLDERS_SCORED) {
        preferred_start = push(usize::from(*index));
    }
    if query.blocks.len() - depth >= MIN_COLD_BLOCKS {
        for index in router.ring.preferred(query.blocks[depth]) {
            push(index as usize);
        }
    }
    candidates.sampled = count;
    candidates.preferred = Some(preferred_start);
}

/// Draws a random sample of the eligible endpoints.
///
/// Returns the size of the sample and whether its endpoints are below their limit of long requests,
/// which matters for long requests only. Endpoints are visited until the sample is full or all were
/// visited, so that an eligible endpoint is found whenever there is one.
fn draw_sample<K>(
    router: &mut Router<K>,
    query: &Query<'_, K>,
    sample: &mut [usize; SAMPLE_SIZE],
) -> (usize, bool)
where
    K: Copy + Eq + Hash,
{
    let mut shuffled = std::mem::take(&mut router.shuffled);
    let mut full = [0; SAMPLE_SIZE];
    let (mut count, mut full_count) = (0, 0);
    for visited in 0..shuffled.len() {
        // One step of a Fisher-Yates shuffle, which may start from any order.
        let next = router.rng.random_range(visited..shuffled.len());
        shuffled.swap(visited, next);
        let index = shuffled[visited] as usize;
        let Some(view) = router.views[index].as_ref() else {
            continue;
        };
        if is_eligible(router, view, query, true) {
            sample[count] = index;
            count += 1;
            if count == SAMPLE_SIZE {
                break;
            }
        } else if full_count < SAMPLE_SIZE && is_eligible(router, view, query, false) {
            full[full_count] = index;
            full_count += 1;
        }
    }
    router.shuffled = shuffled;
    if count > 0 {
        return (count, true);
    }
    *sample = full;
    (full_count, false)
}

/// Returns whether an endpoint may get a request; `limited` applies the limit of long requests.
fn is_eligible<K>(router: &Router<K>, view: &View<K>, query: &Query<'_, K>, limited: bool) -> bool
where
    K: Copy + Eq + Hash,
{
    let full = limited && query.class == Class::Long && router.free_long_slots(view) == 0;
    view.open && !full && !query.exclude.contains(&view.key)
}

/// Returns the expected time to first token of a request at an endpoint, with the price term.
fn score<K>(
    router: &Router<K>,
    view: &View<K>,
    index: usize,
    query: &Query<'_, K>,
    now: Millis,
) -> f64
where
    K: Copy + Eq + Hash,
{
    let price = router.settings.price_ms * (view.price / router.totals.mean_price() - 1.0);
    let mean = router.totals.mean_remote_in_flight();
    expected_ms(router, view, index, query, mean, now) + price
}

/// Returns the expected time to first token of a request at an endpoint, without the price term.
///
/// `mean` is the mean number of requests of other nodes per endpoint.
fn expected_ms<K>(
    router: &Router<K>,
    view: &View<K>,
    index: usize,
    query: &Query<'_, K>,
    mean: f64,
    now: Millis,
) -> f64
where
    K: Copy + Eq + Hash,
{
    let settings = &router.settings;
    let slots = f64::from(view.report.slots.max(1));
    let outstanding = view.outstanding(mean, settings.load_memory, now);
    let wait = (outstanding - slots + 1.0).max(0.0) * view.service_ms / slots;
    let pending = match query.class {
        Class::Interactive => {
            view.pending_interactive as f64 + view.pending_long as f64 * LONG_PREFILL_WEIGHT
        }
        Class::Long => (view.pending_interactive + view.pending_long) as f64,
    };
    let matched = f64::from(router.matches.blocks(index)) * f64::from(BLOCK_TOKENS);
    let uncached = (f64::from(query.prompt_tokens) - matched).max(0.0);
    wait + outstanding.min(slots) * BATCHING_MS + (pending + uncached) * settings.prefill_ms
}

/// Picks among the endpoints that are near-equal to the one with the best score.
///
/// A cold prefix goes to the endpoint selected by a hash of its first unknown block, so that all
/// nodes place it at the same endpoint. Any other request goes to the better of two endpoints drawn
/// at random, so that nodes with the same stale reports spread their requests.
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
    let near = NEAR_MS.max(best.0.abs() * NEAR_RATIO);
    if cold >= MIN_COLD_BLOCKS {
        let prefill = cold as f64 * f64::from(BLOCK_TOKENS) * router.settings.prefill_ms;
        let limit = best.0 + near.max(prefill * COLD_WAIT_RATIO);
        if let Some(placed) = place_cold(router, query.blocks[depth], limit, now, candidates) {
            return Some(placed);
        }
    }
    let near: Vec<_> = scores.iter().filter(|s| s.0 <= best.0 + near).collect();
    let first = near[router.rng.random_range(0..near.len())];
    let second = near[router.rng.random_range(0..near.len())];
    Some(if first.0 <= second.0 { *first } else { *second })
}

/// Returns the most preferred endpoint of a cold prefix whose score is at most `limit` and whose
/// load is at most slightly above the mean.
fn place_cold<K>(
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
    let load = |index: usize| {
        let view = router.views[index].as_ref();
        view.map_or(0.0, |v| v.outstanding(mean_remote_in_flight, memory, now))
    };
    let sampled = &candidates.scores[..candidates.sampled];
    let mean = sampled.iter().map(|s| load(s.1)).sum::<f64>() / sampled.len() as f64;
    let acceptable = |(score, index): &(f64, usize)| {
        *score <= limit && load(*index) <= mean * COLD_LOAD_RATIO + 1.0
    };
    let scores = candidates.scores.iter().copied();
    match candidates.preferred {
        Some(first) => scores.skip(first).find(acceptable),
        None => scores
            .filter(acceptable)
            .max_by_key(|(_, index)| mix(block, endpoint_id(router, *index))),
    }
}

/// Returns the id of an endpoint, which is the same at all nodes.
pub(super) fn endpoint_id<K>(router: &Router<K>, index: usize) -> u64 {
    router.views[index].as_ref().map_or(0, |view| view.id)
}
