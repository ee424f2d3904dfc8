use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use hyper::Method;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;
use uuid::Uuid;
use warp::reply::Response;
use warp::{Reply, sse};

use crate::clock::Millis;
use crate::config::Class;
use crate::endpoint::{Done, Generate, Key, Start, Token};
use crate::error::{Error, ErrorKind};
use crate::retry::{Attempt, Decision};
use crate::stream::{Chunk, Entry, Phase};
use crate::transport;
use crate::verdict::Verdict;

use super::Node;
use super::dispatch::{Permit, Placement, Target};
use super::request::Request;

/// Time between two keep-alive comments on a stream to a caller.
const KEEP_ALIVE: Millis = Millis(1_000);

/// Time for which a finished response stays available to a caller that reconnects.
const RETENTION: Millis = Millis::from_secs(60);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    prompt: Arc<str>,
    #[serde(default)]
    max_tokens: Option<u32>,
}

#[derive(Debug, Serialize)]
struct Accepted {
    request_id: Uuid,
}

/// Accepts a request to a model service and streams its response.
pub(super) fn call(node: &Arc<Node>, request: Request, permit: Permit) -> Result<Response, Error> {
    let body: Body = serde_json::from_slice(&request.body)
        .map_err(|error| Error::not_run(ErrorKind::Malformed, format!("body: {error}")))?;
    let entry = node
        .streams
        .create(request.id, Arc::clone(&request.account))
        .ok_or_else(|| Error::not_run(ErrorKind::Conflict, "the request id is in use"))?;
    tokio::spawn(generate(
        Arc::clone(node),
        request,
        body,
        Arc::clone(&entry),
        permit,
    ));
    Ok(follow(entry, 0))
}

async fn generate(
    node: Arc<Node>,
    request: Request,
    body: Body,
    entry: Arc<Entry>,
    mut permit: Permit,
) {
    let limit = request.route.max_tokens;
    let max_tokens = body.max_tokens.map_or(limit, |tokens| tokens.min(limit));
    let mut result = Err(Error::not_run(
        ErrorKind::Unavailable,
        "no endpoint is available",
    ));
    loop {
        if node.clock.now() >= request.deadline {
            result = Err(Error::may_have_run(
                ErrorKind::DeadlineExceeded,
                "the deadline has passed",
            ));
            break;
        }
        let target = Target {
            service: &request.route.service,
            class: request.route.class,
            prompt: &body.prompt,
            exclude: &[],
        };
        let Some(mut placement) = node.place(&target) else {
            break;
        };
        let attempt = entry.begin();
        if attempt == 1 {
            node.first_attempt(&request.account, placement.key);
        }
        let order = Generate {
            request_id: request.id,
            attempt,
            prompt: Arc::clone(&body.prompt),
            generated: entry.texts(),
            max_tokens,
            priority: u8::from(request.route.class == Class::Long),
        };
        result = attempt_once(&node, &mut placement, &order, &entry).await;
        if result.is_ok() {
            placement.succeeded();
            permit.succeeded(u32::try_from(entry.texts().len()).unwrap_or(u32::MAX));
            break;
        }
        metrics::counter!("almondpath_attempt_failures_total").increment(1);
        let failed = Attempt {
            account: &request.account,
            endpoint: placement.key,
            attempts: attempt,
            idempotent: true,
            verdict: Verdict::MayHaveRun,
            expected: Millis::ZERO,
            deadline: request.deadline,
        };
        drop(placement);
        let Decision::After(delay) = node.retry(&failed) else {
            break;
        };
        tokio::time::sleep(delay.into()).await;
    }
    entry.finish(result.map_or_else(Phase::Failed, |()| Phase::Done));
    drop(permit);
    tokio::time::sleep(RETENTION.into()).await;
    node.streams.remove(request.id);
}

async fn attempt_once(
    node: &Node,
    placement: &mut Placement,
    order: &Generate,
    entry: &Entry,
) -> Result<(), Error> {
    let address = placement.address;
    let body = serde_json::to_vec(order)
        .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?;
    let request = node
        .http
        .request(Method::POST, address, "/generate", Bytes::from(body))?;
    let response = node.http.send(request).await?;
    if !response.status().is_success() {
        return Err(Error::may_have_run(
            ErrorKind::EndpointFailed,
            format!("{address} answered {}", response.status()),
        ));
    }
    let mut events = transport::events(response.into_body());
    loop {
        let next = timeout(node.settings.stall_ms.into(), events.next())
            .await
            .map_err(|_| silent(address, node.settings.stall_ms))?;
        let event = next.ok_or_else(|| cut_off(address))??;
        match event.name.as_str() {
            "start" => {
                let start: Start = event.parse()?;
                placement.started(start.cached_tokens);
                metrics::counter!("almondpath_prefill_tokens_total")
                    .increment(u64::from(start.prefill_tokens));
            }
            "token" => {
                let token: Token = event.parse()?;
                placement.first_token();
                entry.push(Chunk {
                    attempt: order.attempt,
                    offset: token.offset,
                    text: token.text,
                });
            }
            "done" => {
                event.parse::<Done>()?;
                return Ok(());
            }
            _ => return Err(cut_off(address)),
        }
    }
}

fn silent(address: SocketAddr, bound: Millis) -> Error {
    Error::may_have_run(
        ErrorKind::EndpointFailed,
        format!("nothing from {address} for {bound}"),
    )
}

fn cut_off(address: SocketAddr) -> Error {
    Error::may_have_run(
        ErrorKind::EndpointFailed,
        format!("the stream from {address} was cut off"),
    )
}

impl Node {
    /// Counts a request that starts or ends at an endpoint.
    pub(super) fn count(&self, key: Key, starts: bool) {
        self.endpoints
            .lock()
            .expect("endpoints lock")
            .count(key, starts);
    }
}

/// Streams a response to a caller from an offset on.
pub(super) fn follow(entry: Arc<Entry>, offset: u32) -> Response {
    let accepted = event(
        "accepted",
        &Accepted {
            request_id: entry.id,
        },
    );
    let events = futures::stream::once(async move { Ok::<_, Infallible>(accepted) })
        .chain(chunks(entry, offset));
    let keep_alive = sse::keep_alive().interval(KEEP_ALIVE.into());
    sse::reply(keep_alive.stream(events)).into_response()
}

fn chunks(
    entry: Arc<Entry>,
    offset: u32,
) -> impl Stream<Item = Result<sse::Event, Infallible>> + Send + Sync + 'static {
    let progress = entry.subscribe();
    let batches = futures::stream::unfold(
        (entry, offset, progress, false),
        |(entry, offset, mut progress, ended)| async move {
            if ended {
                return None;
            }
            loop {
                progress.borrow_and_update();
                let (chunks, phase) = entry.read(offset);
                let next = offset + u32::try_from(chunks.len()).unwrap_or(0);
                let mut events: Vec<_> = chunks.iter().map(chunk_event).collect();
                let ended = phase != Phase::Running;
                events.extend(end_event(&phase, next));
                if !events.is_empty() {
                    return Some((events, (entry, next, progress, ended)));
                }
                if progress.changed().await.is_err() {
                    return None;
                }
            }
        },
    );
    batches.flat_map(|events| futures::stream::iter(events.into_iter().map(Ok)))
}

fn chunk_event(chunk: &Chunk) -> sse::Event {
    event("chunk", chunk).id((chunk.offset + 1).to_string())
}

fn end_event(phase: &Phase, tokens: u32) -> Option<sse::Event> {
    match phase {
        Phase::Running => None,
        Phase::Done => Some(event("done", &Done { tokens })),
        Phase::Failed(error) => Some(event("error", error)),
    }
}

fn event<T>(name: &str, data: &T) -> sse::Event
where
    T: Serialize,
{
    // These types serialize without fail; an empty document would be seen by the caller's parser.
    sse::Event::default()
        .event(name)
        .data(serde_json::to_string(data).unwrap_or_default())
}
