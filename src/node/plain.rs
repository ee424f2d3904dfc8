//! Calls to plain services, with retries and hedging of idempotent ones.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::Either;
use hyper::Method;
use hyper::body::Incoming;
use warp::http::{HeaderValue, StatusCode};
use warp::reply::Response;

use crate::clock::Millis;
use crate::config::Class;
use crate::endpoint;
use crate::error::{Error, ErrorKind};
use crate::ledger::{Blob, Outcome};
use crate::retry::{Attempt, Decision};
use crate::rollout::{self, Timing};
use crate::verdict::Verdict;

use super::Node;
use super::calls;
use super::dispatch::{Criteria, Permit};
use super::request::Request;
use super::rollouts::{RETRY_DRAW, outcome, version_draw};

/// Maximum number of endpoints that an idempotent call is sent to before its failure is reported.
const MAX_ATTEMPTS: usize = 3;

/// The response of a plain service.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    status: u16,
    content_type: Option<Arc<str>>,
    body: Bytes,
    stored: bool,
}

impl Reply {
    /// Creates a response that an endpoint just sent.
    pub(super) fn new(status: u16, content_type: Option<Arc<str>>, body: Bytes) -> Self {
        Self {
            status,
            content_type,
            body,
            stored: false,
        }
    }

    /// Creates the stored response of an earlier attempt with the same key.
    pub(super) fn stored(status: u16, content_type: Option<Arc<str>>, body: Bytes) -> Self {
        Self {
            stored: true,
            ..Self::new(status, content_type, body)
        }
    }

    /// Returns the status and content type of an endpoint's response.
    pub(super) fn head(response: &hyper::Response<Incoming>) -> (u16, Option<Arc<str>>) {
        let content_type = response.headers().get("content-type");
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .map(Arc::from);
        (response.status().as_u16(), content_type)
    }

    /// Returns the evidence of a response, or of the lack of one, about the version of its
    /// endpoint.
    pub(super) fn rollout_outcome(
        result: &Result<Self, Error>,
        timing: &Timing,
    ) -> rollout::Outcome {
        match result {
            Ok(reply) if reply.status >= 500 => rollout::Outcome::Failed,
            result => outcome(timing, result.as_ref().err()),
        }
    }

    /// Returns the outcome to record in the log; it includes the body up to `limit` bytes.
    pub(super) fn outcome(&self, limit: usize) -> Outcome {
        let keep = self.body.len() <= limit;
        Outcome::Answered {
            status: self.status,
            content_type: self.content_type.clone(),
            body: keep.then(|| Blob(self.body.clone())),
        }
    }

    /// Builds the response to the caller.
    pub(super) fn response(self) -> Response {
        let mut response = Response::new(self.body.into());
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if let Some(content_type) = self.content_type
            && let Ok(content_type) = HeaderValue::from_str(&content_type)
        {
            headers.insert("content-type", content_type);
        }
        if self.stored {
            headers.insert("x-almondpath-stored", HeaderValue::from_static("true"));
        }
        if !status.is_success() {
            // What the service did before it returned an error is not known here.
            let verdict = HeaderValue::from_static("may_have_run");
            headers.insert("x-almondpath-verdict", verdict);
        }
        response
    }
}

/// Calls a plain service and returns its response to the caller.
pub(super) async fn call(
    node: &Arc<Node>,
    request: Request,
    mut permit: Permit,
) -> Result<Response, Error> {
    if !request.route.idempotent {
        return calls::call(node, request, permit).await;
    }
    let service = &request.route.service;
    let mut tried = Vec::new();
    let mut failure: Option<Error> = None;
    let mut next = node.choose_untried(service, &tried, version_draw(request.id.as_bytes()));
    while let Some((endpoint, _, address)) = next {
        if tried.is_empty() {
            node.record_first_attempt(&request.account, endpoint);
        }
        let remaining = request.deadline - node.clock.now();
        let last = tried.len() + 1 >= MAX_ATTEMPTS;
        let limit = if last {
            remaining
        } else {
            Millis(remaining.0 / 2)
        };
        let result =
            attempt_with_hedge(node, &request, (endpoint, address), limit, &mut tried).await;
        let error = match result {
            Ok(reply) => {
                permit.succeeded(0);
                return Ok(reply.response());
            }
            Err(error) => error,
        };
        failure = Some(combine(error, failure.as_ref()));
        let verdict = failure.as_ref().map_or(Verdict::NotRun, Error::verdict);
        let last = tried.len() >= MAX_ATTEMPTS;
        next = node
            .choose_untried(service, &tried, RETRY_DRAW)
            .filter(|_| !last);
        let Some((target, ..)) = &next else {
            break;
        };
        let decision = node.retry(&Attempt {
            account: &request.account,
            endpoint: *target,
            attempts: tried.len() as u32,
            idempotent: true,
            verdict,
            expected: Millis::ZERO,
            deadline: request.deadline,
        });
        let Decision::After(delay) = decision else {
            break;
        };
        tokio::time::sleep(delay.into()).await;
    }
    Err(failure
        .unwrap_or_else(|| Error::not_run(ErrorKind::Unavailable, "no endpoint is available")))
}

/// Raises the verdict of an error to that of an earlier error of the same call.
fn combine(error: Error, earlier: Option<&Error>) -> Error {
    let verdict = earlier.map_or(error.verdict(), Error::verdict);
    let verdict = error.verdict().combine(verdict);
    error.with_verdict(verdict)
}

/// Sends an idempotent call to an endpoint, and hedges it with a second one if the first is slow.
///
/// The first success wins, and the other attempt is cancelled. If both fail, the error has the
/// greater of the two verdicts.
async fn attempt_with_hedge(
    node: &Arc<Node>,
    request: &Request,
    (endpoint, address): (endpoint::Key, SocketAddr),
    limit: Millis,
    tried: &mut Vec<endpoint::Key>,
) -> Result<Reply, Error> {
    tried.push(endpoint);
    let route = &request.route;
    let slow_threshold = node.slow_threshold(&route.service, &route.name);
    let slow_threshold = slow_threshold.filter(|_| node.settings.hedge_calls && tried.len() == 1);
    let mut first = pin!(attempt(
        node,
        request,
        endpoint,
        address,
        limit,
        slow_threshold
    ));
    let Some(slow_threshold) = slow_threshold else {
        return first.await;
    };
    if let Ok(result) = tokio::time::timeout(slow_threshold.into(), &mut first).await {
        return result;
    }
    let Some((endpoint, address)) = hedge(node, request, tried, slow_threshold) else {
        return first.await;
    };
    tried.push(endpoint);
    metrics::counter!("almondpath_hedges_total").increment(1);
    let limit = request.deadline - node.clock.now();
    let second = pin!(attempt(
        node,
        request,
        endpoint,
        address,
        limit,
        Some(slow_threshold)
    ));
    match futures::future::select(first, second).await {
        Either::Left((result, second)) => first_success(result, second).await,
        Either::Right((result, first)) => {
            if succeeded(&result) {
                metrics::counter!("almondpath_hedges_won_total").increment(1);
            }
            first_success(result, first).await
        }
    }
}

/// Returns the result of the attempt that ended first if it succeeded; otherwise waits for the
/// other one and combines both.
async fn first_success<F>(result: Result<Reply, Error>, other: F) -> Result<Reply, Error>
where
    F: Future<Output = Result<Reply, Error>>,
{
    if succeeded(&result) {
        return result;
    }
    match (result, other.await) {
        (Err(first), Err(second)) => Err(combine(second, Some(&first))),
        // An error response is returned with "may have run", whatever the result of the other one.
        (Ok(reply), Err(_)) | (_, Ok(reply)) => Ok(reply),
    }
}

/// Returns whether an attempt got a response that is not a server error.
fn succeeded(result: &Result<Reply, Error>) -> bool {
    result.as_ref().is_ok_and(|reply| reply.status < 500)
}

/// Chooses the endpoint of a hedge, if the policy allows one.
fn hedge(
    node: &Node,
    request: &Request,
    tried: &[endpoint::Key],
    slow_threshold: Millis,
) -> Option<(endpoint::Key, SocketAddr)> {
    let service = &request.route.service;
    let (endpoint, _, address) = node.choose_untried(service, tried, RETRY_DRAW)?;
    let slow = Attempt {
        account: &request.account,
        endpoint,
        attempts: 1,
        idempotent: request.route.idempotent,
        verdict: Verdict::MayHaveRun,
        expected: slow_threshold,
        deadline: request.deadline,
    };
    // The first attempt has run for exactly this long.
    let allowed = node.hedge(service, &slow, slow_threshold, slow_threshold);
    allowed.then_some((endpoint, address))
}

/// An attempt that counts as in flight at its endpoint until it ends or is cancelled.
struct TrackedAttempt<'a> {
    node: &'a Node,
    request: &'a Request,
    endpoint: endpoint::Key,
    timing: Timing,
    started: Millis,
    _in_flight: InFlight<'a>,
    /// Time after which the attempt counts as slow, if known.
    slow_threshold: Option<Millis>,
    ended: bool,
}

impl TrackedAttempt<'_> {
    /// Records the result of the attempt.
    fn end(&mut self, result: &Result<Reply, Error>) {
        self.ended = true;
        self.timing.record_token(self.node.clock.now());
        let outcome = Reply::rollout_outcome(result, &self.timing);
        self.record_evidence(outcome, result.is_ok());
    }

    fn record_evidence(&self, outcome: rollout::Outcome, sampled: bool) {
        let route = &self.request.route;
        self.node
            .record_evidence(self.endpoint, &route.name, outcome);
        if sampled {
            let took = self.node.clock.now() - self.started;
            self.node.record_latency(&route.service, &route.name, took);
        }
    }
}

impl Drop for TrackedAttempt<'_> {
    /// Records the run time of an attempt that was cancelled when it was already slow, so that
    /// hedges hide neither a slow version from its rollout nor slow responses from the delay of
    /// later hedges.
    fn drop(&mut self) {
        let ran = self.node.clock.now() - self.started;
        if !self.ended
            && self
                .slow_threshold
                .is_some_and(|slow_threshold| ran >= slow_threshold)
        {
            self.timing.record_token(self.node.clock.now());
            self.record_evidence(self.timing.answered(), true);
        }
    }
}

/// Sends an idempotent call to one endpoint and records the result.
async fn attempt(
    node: &Node,
    request: &Request,
    endpoint: endpoint::Key,
    address: SocketAddr,
    limit: Millis,
    slow_threshold: Option<Millis>,
) -> Result<Reply, Error> {
    let started = node.clock.now();
    let mut tracked = TrackedAttempt {
        node,
        request,
        endpoint,
        timing: Timing::start(started),
        started,
        _in_flight: node.count_in_flight(endpoint),
        slow_threshold,
        ended: false,
    };
    let result = send(node, request, address, limit).await;
    tracked.end(&result);
    result
}

/// Sends an idempotent call once; the headers and the body each have to arrive within `limit`.
async fn send(
    node: &Node,
    request: &Request,
    address: SocketAddr,
    limit: Millis,
) -> Result<Reply, Error> {
    let path = format!("/call/{}", request.route.name);
    let body = request.body.clone();
    let mut call = node.http.request(Method::POST, address, &path, body)?;
    if let Some(key) = request.headers.get("idempotency-key") {
        call.headers_mut().insert("idempotency-key", key.clone());
    }
    let http = node.http.clone().with_timeout(limit);
    let response = http.send(call).await?;
    let (status, content_type) = Reply::head(&response);
    if matches!(status, 502..=504) {
        return Err(Error::may_have_run(
            ErrorKind::EndpointFailed,
            format!("{address} responded with {status}"),
        ));
    }
    let body = http.body(response).await?;
    Ok(Reply::new(status, content_type, body))
}

/// Counts an attempt as in flight at an endpoint until dropped.
pub(super) struct InFlight<'a> {
    node: &'a Node,
    endpoint: endpoint::Key,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.node.count_request(self.endpoint, false);
    }
}

impl Node {
    /// Counts an attempt as in flight at an endpoint until the returned guard is dropped.
    pub(super) fn count_in_flight(&self, endpoint: endpoint::Key) -> InFlight<'_> {
        self.count_request(endpoint, true);
        InFlight {
            node: self,
            endpoint,
        }
    }

    /// Chooses an endpoint of a plain service that was not tried yet; `draw` selects the version.
    pub(super) fn choose_untried(
        &self,
        service: &Arc<str>,
        tried: &[endpoint::Key],
        draw: f64,
    ) -> Option<(endpoint::Key, Arc<str>, SocketAddr)> {
        let chosen = self.choose(&Criteria {
            service,
            class: Class::Interactive,
            prompt: "",
            exclude: tried,
            draw,
        })?;
        Some((chosen.key, chosen.host, chosen.address))
    }
}
