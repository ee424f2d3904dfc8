use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Time for which a caller may cache an address response.
pub const TTL: Millis = Millis(2_000);

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 4;

/// A node that may be in an address response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the node.
    pub name: Arc<str>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Relative share of the callers that it can serve, from 0 (overloaded) to 255.
    pub weight: u8,
}

/// Ranks candidates by weighted rendezvous hashing on `key`, and returns the best ones.
///
/// The key is a hash of the caller's session, so that the same node comes first in the responses of
/// all nodes, or a random number, so that callers are distributed by weight. The best candidate of
/// each failure domain comes before the second best of any domain, so that a caller whose first
/// address fails continues in another domain. Candidates with weight 0 come last, whatever their
/// domain.
#[must_use]
pub fn rank(mut candidates: Vec<Candidate>, key: u64) -> Vec<Candidate> {
    candidates.sort_by(|a, b| {
        let score = |c: &Candidate| score(c, key);
        score(b)
            .total_cmp(&score(a))
            .then_with(|| a.name.cmp(&b.name))
    });
    let mut ranked: Vec<(bool, usize, Candidate)> = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let better = ranked
            .iter()
            .filter(|(_, _, c)| c.domain == candidate.domain);
        let domain_rank = better.count();
        ranked.push((candidate.weight == 0, domain_rank, candidate));
    }
    ranked.sort_by_key(|(overloaded, domain_rank, _)| (*overloaded, *domain_rank));
    ranked.truncate(MAX_ADDRESSES);
    ranked.into_iter().map(|(_, _, c)| c).collect()
}

/// Returns the weighted rendezvous score of a candidate.
///
/// The candidate with the greatest score comes first; the probability of having it is proportional
/// to the weight.
#[allow(clippy::cast_precision_loss, reason = "53 bits of the hash are enough")]
fn score(candidate: &Candidate, key: u64) -> f64 {
    let hash = xxh3_64_with_seed(candidate.name.as_bytes(), key);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(candidate.weight) / -uniform.ln()
}
