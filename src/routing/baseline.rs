use std::hash::Hash;

use rand::Rng;

use crate::clock::Millis;

use super::expected::endpoint_id;
use super::ring::mix;
use super::{Policy, Query, Router};

/// Chooses an endpoint by a baseline policy.
///
/// Returns the endpoint's load as the score, its index and the number of endpoints compared.
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
        .map(|(index, view)| (view.outstanding(mean, memory, now), index))
        .collect();
    let compared = candidates.len();
    let chosen = match policy {
        Policy::RoundRobin => {
            router.round_robin = router.round_robin.wrapping_add(1);
            candidates
                .get(router.round_robin % candidates.len().max(1))
                .copied()
        }
        Policy::ConsistentHash if !query.blocks.is_empty() => candidates
            .into_iter()
            .max_by_key(|(_, index)| mix(query.blocks[0], endpoint_id(router, *index))),
        Policy::LeastOutstanding => candidates.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)),
        Policy::ConsistentHash | Policy::Expected => {
            let drawn = router.rng.random_range(0..candidates.len().max(1));
            candidates.get(drawn).copied()
        }
    };
    chosen.map(|(load, index)| (load, index, compared))
}
