use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::gateway::endpoint::Key;
use crate::gateway::{Endpoint, Fleet, Prompt};

/// Part of the shared tokens that is counted for the home of a subject when this node has not seen
/// it there: other nodes send the subject there as well.
const HOME_UNCACHED: f64 = 0.3;

/// Time by which one running request delays the others, in milliseconds.
const REQUEST_DELAY: f64 = 1.5;

/// Time that a request loses when its endpoint fails, in milliseconds.
const FAILURE_DELAY: f64 = 2_000.0;

/// Delay of an endpoint in another failure domain, in milliseconds.
const DOMAIN_DELAY: f64 = 2.0;

/// A request that has to be placed.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// Failure domain of this node.
    pub domain: &'a str,
    /// Present on requests to model engines.
    pub prompt: Option<&'a Prompt>,
    /// Endpoints that had the request already.
    pub tried: &'a [Arc<str>],
    /// Most connections to an endpoint.
    pub max_connections: u32,
}

/// Where a request is best placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub key: Key,
    /// Time in milliseconds after which the first event is expected.
    pub first_event_ms: f64,
    /// Prompt tokens that the endpoint has to read.
    pub uncached_tokens: u64,
    /// Those of them that no other request shares.
    pub unique_tokens: u64,
}

/// Returns the endpoint that is expected to answer first, if any takes requests.
///
/// Requests of one subject have a home, the same on all nodes, where the shared parts are kept. They
/// leave it when waiting there costs more than reading the parts again elsewhere.
#[must_use]
pub fn choose(fleet: &Fleet, query: &Query<'_>, now: Millis) -> Option<Choice> {
    let home = query
        .prompt
        .and_then(Prompt::affinity_key)
        .and_then(|subject| home(fleet, query.service, subject));
    let mut best: Option<(f64, Choice)> = None;
    for (key, endpoint) in fleet.ready(query.service) {
        let tried = query.tried.contains(&endpoint.registration.identity.id);
        let full = endpoint.inflight >= query.max_connections;
        if tried || full || endpoint.health.is_blocked(now, endpoint.inflight) {
            continue;
        }
        let choice = expect(key, endpoint, query, home == Some(key), now);
        let cost = choice.first_event_ms + penalty(endpoint, query, now);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

fn expect(key: Key, endpoint: &Endpoint, query: &Query<'_>, home: bool, now: Millis) -> Choice {
    let Some(prompt) = query.prompt else {
        return Choice {
            key,
            first_event_ms: endpoint.expected_response_ms(now),
            uncached_tokens: 0,
            unique_tokens: 0,
        };
    };
    let own = prompt.unique_tokens();
    let mut uncached = endpoint.uncached_tokens(prompt);
    if home {
        let shared = uncached.saturating_sub(own);
        uncached -= shared - (shared as f64 * HOME_UNCACHED) as u64;
    }
    let waiting = endpoint.total_pending_tokens();
    Choice {
        key,
        first_event_ms: endpoint.prefill_ms(waiting + uncached)
            + f64::from(endpoint.outstanding_requests(now)) * REQUEST_DELAY,
        uncached_tokens: uncached,
        unique_tokens: own,
    }
}

/// Returns what speaks against an endpoint beside the time until it answers, in milliseconds.
fn penalty(endpoint: &Endpoint, query: &Query<'_>, now: Millis) -> f64 {
    let far = f64::from(u8::from(&*endpoint.registration.domain != query.domain)) * DOMAIN_DELAY;
    let failing = endpoint.health.failure_ratio(now) * FAILURE_DELAY;
    let cold =
        (endpoint.registration.cold.as_f64() - (now - endpoint.lifecycle_since).as_f64()).max(0.0);
    far + failing + cold * 0.1
}

/// Returns the home of a subject: the endpoint with the highest score, so that a change of the
/// fleet moves only the subjects of the endpoints that came or went.
fn home(fleet: &Fleet, service: &str, subject: u64) -> Option<Key> {
    fleet
        .ready(service)
        .max_by_key(|(_, endpoint)| {
            xxh3_64_with_seed(endpoint.registration.identity.id.as_bytes(), subject)
        })
        .map(|(key, _)| key)
}
