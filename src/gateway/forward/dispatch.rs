use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};

use crate::clock::Millis;
use crate::error::Error;
use crate::gateway::endpoint::Key;
use crate::gateway::upstream::Connection;
use crate::gateway::{ForwardMetadata, Node, ResponseMetadata, RetryPolicy};
use crate::verdict::Verdict;

use super::attempts::Attempts;
use super::call::Call;
use super::choose::{Choice, Query, choose};
use super::failure::Failure;
use super::reservation::Reservation;

/// Shortest time in which an endpoint can answer; with less left nothing is sent.
pub(super) const MIN_TIME_LEFT: Millis = Millis(15);

/// Time after which a caller comes back when no endpoint takes requests.
pub(super) const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(400);

/// Longest time that an idempotent plain request waits at one endpoint, as a part of the time left.
const HEAD_TIMEOUT_SHARE: f64 = 0.5;

/// Age at which an unused connection carries no request that must not run twice: the endpoint may
/// close it while the request is on its way.
const MAX_IDLE_NON_RETRYABLE: Millis = Millis(800);

/// As [`MAX_IDLE_NON_RETRYABLE`], for requests that may run more than once.
const MAX_IDLE_RETRYABLE: Millis = Millis(3_000);

/// Part of the time left within which a first event must be expected for a request to be sent.
const MAX_WAIT_SHARE: f64 = 0.9;

/// Part of the connections that endpoints accept that this gateway uses.
const CONNECTION_SHARE: f64 = 0.8;

/// The head of a response, and the connection on which the rest arrives.
pub(super) struct Received {
    pub(super) reservation: Reservation,
    pub(super) response: Response<Incoming>,
    pub(super) connection: Connection,
}

/// Takes a place for the next send, if the request may be sent and an endpoint can answer in time.
pub(super) fn reserve(call: &Call) -> Option<Reservation> {
    let now = call.node.clock.now();
    let left = call.time_left(now);
    let attempts = &mut *call.attempts();
    if left < MIN_TIME_LEFT || attempts.delivered >= call.route.max_attempts {
        return None;
    }
    if attempts.delivered > 0 && !may_spend_retry(call, now) {
        "resend budget spent".clone_into(&mut attempts.reason);
        return None;
    }
    let Some(choice) = choose_endpoint(call, attempts, now) else {
        "no endpoint takes requests".clone_into(&mut attempts.reason);
        attempts.retry_after = Some(NO_ENDPOINT_RETRY_AFTER);
        return None;
    };
    let bound = left.as_f64() * MAX_WAIT_SHARE;
    if choice.first_event_ms > bound {
        attempts.reason = format!("first event expected after {:.0} ms", choice.first_event_ms);
        attempts.retry_after = Some(Millis((choice.first_event_ms - bound) as u64 + 100));
        return None;
    }
    let reservation = Reservation::acquire(&call.node, &choice)?;
    attempts.record_sent(&reservation.endpoint, choice);
    Some(reservation)
}

/// Returns whether the budget that all nodes share allows one more send, and counts it.
fn may_spend_retry(call: &Call, now: Millis) -> bool {
    let state = &mut *call.node.state();
    let (nodes, _) = state.roster.serving(now);
    let budget = state.budgets.entry(Arc::clone(&call.service)).or_default();
    budget.try_retry(&call.node.settings.retry_limit, nodes, now)
}

fn choose_endpoint(call: &Call, attempts: &Attempts, now: Millis) -> Option<Choice> {
    let state = call.node.state();
    let query = Query {
        service: &call.service,
        domain: &call.node.settings.domain,
        prompt: call.metadata.prompt.as_ref(),
        tried: &attempts.endpoints,
        max_connections: connection_limit(call, state.roster.serving(now).0),
    };
    choose(&state.fleet, &query, now)
}

/// Returns the most requests of this node at one endpoint.
fn connection_limit(call: &Call, nodes: usize) -> u32 {
    let active = call.node.active.load();
    let most = active
        .as_ref()
        .and_then(|active| active.config.service(&call.service))
        .map_or(u32::MAX, |service| service.max_connections);
    ((f64::from(most) * CONNECTION_SHARE / nodes.max(1) as f64) as u32).max(2)
}

/// Sends a request to an endpoint and waits for the head of its response.
pub(super) async fn dispatch(
    call: &Call,
    reservation: Reservation,
    resume_after: Option<u64>,
) -> Result<Received, Failure> {
    let node = &call.node;
    let left = call.time_left(node.clock.now());
    let Some((address, idle)) = address(call, reservation.key) else {
        return Err(Failure::not_sent("the endpoint is gone"));
    };
    let onward = ForwardMetadata {
        timeout: left,
        endpoint: Arc::clone(&reservation.endpoint),
        account: call.account.as_ref().map(|a| Arc::clone(&a.name)),
        resume_after,
        priority: call.metadata.prompt.as_ref().map(|_| call.priority()),
    };
    let request = forwarded_request(node, call, &onward);
    let sending = node.upstream.send(reservation.key, address, idle, request);
    let (response, connection) = tokio::select! {
        sent = sending => sent.map_err(|error| connection_failure(&reservation, &error))?,
        reason = reservation.until_unresponsive(call.is_retryable(), head_timeout(call, left)) => {
            reservation.record_no_response();
            return Err(Failure::new(Verdict::MayHaveRun, reason));
        }
    };
    let reply = node.dialect.parse_response(response.headers());
    if let Some(failure) = unusable(call, &reply, &response) {
        reservation.record_head(true, reply.load);
        return Err(failure);
    }
    reservation.record_head(response.status().is_server_error(), reply.load);
    Ok(Received {
        reservation,
        response,
        connection,
    })
}

fn address(call: &Call, key: Key) -> Option<(std::net::SocketAddr, Millis)> {
    let idle = match call.route.retry_policy {
        RetryPolicy::Never => MAX_IDLE_NON_RETRYABLE,
        RetryPolicy::Idempotent | RetryPolicy::Resume => MAX_IDLE_RETRYABLE,
    };
    let state = call.node.state();
    Some((state.fleet.get(key)?.listing.address, idle))
}

fn forwarded_request(node: &Node, call: &Call, onward: &ForwardMetadata) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call
        .uri
        .path_and_query()
        .map_or_else(|| hyper::Uri::from_static("/"), |path| path.clone().into());
    *request.headers_mut() = node.dialect.forward_headers(&call.headers, onward);
    request
}

/// Returns how long a request waits for the head of a response.
fn head_timeout(call: &Call, left: Millis) -> Millis {
    if call.route.retry_policy == RetryPolicy::Idempotent && call.route.max_attempts > 1 {
        return Millis((left.as_f64() * HEAD_TIMEOUT_SHARE) as u64);
    }
    left
}

fn connection_failure(reservation: &Reservation, error: &Error) -> Failure {
    reservation.record_no_response();
    let mut failure = Failure::new(error.verdict(), error.message());
    failure.delivered = error.verdict() != Verdict::NotRun;
    failure
}

/// Returns why a response is not this request's, or is no response to pass on.
fn unusable(
    call: &Call,
    reply: &ResponseMetadata,
    response: &Response<Incoming>,
) -> Option<Failure> {
    if reply.id.is_some() && reply.id != call.metadata.id {
        return Some(Failure::new(
            Verdict::MayHaveRun,
            "response to another request",
        ));
    }
    if reply.not_executed || response.status() == StatusCode::MISDIRECTED_REQUEST {
        let reason = format!("the endpoint declined with {}", response.status());
        return Some(Failure::new(Verdict::NotRun, reason));
    }
    let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    if response.status().is_success() && (!reply.signed || reply.id.is_none() || encoded) {
        return Some(Failure::new(Verdict::MayHaveRun, "response of no endpoint"));
    }
    None
}
