use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Time for which a caller may keep an address response.
pub const TTL: Millis = Millis(2_000);

/// Most addresses in a response.
const LIMIT: usize = 4;

/// A node that a caller could use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the node.
    pub name: Arc<str>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Share of callers that it can take, from 0 (overloaded) to 255.
    pub weight: u8,
}

/// Ranks candidates by weighted rendezvous hashing on `key`, and returns the best ones.
///
/// The key is the caller's session, so that the same node comes first at every node that is asked,
/// or a random number, so that callers spread by weight. The best candidate of each failure domain
/// comes before the second best of any: a caller whose first address fails goes on in another
/// domain. A candidate without weight comes last, whatever its domain.
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
        let before = ranked
            .iter()
            .filter(|(_, _, c)| c.domain == candidate.domain);
        let place = before.count();
        ranked.push((candidate.weight == 0, place, candidate));
    }
    ranked.sort_by_key(|(overloaded, place, _)| (*overloaded, *place));
    ranked.truncate(LIMIT);
    ranked.into_iter().map(|(_, _, c)| c).collect()
}

/// Returns the weighted rendezvous score: the candidate with the greatest one comes first, with a
/// probability in proportion to its weight.
#[allow(clippy::cast_precision_loss, reason = "53 bits of the hash are enough")]
fn score(candidate: &Candidate, key: u64) -> f64 {
    let hash = xxh3_64_with_seed(candidate.name.as_bytes(), key);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(candidate.weight) / -uniform.ln()
}
