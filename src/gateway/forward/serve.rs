use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, header};

use crate::gateway::{Body, Node, Reason, Refusal};

use super::admit::admit;
use super::buffered::relay_buffered;
use super::call::Call;
use super::dispatch::{MIN_TIME_LEFT, dispatch, reserve};
use super::failure::Failure;
use super::obstacle::NO_ENDPOINT_RETRY_AFTER;
use super::relay::{Opened, Relay};
use super::reservation::{InflightGuard, Reservation};

/// The result of one attempt.
pub(super) enum Outcome {
    /// The response for the caller.
    Response(Response<Body>),
    /// The attempt failed; another one may follow.
    Failed(Failure),
}

/// Serves one request of a caller, from admission to the response.
pub(in crate::gateway) async fn serve(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = node.clock.now();
    let inflight = InflightGuard::new(&node);
    let mut response = match admit(&node, request, arrived, inflight).await {
        Ok(call) => respond_in_time(Arc::new(call)).await,
        Err(refusal) => refusal.response(),
    };
    if node.leaving.is_cancelled() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Responds to an admitted request, at the latest when this node ends.
async fn respond_in_time(call: Arc<Call>) -> Response<Body> {
    tokio::select! {
        biased;
        response = respond(Arc::clone(&call)) => response,
        () = call.node.ending.cancelled() => {
            let reason = Reason::Interrupted;
            call.report(Some(reason.status().as_u16()), reason.as_str());
            Refusal::new(reason).response()
        }
    }
}

/// Attempts an admitted request at one endpoint after another until there is a response.
async fn respond(call: Arc<Call>) -> Response<Body> {
    let now = call.node.clock.now();
    call.node
        .state()
        .retry_budgets
        .entry(Arc::clone(&call.service))
        .or_default()
        .record_request(now);
    let mut next: Option<Box<Reservation>> = None;
    loop {
        let Some(reservation) = next.take().map(|next| *next).or_else(|| reserve(&call)) else {
            return fail(&call);
        };
        match attempt(&call, reservation).await {
            Outcome::Response(response) => return response,
            Outcome::Failed(mut failure) => {
                next = failure.next.take();
                call.attempts().record_failure(failure);
            }
        }
        if !call.attempts().may_retry(call.route.retry_policy) {
            return fail(&call);
        }
    }
}

/// Sends a request to an endpoint and reads the whole response, or the first event of a stream.
async fn attempt(call: &Arc<Call>, reservation: Reservation) -> Outcome {
    let resume_after = call.metadata.resume_after;
    let received = match dispatch(call, reservation, resume_after).await {
        Ok(received) => received,
        Err(failure) => return Outcome::Failed(failure),
    };
    if call.route.streaming && received.response.status().is_success() {
        return match Relay::new(call, received, resume_after).open().await {
            Opened::Stream(response) => Outcome::Response(response),
            Opened::Failed(failure) => Outcome::Failed(failure),
        };
    }
    relay_buffered(call, received).await
}

/// Responds to a request for which no attempt succeeded: with an endpoint's own failure response if
/// there is one, else with a refusal.
fn fail(call: &Call) -> Response<Body> {
    let failure_response = call.attempts().response.take();
    if let Some(response) = failure_response {
        call.node.record_start(call.account.as_ref());
        call.report(Some(response.status().as_u16()), "failed");
        return response.map(full_body);
    }
    let expired = call.time_left(call.node.clock.now()) < MIN_TIME_LEFT;
    let (not_run, declined, without_endpoint, retry_after) = {
        let attempts = call.attempts();
        (
            attempts.has_not_run(),
            attempts.is_delivered(),
            attempts.without_endpoint,
            attempts.retry_after,
        )
    };
    let reason = match (not_run, expired) {
        (false, true) => Reason::Timeout,
        (false, false) => Reason::Lost,
        (true, true) => Reason::Expired,
        (true, false) if declined => Reason::Declined,
        (true, false) if without_endpoint => Reason::NoEndpoint,
        (true, false) => Reason::Overload,
    };
    let mut refusal = Refusal::new(reason);
    if not_run {
        refusal = refusal.with_retry_after(retry_after.unwrap_or(NO_ENDPOINT_RETRY_AFTER));
    }
    call.report(Some(reason.status().as_u16()), reason.as_str());
    refusal.response()
}

/// Returns a response body that consists of these bytes.
pub(super) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
