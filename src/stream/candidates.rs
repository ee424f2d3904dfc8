use std::collections::HashMap;
use std::sync::Arc;

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Replica;

/// Returns the nodes that may hold the backup copy of a request, the preferred one first.
///
/// The order is a rendezvous hash on the request id, so that every node that knows the same nodes
/// computes the same one. Nodes in `domain`, the owner's failure domain, are never among them.
#[must_use]
pub fn backup_candidates(id: Uuid, domain: &str, nodes: &[Replica]) -> Vec<Replica> {
    let others = nodes.iter().filter(|node| &*node.domain != domain);
    ranked(id, others.cloned().collect())
}

/// Returns the nodes to ask for a request whose owner is unknown: the first `count` candidates of
/// each failure domain. Its backup copy is on one of them unless the nodes have changed a lot.
#[must_use]
pub fn lookup_candidates(id: Uuid, count: usize, nodes: &[Replica]) -> Vec<Replica> {
    let mut taken: HashMap<Arc<str>, usize> = HashMap::new();
    let mut all = ranked(id, nodes.to_vec());
    all.retain(|node| {
        let taken = taken.entry(Arc::clone(&node.domain)).or_default();
        *taken += 1;
        *taken <= count
    });
    all
}

fn ranked(id: Uuid, mut nodes: Vec<Replica>) -> Vec<Replica> {
    let (high, low) = id.as_u64_pair();
    let seed = high ^ low.rotate_left(32);
    nodes.sort_by_cached_key(|node| {
        std::cmp::Reverse(xxh3_64_with_seed(node.name.as_bytes(), seed))
    });
    nodes
}
