use std::convert::Infallible;
use std::net::SocketAddr;

use futures::{Stream, StreamExt};
use serde::Serialize;
use tokio::sync::watch;
use uuid::Uuid;
use warp::reply::Response;
use warp::{Reply, sse};

use crate::clock::Millis;
use crate::endpoint::Done;
use crate::stream::{Batch, Chunk, Cursor, Follower, Phase};

/// Interval of keep-alive comments on an event stream to a caller.
const KEEP_ALIVE: Millis = Millis(1_000);

/// Data of the `accepted` event.
#[derive(Debug, Serialize)]
struct Accepted {
    request_id: Uuid,
}

/// Data of the `moved` event.
#[derive(Debug, Serialize)]
struct Moved<'a> {
    addresses: &'a [SocketAddr],
}

/// Reads a response from a follower as events.
struct EventReader {
    follower: Follower,
    cursor: Cursor,
    progress: watch::Receiver<u64>,
    ended: bool,
}

/// Streams a response to a caller, from `cursor` on.
pub(super) fn follow(follower: Follower, cursor: Cursor) -> Response {
    let accepted = event(
        "accepted",
        &Accepted {
            request_id: follower.request().id,
        },
    );
    let progress = follower.subscribe();
    let reader = EventReader {
        follower,
        cursor,
        progress,
        ended: false,
    };
    let events = futures::stream::iter([Ok::<_, Infallible>(accepted)]).chain(reader.events());
    reply(events)
}

/// Redirects a caller to other nodes.
pub(super) fn moved(addresses: &[SocketAddr]) -> Response {
    reply(futures::stream::iter([Ok(moved_event(addresses))]))
}

fn reply<S>(events: S) -> Response
where
    S: Stream<Item = Result<sse::Event, Infallible>> + Send + Sync + 'static,
{
    let keep_alive = sse::keep_alive().interval(KEEP_ALIVE.into());
    sse::reply(keep_alive.stream(events)).into_response()
}

impl EventReader {
    fn events(self) -> impl Stream<Item = Result<sse::Event, Infallible>> + Send + Sync + 'static {
        let batches = futures::stream::unfold(self, |mut reader| async move {
            let events = reader.next().await?;
            Some((events, reader))
        });
        batches.flat_map(|events| futures::stream::iter(events.into_iter().map(Ok)))
    }

    async fn next(&mut self) -> Option<Vec<sse::Event>> {
        while !self.ended {
            self.progress.borrow_and_update();
            let batch = self.follower.read(self.cursor);
            self.cursor = batch.cursor;
            self.ended = batch.phase != Phase::Running;
            let events = batch_events(&batch);
            if !events.is_empty() {
                return Some(events);
            }
            self.progress.changed().await.ok()?;
        }
        None
    }
}

fn batch_events(batch: &Batch) -> Vec<sse::Event> {
    let restart = batch.restart.iter().map(|r| event("restart", r));
    let chunks = batch.chunks.iter().map(chunk_event);
    let end = match &batch.phase {
        Phase::Running => None,
        Phase::Done => Some(event(
            "done",
            &Done {
                tokens: batch.cursor.offset,
            },
        )),
        Phase::Failed(error) => Some(event("error", error)),
        Phase::Moved(addresses) => Some(moved_event(addresses)),
    };
    restart.chain(chunks).chain(end).collect()
}

fn chunk_event(chunk: &Chunk) -> sse::Event {
    event("chunk", chunk).id((chunk.offset + 1).to_string())
}

fn moved_event(addresses: &[SocketAddr]) -> sse::Event {
    event("moved", &Moved { addresses })
}

fn event<T>(name: &str, data: &T) -> sse::Event
where
    T: Serialize,
{
    // These types always serialize; the caller's parser would reject an empty document.
    sse::Event::default()
        .event(name)
        .data(serde_json::to_string(data).unwrap_or_default())
}
