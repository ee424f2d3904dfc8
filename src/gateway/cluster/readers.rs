use std::collections::HashSet;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of readers, so that one of them may fail.
const MIN_READERS: usize = 2;

/// Number of nodes that one reader can serve with updates.
const NODES_PER_READER: usize = 40;

/// A node that may read the store on behalf of the others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) node: &'a Arc<str>,
    pub(super) domain: &'a Arc<str>,
    /// Whether the node can read the store.
    pub(super) store_available: bool,
}

/// Returns the nodes that read the store, from different failure domains as far as possible.
///
/// Nodes that cannot read the store are not chosen, unless none of the candidates can.
pub(super) fn choose(candidates: Vec<Candidate<'_>>) -> Vec<Arc<str>> {
    let wanted = candidates.len().div_ceil(NODES_PER_READER).max(MIN_READERS);
    let any_available = candidates.iter().any(|c| c.store_available);
    let eligible = candidates
        .into_iter()
        .filter(|c| c.store_available || !any_available);
    let mut nodes: Vec<_> = eligible.collect();
    nodes.sort_by_cached_key(|candidate| rank(candidate.node));
    let mut domains = HashSet::new();
    let (mut readers, others): (Vec<_>, Vec<_>) = nodes
        .into_iter()
        .partition(|candidate| domains.insert(candidate.domain));
    readers.extend(others);
    readers.truncate(wanted);
    readers.into_iter().map(|c| Arc::clone(c.node)).collect()
}

/// Returns the rank of a node as a reader. It depends only on the name, so that all nodes agree.
pub(super) fn rank(node: &str) -> u64 {
    xxh3_64(node.as_bytes())
}
