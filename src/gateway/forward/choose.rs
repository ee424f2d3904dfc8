use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::gateway::endpoint::Key;
use crate::gateway::rollout::Versions;
use crate::gateway::{Endpoint, Fleet, Pacing, Prompt};
use crate::rollout::endpoints_in_use;

/// Share of the uncached shared tokens that is counted at the home endpoint of a prefix: the other
/// nodes send the prefix there as well, so that it is likely cached although this node has not sent
/// it.
const HOME_UNCACHED_SHARE: f64 = 0.3;

/// Delay that each running request adds to the others, in milliseconds.
const RUNNING_REQUEST_DELAY_MS: f64 = 1.5;

/// Time that a request loses when its endpoint fails, in milliseconds; weighted by the endpoint's
/// failure ratio.
const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// Added network delay of an endpoint in another failure domain, in milliseconds.
const CROSS_DOMAIN_PENALTY_MS: f64 = 2.0;

/// What the choice of an endpoint for a request depends on.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// Failure domain of this node.
    pub domain: &'a str,
    /// Prompt, on requests to model engines.
    pub prompt: Option<&'a Prompt>,
    /// Versions whose endpoints may get the request.
    pub versions: &'a Versions,
    /// Share of a service's endpoints of one version among which [`Versions::Sample`] chooses.
    pub sample_share: f64,
    /// Endpoints that the request was sent to already.
    pub tried: &'a [Arc<str>],
    /// Maximum number of requests that this node may have in flight at one endpoint.
    pub max_connections: u32,
    /// This node's turns at cold endpoints.
    pub pacing: Pacing,
}

/// The endpoint chosen for a request, with the estimates behind the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub key: Key,
    /// Expected time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Prompt tokens that the endpoint has to prefill.
    pub uncached_tokens: u64,
    /// Prompt tokens in the segment that no other request shares.
    pub unique_tokens: u64,
    /// The turn that the request takes at a cold endpoint.
    pub turn: Option<u64>,
}

/// Returns the endpoint with the lowest expected cost, or `None` if no endpoint accepts the
/// request.
///
/// Requests with the same shared prefix have a home endpoint, the same on all nodes, whose cache
/// holds the prefix. They go elsewhere when queueing at the home endpoint costs more than
/// prefilling the prefix again.
#[must_use]
pub fn choose(fleet: &Fleet, query: &Query<'_>, now: Millis) -> Option<Choice> {
    let candidates = candidates(fleet, query);
    let home = query
        .prompt
        .and_then(Prompt::affinity_key)
        .and_then(|affinity_key| home_endpoint(&candidates, affinity_key));
    let mut best: Option<(f64, Choice)> = None;
    for (key, endpoint) in candidates {
        let tried = query.tried.contains(&endpoint.registration.identity.id);
        let full = endpoint.inflight >= query.max_connections;
        let declining = endpoint.is_declining(now) || !query.pacing.admits(endpoint, now);
        if tried || full || declining || endpoint.health.is_blocked(now, endpoint.inflight) {
            continue;
        }
        let choice = estimate(key, endpoint, query, home == Some(key), now);
        let cost = choice.first_event_ms + penalty_ms(endpoint, query, now);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns the endpoints of the versions that may get the request.
fn candidates<'a>(fleet: &'a Fleet, query: &Query<'a>) -> Vec<(Key, &'a Endpoint)> {
    let ready = fleet.ready(query.service);
    let admitted = ready.filter(|(_, e)| query.versions.admits(&e.registration.version));
    let mut candidates: Vec<_> = admitted.collect();
    if matches!(query.versions, Versions::Sample(_)) {
        candidates.sort_unstable_by_key(|(_, endpoint)| &endpoint.registration.identity);
        candidates.truncate(endpoints_in_use(query.sample_share, candidates.len()));
    }
    candidates
}

fn estimate(key: Key, endpoint: &Endpoint, query: &Query<'_>, home: bool, now: Millis) -> Choice {
    let Some(prompt) = query.prompt else {
        return Choice {
            key,
            first_event_ms: endpoint.expected_response_ms(now),
            uncached_tokens: 0,
            unique_tokens: 0,
            turn: query.pacing.turn(endpoint, now),
        };
    };
    let unique = prompt.unique_tokens();
    let mut uncached = endpoint.uncached_tokens(prompt);
    if home {
        let shared = uncached.saturating_sub(unique);
        uncached -= shared - (shared as f64 * HOME_UNCACHED_SHARE) as u64;
    }
    let pending = endpoint.total_pending_tokens();
    Choice {
        key,
        first_event_ms: endpoint.prefill_ms(pending + uncached)
            + f64::from(endpoint.outstanding_requests(now)) * RUNNING_REQUEST_DELAY_MS,
        uncached_tokens: uncached,
        unique_tokens: unique,
        turn: query.pacing.turn(endpoint, now),
    }
}

/// Returns the cost of an endpoint beyond its expected time to the first event, in milliseconds:
/// for another failure domain, for recent failures, for its pace, and for a cold start.
fn penalty_ms(endpoint: &Endpoint, query: &Query<'_>, now: Millis) -> f64 {
    let far = f64::from(u8::from(&*endpoint.registration.domain != query.domain))
        * CROSS_DOMAIN_PENALTY_MS;
    let failing = endpoint.health.failure_ratio(now) * FAILURE_PENALTY_MS;
    let ramp = query.pacing.ramp_penalty_ms(endpoint, now);
    far + failing + ramp + endpoint.cold_left(now).as_f64() * 0.1
}

/// Returns the home endpoint of a prefix by rendezvous hashing: when the fleet changes, only the
/// prefixes of the endpoints that joined or left move.
fn home_endpoint(candidates: &[(Key, &Endpoint)], affinity_key: u64) -> Option<Key> {
    candidates
        .iter()
        .max_by_key(|(_, endpoint)| {
            xxh3_64_with_seed(endpoint.registration.identity.id.as_bytes(), affinity_key)
        })
        .map(|(key, _)| *key)
}
