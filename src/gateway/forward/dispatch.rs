use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use rand::Rng;
use tokio::time::sleep;

use crate::clock::Millis;
use crate::error::Error;
use crate::gateway::endpoint::Key;
use crate::gateway::rollout::{Sample, Work};
use crate::gateway::state::State;
use crate::gateway::upstream::Connection;
use crate::gateway::{ColdLimit, ForwardMetadata, Node, Pacing, ResponseMetadata, RetryPolicy};
use crate::verdict::Verdict;

use super::admit::LEAVING_RETRY_AFTER;
use super::attempts::Attempts;
use super::call::Call;
use super::choose::{Choice, Query, choose};
use super::failure::Failure;
use super::obstacle::Obstacle;
use super::replacement::replacement;
use super::reservation::Reservation;

/// Shortest time in which an endpoint can respond; with less time left, nothing is sent.
pub(super) const MIN_TIME_LEFT: Millis = Millis(15);

/// Share of the time left that an idempotent request waits for the response head of one endpoint while
/// another one may take it.
const HEAD_TIMEOUT_SHARE: f64 = 0.5;

/// Idle time from which a connection is not reused for a request that must not run twice: the
/// endpoint may close the connection while the request is in transit.
const MAX_IDLE_NON_RETRYABLE: Millis = Millis(800);

/// Idle time from which a connection is not reused for a request that may run more than once.
const MAX_IDLE_RETRYABLE: Millis = Millis(3_000);

/// Share of the time left within which the first event must be expected for a request to be sent.
const MAX_WAIT_SHARE: f64 = 0.9;

/// Share of the connections that an endpoint accepts which the gateway nodes use together.
const CONNECTION_SHARE: f64 = 0.8;

/// A response whose head arrived, with the connection that carries the body.
pub(super) struct Received {
    pub(super) reservation: Reservation,
    pub(super) response: Response<Incoming>,
    pub(super) connection: Connection,
}

/// Reserves an endpoint for the next attempt, if the request may be sent and an endpoint is
/// expected to respond in time; else records why not.
pub(super) fn reserve(call: &Call) -> Option<Reservation> {
    let obstacle = match try_reserve(call) {
        Ok(reservation) => return Some(reservation),
        Err(obstacle) => obstacle,
    };
    let attempts = &mut *call.attempts();
    if !obstacle.follows_from_attempts() {
        attempts.reason = obstacle.to_string();
    }
    attempts.without_endpoint = obstacle.is_without_endpoint();
    attempts.retry_after = obstacle.retry_after().or(attempts.retry_after);
    None
}

/// Reserves an endpoint for the next attempt, if the request may be sent and an endpoint is
/// expected to respond in time.
///
/// Without one, neither the attempts nor the retry budget change, so that a request may ask again.
///
/// # Errors
///
/// Returns what rules an attempt out.
pub(super) fn try_reserve(call: &Call) -> Result<Reservation, Obstacle> {
    let now = call.node.clock.now();
    let left = call.time_left(now);
    let attempts = &mut *call.attempts();
    if left < MIN_TIME_LEFT {
        return Err(Obstacle::Deadline);
    }
    let count = attempts.count(&call.node.state().fleet);
    if count >= call.route.max_attempts as usize {
        return Err(Obstacle::Attempts);
    }
    if !may_take(call, attempts, now) {
        return Err(Obstacle::Leaving(LEAVING_RETRY_AFTER));
    }
    if let Some(delay) = call.node.quarantined_for(call.metadata.prompt.as_ref()) {
        return Err(Obstacle::Quarantine(delay));
    }
    if call.is_suspected() {
        return Err(Obstacle::Suspect);
    }
    let choice = choose_in_time(call, attempts, now)?;
    // The budget comes last: what it grants counts as spent.
    if attempts.is_delivered() && !take_retry(call, now) {
        return Err(Obstacle::Budget);
    }
    let reservation = Reservation::acquire(&call.node, &choice, &call.route.name)
        .ok_or(Obstacle::NoEndpoint(None))?;
    attempts.record_sent(&reservation.endpoint, choice);
    Ok(reservation)
}

/// Returns whether a node that shuts down may still send the request. A stream that its caller
/// receives already is better resumed than cut.
fn may_take(call: &Call, attempts: &Attempts, now: Millis) -> bool {
    let departure = call.node.departure();
    let policy = call.route.retry_policy;
    attempts.first_event.is_some()
        || departure.is_none_or(|departure| departure.may_take(policy, call.deadline, now))
}

/// Chooses an endpoint that is expected to respond in time.
fn choose_in_time(call: &Call, attempts: &Attempts, now: Millis) -> Result<Choice, Obstacle> {
    let Some(choice) = choose_endpoint(call, attempts, now) else {
        return Err(no_endpoint(call, now));
    };
    let max_wait_ms = call.time_left(now).as_f64() * MAX_WAIT_SHARE;
    if choice.first_event_ms > max_wait_ms {
        let expected = Millis(choice.first_event_ms as u64);
        let excess = Millis((choice.first_event_ms - max_wait_ms) as u64);
        return Err(Obstacle::Late(expected, excess));
    }
    Ok(choice)
}

/// Returns why no endpoint may get the request at present.
fn no_endpoint(call: &Call, now: Millis) -> Obstacle {
    let state = call.node.state();
    if state.fleet.is_all_evacuated(&call.service) {
        return Obstacle::Evacuated;
    }
    Obstacle::NoEndpoint(state.fleet.declined_for(&call.service, now))
}

/// Takes one retry from the service's budget; returns whether there was one left.
fn take_retry(call: &Call, now: Millis) -> bool {
    let state = &mut *call.node.state();
    let (nodes, _) = state.roster.count_serving(now);
    let budget = state
        .retry_budgets
        .entry(Arc::clone(&call.service))
        .or_default();
    budget.try_retry(&call.node.settings.retry_limit, nodes, now)
}

fn choose_endpoint(call: &Call, attempts: &Attempts, now: Millis) -> Option<Choice> {
    let wall = call.node.wall_time();
    let state = &mut *call.node.state();
    let is_first = attempts.endpoints.is_empty();
    let (draw, seed) = rand::rng().random();
    let fleet = &state.fleet;
    let work = match call.metadata.prompt {
        Some(_) => Work::Prompts,
        None => Work::Plain,
    };
    let sample = |version: &str| Sample::of(fleet.count_of_version(&call.service, version), work);
    let preference = state
        .rollouts
        .preference(&call.service, is_first, draw, wall, sample);
    let state = &*state;
    let pacing = pacing(call, state, wall);
    let query = |versions| Query {
        service: &call.service,
        domain: &call.node.settings.domain,
        prompt: call.metadata.prompt.as_ref(),
        versions,
        tried: &attempts.endpoints,
        max_connections: connection_limit(call, state.roster.count_serving(now).0),
        pacing,
        targets: call.route.targets(),
        draw: seed,
    };
    let choose_among = |versions| choose(&state.fleet, &query(versions), now);
    let choice = choose_among(&preference.first);
    let choice = choice.or_else(|| choose_among(preference.fallback.as_ref()?));
    choice.or_else(|| {
        let mut ready = state.fleet.ready(&call.service);
        let is_left = ready.any(|(_, e)| preference.first.admits(&e.registration.version));
        let last_resort = preference.last_resort.as_ref().filter(|_| !is_left)?;
        choose_among(last_resort)
    })
}

/// Returns this node's turns at cold endpoints of the service.
fn pacing(call: &Call, state: &State, wall: Millis) -> Pacing {
    let settings = &call.node.settings;
    let active = call.node.active.load();
    let service = active
        .as_ref()
        .and_then(|active| active.config.service(&call.service));
    let limit = service.zip(settings.cold_tolerance);
    let limit = limit.and_then(|(service, tolerance)| ColdLimit::new(service.cold_rate, tolerance));
    Pacing {
        limit,
        place: state.place(settings),
        wall,
    }
}

/// Returns this node's share of the connections that an endpoint of the service accepts.
fn connection_limit(call: &Call, nodes: usize) -> u32 {
    let active = call.node.active.load();
    let max_connections = active
        .as_ref()
        .and_then(|active| active.config.service(&call.service))
        .map_or(u32::MAX, |service| service.max_connections);
    ((f64::from(max_connections) * CONNECTION_SHARE / nodes.max(1) as f64) as u32).max(2)
}

/// Sends a request to an endpoint and waits for the head of its response.
pub(super) async fn dispatch(
    call: &Call,
    mut reservation: Reservation,
    resume_after: Option<u64>,
) -> Result<Received, Failure> {
    let node = &call.node;
    let left = call.time_left(node.clock.now());
    let Some((address, max_idle)) = connection_target(call, reservation.key) else {
        return Err(Failure::new(
            Verdict::NotRun,
            "the endpoint was removed before sending",
        ));
    };
    call.attempts().record_delivered(reservation.key);
    let metadata = ForwardMetadata {
        timeout: left,
        endpoint: Arc::clone(&reservation.endpoint),
        account: call.account.as_ref().map(|a| Arc::clone(&a.name)),
        resume_after,
        priority: call.metadata.prompt.as_ref().map(|_| call.priority()),
    };
    let request = forwarded_request(node, call, &metadata);
    let key = reservation.key;
    let may_send = || node.state().fleet.accepts_requests(key);
    let sending = node
        .upstream
        .send(key, address, max_idle, request, may_send);
    let due = head_due(call, left);
    let sent = tokio::select! {
        sent = sending => Some(sent),
        () = sleep(left.into()) => None,
        replacement = replacement(call, &mut reservation, due),
            if call.is_retryable() =>
        {
            reservation.record_no_response();
            return Err(Failure::replaced(replacement));
        }
    };
    let Some(sent) = sent else {
        reservation.record_no_response();
        let reason = format!("no response within {left}");
        return Err(Failure::new(Verdict::MayHaveRun, reason));
    };
    let (response, connection) =
        sent.map_err(|error| connection_failure(call, &mut reservation, &error))?;
    let metadata = node.dialect.parse_response(response.headers());
    // A misdirected request was answered by another endpoint than the chosen one.
    if metadata.leaving && response.status() != StatusCode::MISDIRECTED_REQUEST {
        reservation.record_leaving();
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && let Some(delay) = metadata.retry_after
    {
        reservation.record_retry_after(delay);
    }
    if let Some(failure) = reject(call, &metadata, &response, connection.is_reused()) {
        reservation.record_head(true, metadata.load);
        if failure.verdict == Verdict::NotRun {
            reservation.record_declined();
        } else {
            reservation.record_failed();
        }
        return Err(failure);
    }
    let failed = response.status().is_server_error();
    reservation.record_head(failed, metadata.load);
    if failed {
        reservation.record_failed();
    }
    Ok(Received {
        reservation,
        response,
        connection,
    })
}

/// Returns the address of an endpoint, and the idle time from which its connections are not reused.
fn connection_target(call: &Call, key: Key) -> Option<(std::net::SocketAddr, Millis)> {
    let max_idle = match call.route.retry_policy {
        RetryPolicy::Never => MAX_IDLE_NON_RETRYABLE,
        RetryPolicy::Idempotent | RetryPolicy::Resume => MAX_IDLE_RETRYABLE,
    };
    let state = call.node.state();
    Some((state.fleet.get(key)?.registration.address, max_idle))
}

fn forwarded_request(node: &Node, call: &Call, metadata: &ForwardMetadata) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call
        .uri
        .path_and_query()
        .map_or_else(|| hyper::Uri::from_static("/"), |path| path.clone().into());
    *request.headers_mut() = node.dialect.forward_headers(&call.headers, metadata);
    request
}

/// Returns when the head of a response is due, after which the request may move to another endpoint.
fn head_due(call: &Call, left: Millis) -> Millis {
    if call.route.retry_policy == RetryPolicy::Idempotent {
        return call.node.clock.now() + Millis((left.as_f64() * HEAD_TIMEOUT_SHARE) as u64);
    }
    call.deadline
}

/// Converts the error of a request that got no response head.
fn connection_failure(call: &Call, reservation: &mut Reservation, error: &Error) -> Failure {
    if error.verdict() == Verdict::NotRun {
        call.attempts().record_not_delivered(reservation.key);
    }
    let is_leaving = !call.node.state().fleet.accepts_requests(reservation.key);
    if is_leaving && error.verdict() == Verdict::NotRun {
        // That an endpoint which leaves got no request is not a failure of its version.
        reservation.record_declined();
        return Failure::new(Verdict::NotRun, error.message());
    }
    if error.verdict() != Verdict::NotRun {
        call.record_crash(reservation);
    }
    reservation.record_no_response();
    Failure::new(error.verdict(), error.message())
}

/// Returns whether callers take a status as a guarantee that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the failure if a response must not be sent to the caller: it belongs to another request,
/// states that the request did not run, or does not come from an endpoint.
fn reject(
    call: &Call,
    metadata: &ResponseMetadata,
    response: &Response<Incoming>,
    reused: bool,
) -> Option<Failure> {
    if metadata.id.is_some() && metadata.id != call.metadata.id {
        return Some(Failure::new(
            Verdict::MayHaveRun,
            "the response belongs to another request",
        ));
    }
    // Without an id, a response on a reused connection may repeat an earlier one.
    let is_own = metadata.id.is_some() || !reused;
    let states_not_run =
        metadata.not_executed || response.status() == StatusCode::MISDIRECTED_REQUEST;
    if (states_not_run && !is_own) || (promises_not_run(response.status()) && !states_not_run) {
        let reason = format!(
            "the endpoint responded with {}, but may have run",
            response.status()
        );
        return Some(Failure::new(Verdict::MayHaveRun, reason));
    }
    if states_not_run {
        let reason = format!("the endpoint declined with {}", response.status());
        return Some(Failure::new(Verdict::NotRun, reason));
    }
    let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    if response.status().is_success() && (!metadata.signed || metadata.id.is_none() || encoded) {
        return Some(Failure::new(
            Verdict::MayHaveRun,
            "the response lacks the endpoint's signature or the attempt id, or is encoded",
        ));
    }
    None
}
