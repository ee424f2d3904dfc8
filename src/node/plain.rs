//! Calls of plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
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
use crate::rollout;

use super::Node;
use super::calls;
use super::dispatch::{Permit, Target};
use super::request::Request;
use super::rollouts::{RETRY, Timing, draw};

/// Endpoints that an idempotent call is sent to before its failure is reported.
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
    pub(super) fn new(status: u16, content_type: Option<Arc<str>>, body: Bytes) -> Self {
        Self {
            status,
            content_type,
            body,
            stored: false,
        }
    }

    /// A response of an earlier attempt with the same key.
    pub(super) fn stored(status: u16, content_type: Option<Arc<str>>, body: Bytes) -> Self {
        Self {
            stored: true,
            ..Self::new(status, content_type, body)
        }
    }

    /// Returns status and content type of an endpoint's response.
    pub(super) fn head(response: &hyper::Response<Incoming>) -> (u16, Option<Arc<str>>) {
        let kind = response.headers().get("content-type");
        let kind = kind.and_then(|value| value.to_str().ok()).map(Arc::from);
        (response.status().as_u16(), kind)
    }

    /// Returns what the response, or the lack of one, says about the version of its endpoint.
    pub(super) fn evidence(result: &Result<Self, Error>, timing: &Timing) -> rollout::Outcome {
        match result {
            Ok(reply) if reply.status >= 500 => rollout::Outcome::Failed,
            result => timing.outcome(result.as_ref().err()),
        }
    }

    /// Returns what the log keeps of the response.
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
        if let Some(kind) = self.content_type
            && let Ok(kind) = HeaderValue::from_str(&kind)
        {
            headers.insert("content-type", kind);
        }
        if self.stored {
            headers.insert("x-almondpath-stored", HeaderValue::from_static("true"));
        }
        if !status.is_success() {
            // What the service did before it answered with an error is not known here.
            let verdict = HeaderValue::from_static("may_have_run");
            headers.insert("x-almondpath-verdict", verdict);
        }
        response
    }
}

/// Calls a plain service and passes its response through.
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
    let mut next = node.choose_other(service, &tried, draw(request.id.as_bytes()));
    while let Some((endpoint, _, address)) = next {
        tried.push(endpoint);
        if tried.len() == 1 {
            node.first_attempt(&request.account, endpoint);
        }
        let left = request.deadline - node.clock.now();
        let last = tried.len() == MAX_ATTEMPTS;
        let limit = if last { left } else { Millis(left.0 / 2) };
        let error = match attempt(node, &request, endpoint, address, limit).await {
            Ok(reply) => {
                permit.succeeded(0);
                return Ok(reply.response());
            }
            Err(error) => error,
        };
        let earlier = failure.map_or(error.verdict(), |failure| failure.verdict());
        let verdict = error.verdict().combine(earlier);
        failure = Some(error.with_verdict(verdict));
        next = node.choose_other(service, &tried, RETRY).filter(|_| !last);
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

/// Sends an idempotent call to one endpoint and records what became of it.
async fn attempt(
    node: &Node,
    request: &Request,
    endpoint: endpoint::Key,
    address: SocketAddr,
    limit: Millis,
) -> Result<Reply, Error> {
    node.count(endpoint, true);
    let mut timing = Timing::start(node.clock.now());
    let result = send(node, request, address, limit).await;
    timing.token(node.clock.now());
    node.count(endpoint, false);
    let evidence = Reply::evidence(&result, &timing);
    node.observe(endpoint, &request.route.name, evidence);
    result
}

/// Sends an idempotent call once; headers and body have to arrive within `limit` each.
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
    let (status, kind) = Reply::head(&response);
    if matches!(status, 502..=504) {
        return Err(Error::may_have_run(
            ErrorKind::EndpointFailed,
            format!("{address} answered {status}"),
        ));
    }
    let body = http.body(response).await?;
    Ok(Reply::new(status, kind, body))
}

impl Node {
    /// Chooses an endpoint of a plain service among those not tried yet; `draw` chooses the version.
    pub(super) fn choose_other(
        &self,
        service: &Arc<str>,
        tried: &[endpoint::Key],
        draw: f64,
    ) -> Option<(endpoint::Key, Arc<str>, SocketAddr)> {
        let chosen = self.choose(&Target {
            service,
            class: Class::Interactive,
            prompt: "",
            exclude: tried,
            draw,
        })?;
        Some((chosen.key, chosen.host, chosen.address))
    }
}
