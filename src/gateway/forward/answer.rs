use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, header};

use crate::gateway::{Body, Node, Reason, Refusal};

use super::admit::admit;
use super::call::Call;
use super::dispatch::{LEAST_TIME, NO_ENDPOINT_DELAY, dispatch, place};
use super::failure::Failure;
use super::relay::{Opened, Relay};
use super::ticket::{Served, Ticket};
use super::whole::whole;

/// What became of one send.
pub(super) enum Attempt {
    /// The response for the caller.
    Done(Response<Body>),
    /// There is no response for the caller yet.
    Failed(Failure),
}

/// Serves a request of a caller.
pub(in crate::gateway) async fn serve(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = node.clock.now();
    let served = Served::new(&node);
    let mut response = match admit(&node, request, arrived, served).await {
        Ok(call) => answer(Arc::new(call)).await,
        Err(refusal) => refusal.response(),
    };
    if node.leaving.is_cancelled() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Answers an admitted request.
async fn answer(call: Arc<Call>) -> Response<Body> {
    let now = call.node.clock.now();
    call.node
        .state()
        .budgets
        .entry(Arc::clone(&call.service))
        .or_default()
        .record_request(now);
    loop {
        let Some(ticket) = place(&call) else {
            return give_up(&call);
        };
        match send(&call, ticket).await {
            Attempt::Done(response) => return response,
            Attempt::Failed(failure) => call.tries().failed(failure),
        }
        if !call.tries().may_go_on(call.route.retry_policy) {
            return give_up(&call);
        }
    }
}

/// Sends a request to an endpoint and reads its answer, or the first event of a stream.
async fn send(call: &Arc<Call>, ticket: Ticket) -> Attempt {
    let resume_after = call.ask.resume_after;
    let received = match dispatch(call, ticket, resume_after).await {
        Ok(received) => received,
        Err(failure) => return Attempt::Failed(failure),
    };
    if call.route.streaming && received.response.status().is_success() {
        return match Relay::new(call, received, resume_after).open().await {
            Opened::Stream(response) => Attempt::Done(response),
            Opened::Failed(failure) => Attempt::Failed(failure),
        };
    }
    whole(call, received).await
}

/// Answers a request that got no response to pass on.
fn give_up(call: &Call) -> Response<Body> {
    let failed = call.tries().response.take();
    if let Some(response) = failed {
        call.node.record_start(call.account.as_ref());
        call.report(Some(response.status().as_u16()), "failed");
        return response.map(full);
    }
    let expired = call.left(call.node.clock.now()) < LEAST_TIME;
    let (not_run, declined, retry_after) = {
        let tries = call.tries();
        (tries.has_not_run(), tries.arrived > 0, tries.retry_after)
    };
    let reason = match (not_run, expired) {
        (false, true) => Reason::Timeout,
        (false, false) => Reason::Lost,
        (true, true) => Reason::Expired,
        (true, false) if declined => Reason::Declined,
        (true, false) if retry_after == Some(NO_ENDPOINT_DELAY) => Reason::NoEndpoint,
        (true, false) => Reason::Overload,
    };
    let mut refusal = Refusal::new(reason);
    if not_run {
        refusal = refusal.with_retry_after(retry_after.unwrap_or(NO_ENDPOINT_DELAY));
    }
    call.report(Some(reason.status().as_u16()), reason.as_str());
    refusal.response()
}

/// Returns a body of which everything is there.
pub(super) fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
