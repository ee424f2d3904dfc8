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

use super::call::Call;
use super::choose::{Choice, Query, choose};
use super::failure::Failure;
use super::ticket::Ticket;
use super::tries::Tries;

/// Shortest time in which an endpoint can answer; with less left nothing is sent.
pub(super) const LEAST_TIME: Millis = Millis(15);

/// Time after which a caller comes back when no endpoint takes requests.
pub(super) const NO_ENDPOINT_DELAY: Millis = Millis(400);

/// Longest time that an idempotent plain request waits at one endpoint, as a part of the time left.
const PLAIN_PATIENCE: f64 = 0.5;

/// Age at which an unused connection carries no request that must not run twice: the endpoint may
/// close it while the request is on its way.
const FRESH_CONNECTION: Millis = Millis(800);

/// As [`FRESH_CONNECTION`], for requests that may run more than once.
const USABLE_CONNECTION: Millis = Millis(3_000);

/// Part of the time left within which a first event must be expected for a request to be sent.
const ADMITTED_PART: f64 = 0.9;

/// Part of the connections that endpoints accept that this gateway uses.
const CONNECTION_PART: f64 = 0.8;

/// The head of a response, and the connection on which the rest arrives.
pub(super) struct Received {
    pub(super) ticket: Ticket,
    pub(super) response: Response<Incoming>,
    pub(super) line: Connection,
}

/// Takes a place for the next send, if the request may be sent and an endpoint can answer in time.
pub(super) fn place(call: &Call) -> Option<Ticket> {
    let now = call.node.clock.now();
    let left = call.left(now);
    let tries = &mut *call.tries();
    if left < LEAST_TIME || tries.arrived >= call.route.max_attempts {
        return None;
    }
    if tries.arrived > 0 && !may_resend(call, now) {
        "resend budget spent".clone_into(&mut tries.why);
        return None;
    }
    let Some(choice) = chosen(call, tries, now) else {
        "no endpoint takes requests".clone_into(&mut tries.why);
        tries.retry_after = Some(NO_ENDPOINT_DELAY);
        return None;
    };
    let bound = left.as_f64() * ADMITTED_PART;
    if choice.first_event_ms > bound {
        tries.why = format!("first event expected after {:.0} ms", choice.first_event_ms);
        tries.retry_after = Some(Millis((choice.first_event_ms - bound) as u64 + 100));
        return None;
    }
    let ticket = Ticket::take(&call.node, &choice)?;
    tries.sent(&ticket.endpoint, choice);
    Some(ticket)
}

/// Returns whether the budget that all nodes share allows one more send, and counts it.
fn may_resend(call: &Call, now: Millis) -> bool {
    let state = &mut *call.node.state();
    let (nodes, _) = state.roster.count_serving(now);
    let budget = state.budgets.entry(Arc::clone(&call.service)).or_default();
    budget.try_retry(&call.node.settings.retry_limit, nodes, now)
}

fn chosen(call: &Call, tries: &Tries, now: Millis) -> Option<Choice> {
    let state = call.node.state();
    let query = Query {
        service: &call.service,
        domain: &call.node.settings.domain,
        prompt: call.ask.prompt.as_ref(),
        tried: &tries.endpoints,
        max_connections: connections(call, state.roster.count_serving(now).0),
    };
    choose(&state.fleet, &query, now)
}

/// Returns the most requests of this node at one endpoint.
fn connections(call: &Call, nodes: usize) -> u32 {
    let active = call.node.active.load();
    let most = active
        .as_ref()
        .and_then(|active| active.config.service(&call.service))
        .map_or(u32::MAX, |service| service.max_connections);
    ((f64::from(most) * CONNECTION_PART / nodes.max(1) as f64) as u32).max(2)
}

/// Sends a request to an endpoint and waits for the head of its response.
pub(super) async fn dispatch(
    call: &Call,
    ticket: Ticket,
    resume_after: Option<u64>,
) -> Result<Received, Failure> {
    let node = &call.node;
    let left = call.left(node.clock.now());
    let Some((address, idle)) = target(call, ticket.key) else {
        return Err(Failure::unsent("the endpoint is gone"));
    };
    let onward = ForwardMetadata {
        timeout: left,
        endpoint: Arc::clone(&ticket.endpoint),
        account: call.account.as_ref().map(|a| Arc::clone(&a.name)),
        resume_after,
        priority: call.ask.prompt.as_ref().map(|_| call.rank()),
    };
    let request = onward_request(node, call, &onward);
    let sending = node.upstream.send(ticket.key, address, idle, request);
    let (response, line) = tokio::select! {
        sent = sending => sent.map_err(|error| unreachable_endpoint(&ticket, &error))?,
        why = ticket.silent(call.repeatable(), patience(call, left)) => {
            ticket.unanswered();
            return Err(Failure::new(Verdict::MayHaveRun, why));
        }
    };
    let reply = node.dialect.parse_response(response.headers());
    if let Some(failure) = unusable(call, &reply, &response) {
        ticket.answered(true, reply.load);
        return Err(failure);
    }
    ticket.answered(response.status().is_server_error(), reply.load);
    Ok(Received {
        ticket,
        response,
        line,
    })
}

fn target(call: &Call, key: Key) -> Option<(std::net::SocketAddr, Millis)> {
    let idle = match call.route.retry_policy {
        RetryPolicy::Never => FRESH_CONNECTION,
        RetryPolicy::Idempotent | RetryPolicy::Resume => USABLE_CONNECTION,
    };
    let state = call.node.state();
    Some((state.fleet.get(key)?.registration.address, idle))
}

fn onward_request(node: &Node, call: &Call, onward: &ForwardMetadata) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call
        .target
        .path_and_query()
        .map_or_else(|| hyper::Uri::from_static("/"), |path| path.clone().into());
    *request.headers_mut() = node.dialect.forward_headers(&call.headers, onward);
    request
}

/// Returns how long a request waits for the head of a response.
fn patience(call: &Call, left: Millis) -> Millis {
    if call.route.retry_policy == RetryPolicy::Idempotent && call.route.max_attempts > 1 {
        return Millis((left.as_f64() * PLAIN_PATIENCE) as u64);
    }
    left
}

fn unreachable_endpoint(ticket: &Ticket, error: &Error) -> Failure {
    ticket.unanswered();
    let mut failure = Failure::new(error.verdict(), error.message());
    failure.arrived = error.verdict() != Verdict::NotRun;
    failure
}

/// Returns why a response is not this request's, or is no response to pass on.
fn unusable(
    call: &Call,
    reply: &ResponseMetadata,
    response: &Response<Incoming>,
) -> Option<Failure> {
    if reply.id.is_some() && reply.id != call.ask.id {
        return Some(Failure::new(
            Verdict::MayHaveRun,
            "response to another request",
        ));
    }
    if reply.not_executed || response.status() == StatusCode::MISDIRECTED_REQUEST {
        let why = format!("the endpoint declined with {}", response.status());
        return Some(Failure::new(Verdict::NotRun, why));
    }
    let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    if response.status().is_success() && (!reply.signed || reply.id.is_none() || encoded) {
        return Some(Failure::new(Verdict::MayHaveRun, "response of no endpoint"));
    }
    None
}
