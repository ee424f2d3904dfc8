use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::body::Incoming;
use hyper::{Method, Response};
use tokio::time::{sleep, timeout};
use uuid::Uuid;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::verdict::Verdict;

use super::Client;
use super::client::header;
use super::directory::Directory;

/// Delay after the first failure; it doubles with each further failure.
const FIRST_BACKOFF: Millis = Millis(50);

const MAX_BACKOFF: Millis = Millis(1_000);

/// Maximum number of concurrent attempts; a further one starts when the earlier ones get no
/// response in time.
const MAX_CONCURRENT_ATTEMPTS: usize = 3;

/// The response of a node to a request.
pub(super) enum NodeResponse {
    /// The body of a plain service's response.
    Body(Bytes),
    /// The id of the request and the start of a streamed response.
    Stream(Uuid, Response<Incoming>),
}

/// A request that is sent to one node after the other until one accepts it.
pub(super) struct Submission<'a> {
    client: &'a Client,
    route: &'a str,
    key: Option<&'a str>,
    body: Bytes,
    expires_at: Millis,
}

impl<'a> Submission<'a> {
    pub(super) fn new(
        client: &'a Client,
        route: &'a str,
        key: Option<&'a str>,
        body: Bytes,
        expires_at: Millis,
    ) -> Self {
        Self {
            client,
            route,
            key,
            body,
            expires_at,
        }
    }

    /// Sends the request to one address after the other and returns the first successful
    /// response.
    ///
    /// An attempt without a response stays open while the next address is tried: the node may be
    /// slow, or the connection may have stalled.
    pub(super) async fn send(&self, directory: &mut Directory) -> Result<NodeResponse, Error> {
        let mut open = FuturesUnordered::new();
        let mut backoff = FIRST_BACKOFF;
        let mut failure: Option<Error> = None;
        loop {
            let now = self.client.clock.now();
            if now >= self.expires_at {
                return Err(deadline_error(failure, !open.is_empty()));
            }
            if open.len() < MAX_CONCURRENT_ATTEMPTS {
                match directory.next(now).await {
                    Ok(address) => open.push(self.attempt(address)),
                    Err(error) if open.is_empty() => {
                        failure = Some(combine(failure, error));
                        sleep(backoff.into()).await;
                        backoff = next_backoff(backoff);
                        continue;
                    }
                    Err(_) => {}
                }
            }
            let wait = self.client.stall_timeout.min(self.expires_at - now);
            match timeout(wait.into(), open.next()).await {
                Ok(Some(Ok(response))) => return Ok(response),
                Ok(Some(Err(error))) => {
                    if is_final(&error) {
                        return Err(combine(failure, error));
                    }
                    let delay = error.retry_after().unwrap_or(backoff).min(MAX_BACKOFF);
                    failure = Some(combine(failure, error));
                    sleep(jittered(delay.min(self.expires_at - now))).await;
                    backoff = next_backoff(backoff);
                }
                Ok(None) | Err(_) => {}
            }
        }
    }

    /// Sends the request to one address.
    async fn attempt(&self, address: SocketAddr) -> Result<NodeResponse, Error> {
        // Each attempt has an id of its own: two nodes that accept the same id would generate two
        // different responses to one request.
        let id = Uuid::now_v7();
        let path = format!("/v1/routes/{}", self.route);
        let http = &self.client.http;
        let mut request = http.request(Method::POST, address, &path, self.body.clone())?;
        let remaining = self.expires_at - self.client.clock.now();
        let headers = request.headers_mut();
        headers.insert("authorization", self.client.authorization()?);
        headers.insert("x-session", self.client.session()?);
        headers.insert("x-request-id", header(&id.to_string())?);
        headers.insert("x-deadline-ms", header(&remaining.0.to_string())?);
        if let Some(key) = self.key {
            headers.insert("idempotency-key", header(key)?);
        }
        let response = http.send(request).await?;
        let streamed = response
            .headers()
            .get("content-type")
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        if streamed {
            return Ok(NodeResponse::Stream(id, response));
        }
        let status = response.status();
        let body = http.body(response).await?;
        if status.is_success() {
            return Ok(NodeResponse::Body(body));
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(|_| {
            Error::may_have_run(
                ErrorKind::EndpointFailed,
                format!("{address} responded with status {status}"),
            )
        }))
    }
}

/// Returns whether a retry, also at another address, can't have another result.
fn is_final(error: &Error) -> bool {
    error.verdict() == Verdict::Ran
        || matches!(
            error.kind(),
            ErrorKind::Malformed
                | ErrorKind::Unauthorized
                | ErrorKind::NotFound
                | ErrorKind::KeyMissing
                | ErrorKind::KeyExpired
                | ErrorKind::KeyReused
                | ErrorKind::KeyVoid
                | ErrorKind::TooLarge
                | ErrorKind::DeadlineExceeded
        )
}

/// Combines the verdicts of the earlier attempts with that of the last error.
///
/// A call whose key is void never ran and never will, whatever the verdicts of the earlier
/// attempts.
fn combine(earlier: Option<Error>, last: Error) -> Error {
    match earlier {
        Some(earlier) if last.kind() != ErrorKind::KeyVoid => {
            let verdict = earlier.verdict().combine(last.verdict());
            last.with_verdict(verdict)
        }
        _ => last,
    }
}

/// Returns the error for a call whose deadline has passed; `open` says whether an attempt is open.
fn deadline_error(failure: Option<Error>, open: bool) -> Error {
    let verdict = if open {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    };
    let reason = failure.as_ref().map_or("no response", Error::message);
    let error = Error::not_run(
        ErrorKind::DeadlineExceeded,
        format!("the deadline passed; last error: {reason}"),
    );
    combine(failure, error.with_verdict(verdict))
}

fn next_backoff(backoff: Millis) -> Millis {
    Millis(backoff.0 * 2).min(MAX_BACKOFF)
}

/// Returns a random time from half of the delay to all of it, so that clients do not all retry at
/// the same time.
pub(super) fn jittered(delay: Millis) -> Duration {
    let half = delay.0 / 2;
    Millis(half + rand::random_range(0..=half)).into()
}
