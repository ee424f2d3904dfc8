use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use rand::Rng;
use slog::info;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::Error;
use crate::verdict::Verdict;

use super::call::Call;
use super::choose::{Query, choose};
use super::endpoint::Key;
use super::node::Active;
use super::relay::{Opened, Relay};
use super::ticket::{Served, Ticket};
use super::upstream::Line;
use super::{Body, Node, Onward, Reason, Refusal, Repeat, Reply};

/// Time by which an answer is given before the caller's patience ends, for its way back.
const WAY_BACK: Millis = Millis(10);

/// Shortest time in which an endpoint can answer; with less left nothing is sent.
const LEAST_TIME: Millis = Millis(15);

/// Largest response that is read as a whole before it is passed on.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;

/// Longest time that an idempotent plain request waits at one endpoint, as a part of the time left.
const PLAIN_PATIENCE: f64 = 0.5;

/// Age at which an unused connection carries no request that must not run twice: the endpoint may
/// close it while the request is on its way.
const FRESH_CONNECTION: Millis = Millis(800);

/// As [`FRESH_CONNECTION`], for requests that may run more than once.
const USABLE_CONNECTION: Millis = Millis(3_000);

/// Time after which a caller comes back when no endpoint takes requests.
const NO_ENDPOINT_DELAY: Millis = Millis(400);

/// Part of the time left within which a first event must be expected for a request to be sent.
const ADMITTED_PART: f64 = 0.9;

/// Part of the connections that endpoints accept that this gateway uses.
const CONNECTION_PART: f64 = 0.8;

/// What became of one send.
enum Attempt {
    /// The response for the caller.
    Done(Response<Body>),
    /// There is no response for the caller yet.
    Failed(Failure),
}

/// Why a send gave no response.
pub(super) struct Failure {
    pub(super) verdict: Verdict,
    pub(super) why: String,
    /// The endpoint's failure, when it answered with one.
    pub(super) response: Option<Response<Bytes>>,
    /// Whether the endpoint got the request.
    pub(super) arrived: bool,
}

impl Failure {
    pub(super) fn new<M>(verdict: Verdict, why: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            verdict,
            why: why.into(),
            response: None,
            arrived: true,
        }
    }

    fn unsent(why: &str) -> Self {
        Self {
            arrived: false,
            ..Self::new(Verdict::NotRun, why)
        }
    }
}

/// The head of a response, and the connection on which the rest arrives.
pub(super) struct Received {
    pub(super) ticket: Ticket,
    pub(super) response: Response<Incoming>,
    pub(super) line: Line,
}

/// The endpoints that a request was sent to.
#[derive(Default)]
pub(super) struct Tries {
    pub(super) endpoints: Vec<Arc<str>>,
    /// Sends that arrived or may have arrived.
    pub(super) arrived: u32,
    pub(super) verdict: Option<Verdict>,
    pub(super) why: String,
    pub(super) response: Option<Response<Bytes>>,
    pub(super) retry_after: Option<Millis>,
}

/// Serves a request of a caller.
pub(super) async fn serve(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = node.clock.now();
    let served = Served::new(&node);
    let mut response = match admit(&node, request, arrived, served).await {
        Ok(call) => answer(&node, Arc::new(call)).await,
        Err(refusal) => refusal.response(),
    };
    if node.leaving.is_cancelled() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn admit(
    node: &Arc<Node>,
    request: Request<Incoming>,
    arrived: Millis,
    served: Served,
) -> Result<Call, Refusal> {
    let (head, body) = request.into_parts();
    let ask = node.dialect.ask(&head.headers);
    let result = admit_parts(node, &ask, &head, body, arrived).await;
    let (active, route, service, account, body) = result.inspect_err(|refusal| {
        refused(node, ask.id.as_deref(), *refusal, arrived);
    })?;
    let patience = ask.patience.unwrap_or(route.timeout);
    let limit = arrived
        + route
            .timeout
            .min(Millis(patience.0.saturating_sub(WAY_BACK.0)));
    Ok(Call {
        ask,
        route,
        service,
        account,
        method: head.method,
        target: head.uri,
        headers: head.headers,
        body,
        arrived,
        limit,
        config: active.config.version,
        _served: served,
    })
}

type Admitted = (
    Arc<Active>,
    Arc<super::Route>,
    Arc<str>,
    Option<Arc<super::Account>>,
    Bytes,
);

async fn admit_parts(
    node: &Arc<Node>,
    ask: &super::Ask,
    head: &hyper::http::request::Parts,
    body: Incoming,
    arrived: Millis,
) -> Result<Admitted, Refusal> {
    let no_config = Refusal::new(Reason::NoConfig).with_retry_after(NO_ENDPOINT_DELAY);
    let read = |active: &Active| active.config.limits.body_bytes;
    let active = node.active.load_full().ok_or(no_config)?;
    let route = route_of(&active, head)?;
    let account = account_of(&active, &route, ask)?;
    let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    if node.requests.load(Ordering::Relaxed) > node.settings.max_requests {
        return Err(Refusal::new(Reason::Overload).with_retry_after(NO_ENDPOINT_DELAY));
    }
    let body = read_body(body, read(&active), patience).await?;
    // The body may have taken long: what is in force now decides.
    let active = node.active.load_full().ok_or(no_config)?;
    let route = route_of(&active, head)?;
    let account = account_of(&active, &route, ask)?.or(account.filter(|_| route.anonymous));
    take_quota(node, account.as_ref(), ask, arrived)?;
    let service = route
        .service(rand::rng().random())
        .cloned()
        .ok_or(Refusal::new(Reason::NoEndpoint))?;
    Ok((active, route, service, account, body))
}

fn route_of(
    active: &Active,
    head: &hyper::http::request::Parts,
) -> Result<Arc<super::Route>, Refusal> {
    let named = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = head.uri.host().or(named).unwrap_or_default();
    let route = active.config.route(host, head.uri.path());
    route.cloned().ok_or(Refusal::new(Reason::NoRoute))
}

fn account_of(
    active: &Active,
    route: &super::Route,
    ask: &super::Ask,
) -> Result<Option<Arc<super::Account>>, Refusal> {
    if route.anonymous || !active.config.has_accounts() {
        return Ok(None);
    }
    let account = ask.key.as_ref().and_then(|key| active.config.account(key));
    account
        .cloned()
        .map(Some)
        .ok_or(Refusal::new(Reason::UnknownKey))
}

async fn read_body(body: Incoming, limit: usize, patience: Millis) -> Result<Bytes, Refusal> {
    match timeout(patience.into(), Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::new(Reason::TooLarge)),
        Ok(Err(_)) => Err(Refusal::new(Reason::Malformed)),
        Err(_) => Err(Refusal::new(Reason::SlowCaller)),
    }
}

fn take_quota(
    node: &Arc<Node>,
    account: Option<&Arc<super::Account>>,
    ask: &super::Ask,
    now: Millis,
) -> Result<(), Refusal> {
    let Some((account, quota)) = account.and_then(|a| Some((a, a.quota.as_ref()?))) else {
        return Ok(());
    };
    let cost = quota.cost(ask.prompt.as_ref().map(super::Prompt::tokens));
    let state = &mut *node.state();
    let silence = Node::silence(state, now);
    state
        .quotas
        .take(&account.name, quota, cost, silence, now)
        .map_err(|delay| Refusal::new(Reason::Quota).with_retry_after(delay))
}

/// Answers an admitted request.
async fn answer(node: &Arc<Node>, call: Arc<Call>) -> Response<Body> {
    let now = node.clock.now();
    node.state()
        .budgets
        .entry(Arc::clone(&call.service))
        .or_default()
        .request(now);
    let mut tries = Tries::default();
    loop {
        let Some(ticket) = next_ticket(node, &call, &mut tries) else {
            return give_up(node, &call, tries);
        };
        tries.endpoints.push(Arc::clone(&ticket.endpoint));
        match send(node, &call, ticket, call.ask.resume_after, &tries).await {
            Attempt::Done(response) => return response,
            Attempt::Failed(failure) => tries.failed(failure),
        }
        if !tries.may_go_on(call.route.repeat) {
            return give_up(node, &call, tries);
        }
    }
}

impl Tries {
    pub(super) fn failed(&mut self, failure: Failure) {
        self.arrived += u32::from(failure.arrived);
        self.verdict = Some(match self.verdict {
            Some(verdict) => verdict.max(failure.verdict),
            None => failure.verdict,
        });
        self.why = failure.why;
        if failure.response.is_some() {
            self.response = failure.response;
        }
    }

    fn may_go_on(&self, repeat: Repeat) -> bool {
        repeat != Repeat::Never || self.verdict == Some(Verdict::NotRun)
    }
}

/// Takes a place for the next send, if the request may be sent and an endpoint can answer in time.
pub(super) fn next_ticket(node: &Arc<Node>, call: &Call, tries: &mut Tries) -> Option<Ticket> {
    let now = node.clock.now();
    let left = call.left(now);
    if left < LEAST_TIME {
        return None;
    }
    if tries.arrived >= call.route.max_attempts {
        return None;
    }
    if tries.arrived > 0 {
        let state = &mut *node.state();
        let (nodes, _) = state.roster.serving(now);
        let budget = state.budgets.entry(Arc::clone(&call.service)).or_default();
        if !budget.resend(&node.settings.resends, nodes, now) {
            "resend budget spent".clone_into(&mut tries.why);
            return None;
        }
    }
    let choice = {
        let state = node.state();
        let query = Query {
            service: &call.service,
            domain: &node.settings.domain,
            prompt: call.ask.prompt.as_ref(),
            tried: &tries.endpoints,
            connections: connections(node, call, state.roster.serving(now).0),
        };
        choose(&state.fleet, &query, now)
    };
    let choice = choice.or_else(|| {
        "no endpoint takes requests".clone_into(&mut tries.why);
        tries.retry_after = Some(NO_ENDPOINT_DELAY);
        None
    })?;
    let bound = left.as_f64() * ADMITTED_PART;
    if choice.first_event > bound {
        tries.why = format!("first event expected after {:.0} ms", choice.first_event);
        tries.retry_after = Some(Millis((choice.first_event - bound) as u64 + 100));
        return None;
    }
    Ticket::take(node, &choice)
}

/// Returns the most requests of this node at one endpoint.
fn connections(node: &Node, call: &Call, nodes: usize) -> u32 {
    let active = node.active.load();
    let most = active
        .as_ref()
        .and_then(|active| active.config.service(&call.service))
        .map_or(u32::MAX, |service| service.max_connections);
    ((f64::from(most) * CONNECTION_PART / nodes.max(1) as f64) as u32).max(2)
}

/// Sends a request to an endpoint and reads its answer, or the first event of a stream.
async fn send(
    node: &Arc<Node>,
    call: &Arc<Call>,
    ticket: Ticket,
    resume_after: Option<u64>,
    tries: &Tries,
) -> Attempt {
    let mut received = match dispatch(node, call, ticket, resume_after).await {
        Ok(received) => received,
        Err(failure) => return Attempt::Failed(failure),
    };
    if call.route.streaming && received.response.status().is_success() {
        let relay = Relay::new(node, call, received, resume_after, tries);
        return match relay.open().await {
            Opened::Stream(response) => Attempt::Done(response),
            Opened::Failed(failure) => Attempt::Failed(failure),
        };
    }
    received.ticket.first_event();
    whole(node, call, received, tries).await
}

/// Sends a request to an endpoint and waits for the head of its response.
pub(super) async fn dispatch(
    node: &Arc<Node>,
    call: &Call,
    ticket: Ticket,
    resume_after: Option<u64>,
) -> Result<Received, Failure> {
    let left = call.left(node.clock.now());
    let Some((address, idle)) = target(node, call, ticket.key) else {
        return Err(Failure::unsent("the endpoint is gone"));
    };
    let onward = Onward {
        patience: left,
        endpoint: Arc::clone(&ticket.endpoint),
        account: call.account.as_ref().map(|a| Arc::clone(&a.name)),
        resume_after,
        rank: call.ask.prompt.as_ref().map(|_| call.rank()),
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
    let reply = node.dialect.reply(response.headers());
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

fn target(node: &Node, call: &Call, key: Key) -> Option<(std::net::SocketAddr, Millis)> {
    let idle = match call.route.repeat {
        Repeat::Never => FRESH_CONNECTION,
        Repeat::Idempotent | Repeat::Resume => USABLE_CONNECTION,
    };
    let state = node.state();
    Some((state.fleet.get(key)?.listing.address, idle))
}

fn onward_request(node: &Node, call: &Call, onward: &Onward) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call
        .target
        .path_and_query()
        .map_or_else(|| hyper::Uri::from_static("/"), |path| path.clone().into());
    *request.headers_mut() = node.dialect.onward(&call.headers, onward);
    request
}

/// Returns how long a request waits for the head of a response.
fn patience(call: &Call, left: Millis) -> Millis {
    if call.route.repeat == Repeat::Idempotent && call.route.max_attempts > 1 {
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
fn unusable(call: &Call, reply: &Reply, response: &Response<Incoming>) -> Option<Failure> {
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

/// Reads a whole response and passes it on.
async fn whole(node: &Arc<Node>, call: &Arc<Call>, received: Received, tries: &Tries) -> Attempt {
    let Received {
        ticket,
        response,
        line,
    } = received;
    let (head, body) = response.into_parts();
    let left = call.left(node.clock.now());
    let reading = timeout(left.into(), Limited::new(body, MAX_WHOLE_BYTES).collect());
    let body = match reading.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            ticket.unanswered();
            let why = format!("response broken off: {error}");
            return Attempt::Failed(Failure::new(Verdict::MayHaveRun, why));
        }
        Err(_) => {
            let why = "response not complete in time";
            return Attempt::Failed(Failure::new(Verdict::MayHaveRun, why));
        }
    };
    node.upstream.keep(line);
    ticket.served();
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = node.dialect.back(&head.headers);
    if head.status.is_server_error() && call.route.repeat != Repeat::Never {
        return Attempt::Failed(Failure {
            verdict: Verdict::Ran,
            why: format!("the endpoint failed with {}", head.status),
            response: Some(response),
            arrived: true,
        });
    }
    node.began(call.account.as_ref());
    finished(node, call, head.status.as_u16(), "answered", tries);
    Attempt::Done(response.map(full))
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Answers a request that got no response to pass on.
fn give_up(node: &Arc<Node>, call: &Call, mut tries: Tries) -> Response<Body> {
    if let Some(response) = tries.response.take() {
        node.began(call.account.as_ref());
        finished(node, call, response.status().as_u16(), "failed", &tries);
        return response.map(full);
    }
    let now = node.clock.now();
    let expired = call.left(now) < LEAST_TIME;
    let ran = tries.verdict.unwrap_or(Verdict::NotRun) != Verdict::NotRun;
    let reason = match (ran, expired) {
        (true, true) => Reason::Timeout,
        (true, false) => Reason::Lost,
        (false, true) => Reason::Expired,
        (false, false) if tries.arrived > 0 => Reason::Declined,
        (false, false) if tries.retry_after == Some(NO_ENDPOINT_DELAY) => Reason::NoEndpoint,
        (false, false) => Reason::Overload,
    };
    let mut refusal = Refusal::new(reason);
    if !ran {
        refusal = refusal.with_retry_after(tries.retry_after.unwrap_or(NO_ENDPOINT_DELAY));
    }
    finished(
        node,
        call,
        reason.status().as_u16(),
        reason.as_str(),
        &tries,
    );
    refusal.response()
}

/// Writes the line of a request that was refused before it was admitted.
fn refused(node: &Node, id: Option<&str>, refusal: Refusal, arrived: Millis) {
    let reason = refusal.reason.as_str();
    metrics::counter!("almondpath_requests_total", "outcome" => reason).increment(1);
    info!(node.log, "request"; "id" => id.unwrap_or("-"), "outcome" => reason,
        "status" => refusal.reason.status().as_u16(),
        "retry_after_ms" => refusal.retry_after.map(|delay| delay.0),
        "config" => node.active.load().as_ref().map(|active| active.config.version),
        "ms" => (node.clock.now() - arrived).0);
}

/// Writes the line of a request that was answered.
pub(super) fn finished(
    node: &Node,
    call: &Call,
    status: u16,
    outcome: &'static str,
    tries: &Tries,
) {
    let took = node.clock.now() - call.arrived;
    metrics::counter!("almondpath_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("almondpath_request_ms").record(took.as_f64());
    info!(node.log, "request"; "id" => call.id(), "outcome" => outcome, "status" => status,
        "route" => &*call.route.name, "service" => &*call.service,
        "endpoints" => tries.endpoints.join(","), "why" => &tries.why,
        "config" => call.config, "ms" => took.0);
}
