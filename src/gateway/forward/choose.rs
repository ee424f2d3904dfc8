use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::capacity::{Conditions, Estimate, Targets};
use crate::gateway::endpoint::Key;
use crate::gateway::rollout::Versions;
use crate::gateway::{Endpoint, Fleet, Pacing, Prompt};

use super::shortlist::Shortlist;

/// Share of the uncached shared tokens that is counted at the home endpoint of a prefix: the other
/// nodes send the prefix there as well, so that it is likely cached although this node has not sent
/// it.
const HOME_UNCACHED_SHARE: f64 = 0.3;

/// Gain, as a share of the latency target, up to which a prompt stays at the home of its prefix. The homes
/// are spread by speed; without it, small gains would draw all requests to the fastest endpoints.
const HOME_SHARE: f64 = 0.1;

/// Number of endpoints up to which all are compared.
const MAX_COMPARED: usize = 8;

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
    /// Endpoints that the request was sent to already.
    pub tried: &'a [Arc<str>],
    /// Maximum number of requests that this node may have in flight at one endpoint.
    pub max_connections: u32,
    /// This node's turns at cold endpoints.
    pub pacing: Pacing,
    /// What the callers of the route need.
    pub targets: Targets,
    /// A random number, by which the nodes compare different endpoints.
    pub draw: u64,
}

/// The endpoint chosen for a request, with the estimates behind the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub key: Key,
    /// Expected time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Expected longest pause between two events, in milliseconds; 0 for plain requests.
    pub expected_gap_ms: f64,
    /// Whether the expected times keep the targets of the route.
    pub keeps_targets: bool,
    /// Prompt tokens that the endpoint has to prefill.
    pub uncached_tokens: u64,
    /// Prompt tokens in the segment that no other request shares.
    pub unique_tokens: u64,
    /// The turn that the request takes at a cold endpoint, by its beginning on the wall clock.
    pub turn: Option<Millis>,
    /// What the request meets at the endpoint.
    pub met: Conditions,
}

/// Returns the endpoint with the lowest expected cost, or `None` if no endpoint accepts the
/// request.
///
/// Requests with the same shared prefix have a home endpoint, the same at nodes with the same speeds,
/// whose cache holds the prefix. They go elsewhere when queueing at the home endpoint costs more than
/// prefilling the prefix again, or lets the caller miss the targets.
///
/// All endpoints are compared if there are few or if the nodes know of each other's requests;
/// otherwise those of a `Shortlist`, more of them if the first ones would miss the targets.
#[must_use]
pub fn choose(fleet: &Fleet, query: &Query<'_>, now: Millis) -> Option<Choice> {
    let candidates = candidates(fleet, query);
    let shortlist = shortlist(&candidates, query, now);
    let home = shortlist.home();
    if fleet.inflight_announced || candidates.len() <= MAX_COMPARED {
        return least(fleet, &candidates, query, home, now, |_| true);
    }
    let is_first = |key| shortlist.is_first(key);
    let first = least(fleet, &candidates, query, home, now, is_first);
    if first.is_some_and(|choice| choice.keeps_targets) {
        return first;
    }
    let is_listed = |key| shortlist.contains(key);
    least(fleet, &candidates, query, home, now, is_listed)
}

/// Returns the endpoint with the lowest expected cost among those that are `compared`.
fn least<F>(
    fleet: &Fleet,
    candidates: &[(Key, &Endpoint)],
    query: &Query<'_>,
    home: Option<Key>,
    now: Millis,
    compared: F,
) -> Option<Choice>
where
    F: Fn(Key) -> bool,
{
    let mut best: Option<(f64, Choice)> = None;
    for (key, endpoint) in candidates {
        if !compared(*key) || !accepts(endpoint, query, now) {
            continue;
        }
        let choice = estimate(fleet, *key, endpoint, query, home == Some(*key), now);
        let mut cost = cost_ms(fleet, &choice, query) + penalty_ms(endpoint, query, now);
        if home.is_some_and(|home| home != *key) {
            cost += HOME_SHARE * query.targets.latency.as_f64();
        }
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns the endpoints to compare, among those that accept the request.
fn shortlist(candidates: &[(Key, &Endpoint)], query: &Query<'_>, now: Millis) -> Shortlist {
    let affinity_key = query.prompt.and_then(Prompt::affinity_key);
    let mut shortlist = Shortlist::new(affinity_key, query.draw);
    for (key, endpoint) in candidates {
        if accepts(endpoint, query, now) {
            shortlist.add(*key, endpoint);
        }
    }
    shortlist
}

/// Returns whether an endpoint may get the request at present.
fn accepts(endpoint: &Endpoint, query: &Query<'_>, now: Millis) -> bool {
    let tried = query.tried.contains(&endpoint.registration.identity.id);
    let full = endpoint.inflight >= query.max_connections;
    let declining = endpoint.is_declining(now) || !query.pacing.admits(endpoint, now);
    !(tried || full || declining || endpoint.health.is_blocked(now, endpoint.inflight))
}

/// Returns the endpoints of the versions that may get the request.
fn candidates<'a>(fleet: &'a Fleet, query: &Query<'a>) -> Vec<(Key, &'a Endpoint)> {
    let ready = fleet.ready(query.service);
    let admitted = ready.filter(|(_, e)| query.versions.admits(&e.registration.version));
    let mut candidates: Vec<_> = admitted.collect();
    if let Versions::Sample(_, endpoints) = query.versions {
        candidates.sort_unstable_by_key(|(_, endpoint)| &endpoint.registration.identity);
        candidates.truncate(*endpoints);
    }
    candidates
}

fn estimate(
    fleet: &Fleet,
    key: Key,
    endpoint: &Endpoint,
    query: &Query<'_>,
    home: bool,
    now: Millis,
) -> Choice {
    let profile = fleet.profiles.get(query.service);
    let (uncached, unique) = query
        .prompt
        .map_or((0, 0), |prompt| tokens(endpoint, prompt, home));
    let met = endpoint.conditions(profile, uncached, now);
    let expected = match query.prompt {
        Some(_) => Estimate::of_stream(profile, met),
        None => Estimate::of_response(profile, met, endpoint.registration.slots),
    };
    let targets = query.targets;
    Choice {
        key,
        first_event_ms: expected.first_event_ms,
        expected_gap_ms: expected.gap_ms,
        keeps_targets: targets.are_kept(expected.first_event_ms, expected.gap_ms),
        uncached_tokens: uncached,
        unique_tokens: unique,
        turn: query.pacing.turn(endpoint, now),
        met,
    }
}

/// Returns the prompt tokens that the endpoint has to prefill, and how many of them no other request
/// shares.
fn tokens(endpoint: &Endpoint, prompt: &Prompt, home: bool) -> (u64, u64) {
    let unique = prompt.unique_tokens();
    let mut uncached = endpoint.uncached_tokens(prompt);
    if home {
        let shared = uncached.saturating_sub(unique);
        uncached -= shared - (shared as f64 * HOME_UNCACHED_SHARE) as u64;
    }
    (uncached, unique)
}

/// Returns what a choice costs its caller and the others, in milliseconds: its wait for others, the work
/// that it causes, and what is lost by missed targets.
///
/// The wait counts beyond what an endpoint usually has, and the work as at one of usual speed, so that
/// requests do not leave the homes that slow endpoints have in proportion to their speed.
fn cost_ms(fleet: &Fleet, choice: &Choice, query: &Query<'_>) -> f64 {
    let expected = Estimate {
        first_event_ms: choice.first_event_ms,
        gap_ms: choice.expected_gap_ms,
    };
    let loss_ms = expected.loss_ms(query.targets);
    if query.prompt.is_none() {
        return choice.first_event_ms + loss_ms;
    }
    let profile = fleet.profiles.get(query.service);
    let ahead = Conditions {
        tokens: choice.met.tokens.saturating_sub(choice.uncached_tokens),
        outstanding: choice.met.outstanding - profile.usual_outstanding(),
        ..choice.met
    };
    profile.first_event_ms(ahead) + profile.prefill_ms(choice.uncached_tokens) + loss_ms
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
