use std::hash::Hash;

use rand::Rng;

use crate::clock::Millis;

use super::expected::id;
use super::ring::mix;
use super::{Policy, Query, Router};

/// Chooses by a baseline policy; returns the load as the score, the slot and how many endpoints
/// were compared.
pub(super) fn choose<K>(
    router: &mut Router<K>,
    policy: Policy,
    query: &Query<'_, K>,
    now: Millis,
) -> Option<(f64, usize, usize)>
where
    K: Copy + Eq + Hash,
{
    let mean = router.totals.mean_remote_in_flight();
    let memory = router.settings.load_memory;
    let candidates: Vec<(f64, usize)> = router
        .open()
        .filter(|(_, view)| !query.exclude.contains(&view.key))
        .map(|(slot, view)| (view.outstanding(mean, memory, now), slot))
        .collect();
    let compared = candidates.len();
    let chosen = match policy {
        Policy::RoundRobin => {
            router.turn = router.turn.wrapping_add(1);
            candidates
                .get(router.turn % candidates.len().max(1))
                .copied()
        }
        Policy::ConsistentHash if !query.blocks.is_empty() => candidates
            .into_iter()
            .max_by_key(|(_, slot)| mix(query.blocks[0], id(router, *slot))),
        Policy::LeastOutstanding => candidates.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)),
        Policy::ConsistentHash | Policy::Expected => {
            let index = router.rng.random_range(0..candidates.len().max(1));
            candidates.get(index).copied()
        }
    };
    chosen.map(|(load, slot)| (load, slot, compared))
}
