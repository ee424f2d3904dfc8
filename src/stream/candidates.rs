use std::collections::HashMap;
use std::sync::Arc;

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Replica;

/// Returns the nodes that may store the backup copy of a response, the preferred one first.
///
/// The order is a rendezvous hash of the request id, so that every node that knows the same nodes
/// computes the same order. Nodes in `domain`, the owner's failure domain, are excluded.
#[must_use]
pub fn backup_candidates(id: Uuid, domain: &str, nodes: &[Replica]) -> Vec<Replica> {
    let others = nodes.iter().filter(|node| &*node.domain != domain);
    rank(id, others.cloned().collect())
}

/// Returns the nodes to query for a request whose owner is unknown: the first `count` candidates
/// of each failure domain.
///
/// The backup copy is on one of them unless many nodes have joined or left.
#[must_use]
pub fn lookup_candidates(id: Uuid, count: usize, nodes: &[Replica]) -> Vec<Replica> {
    let mut selected: HashMap<Arc<str>, usize> = HashMap::new();
    let mut all = rank(id, nodes.to_vec());
    all.retain(|node| {
        let selected = selected.entry(Arc::clone(&node.domain)).or_default();
        *selected += 1;
        *selected <= count
    });
    all
}

fn rank(id: Uuid, mut nodes: Vec<Replica>) -> Vec<Replica> {
    let (high, low) = id.as_u64_pair();
    let seed = high ^ low.rotate_left(32);
    nodes.sort_by_cached_key(|node| {
        std::cmp::Reverse(xxh3_64_with_seed(node.name.as_bytes(), seed))
    });
    nodes
}
