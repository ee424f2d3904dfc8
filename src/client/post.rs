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

/// Pause before the first try after a failure; it doubles with each further failure.
const FIRST_PAUSE: Millis = Millis(50);

const MAX_PAUSE: Millis = Millis(1_000);

/// Most attempts that are open at the same time, because earlier ones got no answer.
const MAX_OPEN: usize = 3;

/// What a node answered to a request.
pub(super) enum Answer {
    /// The whole body of a plain service's response.
    Body(Bytes),
    /// The beginning of a streamed response, and the id of its request.
    Stream(Uuid, Response<Incoming>),
}

/// A request that is sent until a node answers.
pub(super) struct Post<'a> {
    client: &'a Client,
    route: &'a str,
    key: Option<&'a str>,
    body: Bytes,
    until: Millis,
}

impl<'a> Post<'a> {
    pub(super) fn new(
        client: &'a Client,
        route: &'a str,
        key: Option<&'a str>,
        body: Bytes,
        until: Millis,
    ) -> Self {
        Self {
            client,
            route,
            key,
            body,
            until,
        }
    }

    /// Sends the request to one address after the other.
    ///
    /// An attempt without an answer stays open while the next address is tried: it may be slow, or
    /// its connection may have stalled. The first answer counts.
    pub(super) async fn send(&self, directory: &mut Directory) -> Result<Answer, Error> {
        let mut open = FuturesUnordered::new();
        let mut pause = FIRST_PAUSE;
        let mut failure: Option<Error> = None;
        loop {
            let now = self.client.clock.now();
            if now >= self.until {
                return Err(late(failure, !open.is_empty()));
            }
            if open.len() < MAX_OPEN {
                match directory.next(now).await {
                    Ok(address) => open.push(self.attempt(address)),
                    Err(error) if open.is_empty() => {
                        failure = Some(combine(failure, error));
                        sleep(pause.into()).await;
                        pause = longer(pause);
                        continue;
                    }
                    Err(_) => {}
                }
            }
            let wait = self.client.stall_timeout.min(self.until - now);
            match timeout(wait.into(), open.next()).await {
                Ok(Some(Ok(answer))) => return Ok(answer),
                Ok(Some(Err(error))) => {
                    if is_final(&error) {
                        return Err(combine(failure, error));
                    }
                    let hint = error.retry_after().unwrap_or(pause).min(MAX_PAUSE);
                    failure = Some(combine(failure, error));
                    sleep(jittered(hint.min(self.until - now))).await;
                    pause = longer(pause);
                }
                Ok(None) | Err(_) => {}
            }
        }
    }

    async fn attempt(&self, address: SocketAddr) -> Result<Answer, Error> {
        // Each attempt is a request of its own: two nodes that accept the same id would generate
        // two samplings of one response.
        let id = Uuid::now_v7();
        let path = format!("/v1/routes/{}", self.route);
        let http = &self.client.http;
        let mut request = http.request(Method::POST, address, &path, self.body.clone())?;
        let left = self.until - self.client.clock.now();
        let headers = request.headers_mut();
        headers.insert("authorization", self.client.authorization()?);
        headers.insert("x-session", self.client.session()?);
        headers.insert("x-request-id", header(&id.to_string())?);
        headers.insert("x-deadline-ms", header(&left.0.to_string())?);
        if let Some(key) = self.key {
            headers.insert("idempotency-key", header(key)?);
        }
        let response = http.send(request).await?;
        let streamed = response
            .headers()
            .get("content-type")
            .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        if streamed {
            return Ok(Answer::Stream(id, response));
        }
        let status = response.status();
        let body = http.body(response).await?;
        if status.is_success() {
            return Ok(Answer::Body(body));
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(|_| {
            Error::may_have_run(ErrorKind::EndpointFailed, format!("status {status}"))
        }))
    }
}

/// Returns whether another address or a later try can't give another result.
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

/// Adds the verdict of the attempts before to the last error.
///
/// A void key never ran and never will, whatever the attempts before were told.
fn combine(before: Option<Error>, last: Error) -> Error {
    match before {
        Some(before) if last.kind() != ErrorKind::KeyVoid => {
            let verdict = before.verdict().combine(last.verdict());
            last.with_verdict(verdict)
        }
        _ => last,
    }
}

fn late(failure: Option<Error>, open: bool) -> Error {
    let verdict = if open {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    };
    let reason = failure.as_ref().map_or("no answer", Error::message);
    let error = Error::not_run(
        ErrorKind::DeadlineExceeded,
        format!("the deadline has passed; last: {reason}"),
    );
    combine(failure, error.with_verdict(verdict))
}

fn longer(pause: Millis) -> Millis {
    Millis(pause.0 * 2).min(MAX_PAUSE)
}

/// Half of the pause and up to as much again, so that callers do not come back together.
pub(super) fn jittered(pause: Millis) -> Duration {
    let half = pause.0 / 2;
    Millis(half + rand::random_range(0..=half)).into()
}
