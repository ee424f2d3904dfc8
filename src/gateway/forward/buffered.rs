use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::gateway::RetryPolicy;
use crate::verdict::Verdict;

use super::call::Call;
use super::dispatch::Received;
use super::failure::Failure;
use super::serve::{Outcome, full_body};

/// Largest response that is buffered before it is sent to the caller.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// Reads a whole response into memory and returns it for the caller.
pub(super) async fn relay_buffered(call: &Arc<Call>, received: Received) -> Outcome {
    let Received {
        mut reservation,
        response,
        connection,
    } = received;
    reservation.record_first_event();
    let (head, body) = response.into_parts();
    let body = match read_body(call, body).await {
        Ok(body) => body,
        Err(failure) => {
            reservation.record_no_response();
            return Outcome::Failed(failure);
        }
    };
    call.node.upstream.release(connection);
    reservation.record_completed();
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = call.node.dialect.response_headers(&head.headers);
    if head.status.is_server_error() && call.route.retry_policy != RetryPolicy::Never {
        let reason = format!("the endpoint responded with {}", head.status);
        let failure = Failure::new(Verdict::Ran, reason).with_response(response);
        return Outcome::Failed(failure);
    }
    call.record_first_event();
    call.node.record_start(call.account.as_ref());
    call.report(Some(head.status.as_u16()), "answered");
    Outcome::Response(response.map(full_body))
}

async fn read_body(call: &Call, body: Incoming) -> Result<Bytes, Failure> {
    let left = call.time_left(call.node.clock.now());
    let reading = timeout(
        left.into(),
        Limited::new(body, MAX_BUFFERED_BYTES).collect(),
    );
    match reading.await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => {
            let reason = format!("reading the response failed: {error}");
            Err(Failure::new(Verdict::MayHaveRun, reason))
        }
        Err(_) => {
            let reason = "response incomplete at the deadline";
            Err(Failure::new(Verdict::MayHaveRun, reason))
        }
    }
}
