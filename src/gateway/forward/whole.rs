use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::gateway::RetryPolicy;
use crate::verdict::Verdict;

use super::answer::{Attempt, full};
use super::call::Call;
use super::dispatch::Received;
use super::failure::Failure;

/// Largest response that is read as a whole before it is passed on.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;

/// Reads a whole response and passes it on.
pub(super) async fn whole(call: &Arc<Call>, received: Received) -> Attempt {
    let Received {
        mut ticket,
        response,
        line,
    } = received;
    ticket.first_event();
    let (head, body) = response.into_parts();
    let body = match read(call, body).await {
        Ok(body) => body,
        Err(failure) => {
            ticket.unanswered();
            return Attempt::Failed(failure);
        }
    };
    call.node.upstream.keep(line);
    ticket.served();
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = call.node.dialect.response_headers(&head.headers);
    if head.status.is_server_error() && call.route.retry_policy != RetryPolicy::Never {
        let why = format!("the endpoint failed with {}", head.status);
        let failure = Failure::new(Verdict::Ran, why).with_response(response);
        return Attempt::Failed(failure);
    }
    call.first_event();
    call.node.record_start(call.account.as_ref());
    call.report(Some(head.status.as_u16()), "answered");
    Attempt::Done(response.map(full))
}

async fn read(call: &Call, body: Incoming) -> Result<Bytes, Failure> {
    let left = call.left(call.node.clock.now());
    let reading = timeout(left.into(), Limited::new(body, MAX_WHOLE_BYTES).collect());
    match reading.await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => {
            let why = format!("response broken off: {error}");
            Err(Failure::new(Verdict::MayHaveRun, why))
        }
        Err(_) => {
            let why = "response not complete in time";
            Err(Failure::new(Verdict::MayHaveRun, why))
        }
    }
}
