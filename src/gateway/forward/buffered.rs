use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::gateway::RetryPolicy;
use crate::verdict::Verdict;

use super::buffer_share::BufferShare;
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
    reservation.record_events(1);
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
    let failed = |reason: String| Failure::new(Verdict::MayHaveRun, reason);
    match timeout(left.into(), collect(call, body)).await {
        Ok(read) => read.map_err(failed),
        Err(_) => Err(failed("response incomplete at the deadline".to_owned())),
    }
}

/// Reads a body to its end. A faulty endpoint may send bytes without end, on many responses at once.
///
/// The body counts towards the memory for large responses until its caller has read it.
async fn collect(call: &Call, mut body: Incoming) -> Result<Bytes, String> {
    let mut read = BytesMut::new();
    let mut share = BufferShare::new(&call.node);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("reading the response failed: {error}"))?;
        let data = frame.into_data().unwrap_or_default();
        read.extend_from_slice(&data);
        if read.len() > MAX_BUFFERED_BYTES {
            return Err(format!("the response exceeds {MAX_BUFFERED_BYTES} bytes"));
        }
        share.hold(read.capacity())?;
    }
    Ok(share.attach(read.freeze()))
}
