use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, header};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::gateway::upstream::Connection;
use crate::gateway::{Body, EventSplitter, RetryPolicy};
use crate::verdict::Verdict;

use super::call::Call;
use super::dispatch::{Delivered, Received, dispatch, reserve};
use super::failure::Failure;
use super::replacement::{Replacement, replacement};
use super::reservation::Reservation;

/// Maximum bytes of comments between two events. Endpoints send comments to keep a connection open; one
/// that sends nothing else does not answer.
const MAX_COMMENT_BYTES: usize = 64 * 1024;

/// Stall timeout as a multiple of the route's target for the gap between two events.
const STALL_FACTOR: u64 = 3;

/// Stall timeout of routes without a gap target.
const DEFAULT_STALL_TIMEOUT: Millis = Millis(2_000);

/// The result of opening a stream.
pub(super) enum Opened {
    /// The response for the caller, whose first event has arrived.
    Stream(Response<Body>),
    /// The stream failed before its first event.
    Failed(Failure),
}

/// What was read next from an endpoint's response body.
enum Chunk {
    Data(Bytes),
    End,
    Failed(String),
    /// The endpoint is silent, and another one is reserved.
    Replaced(Replacement),
    DeadlineExceeded,
}

/// Relays an event stream from an endpoint to the caller, in complete events.
///
/// When the endpoint fails and the route allows it, the stream resumes at another endpoint after
/// the last complete event. Dropping the relay closes the connection to the endpoint, which cancels
/// its work.
pub(super) struct Relay {
    call: Arc<Call>,
    /// Head of the first endpoint's response, which is sent to the caller.
    head: Parts,
    reservation: Reservation,
    connection: Option<Connection>,
    body: Option<Incoming>,
    /// Whether the body ends with its connection, so that its end says little.
    ends_with_connection: bool,
    events: EventSplitter,
    pending: VecDeque<Bytes>,
    /// Id of the last event received.
    last_event: Option<u64>,
    /// Whether the current endpoint sent an event.
    started: bool,
    /// Bytes of comments since the last event.
    comment_bytes: usize,
    /// When the last event arrived.
    last_event_at: Millis,
    /// Status sent to the caller; `None` until the response is returned.
    status: Option<u16>,
    outcome: &'static str,
}

impl Relay {
    /// Creates a relay for a response whose head was received.
    pub(super) fn new(call: &Arc<Call>, received: Received, resume_after: Option<u64>) -> Self {
        let (head, body) = received.response.into_parts();
        Self {
            call: Arc::clone(call),
            ends_with_connection: ends_with_connection(&head.headers),
            head,
            reservation: received.reservation,
            connection: Some(received.connection),
            body: Some(body),
            events: EventSplitter::default(),
            pending: VecDeque::new(),
            last_event: resume_after,
            started: false,
            comment_bytes: 0,
            last_event_at: call.node.clock.now(),
            status: None,
            outcome: "caller_gone",
        }
    }

    /// Waits for the first event and returns the response for the caller.
    pub(super) async fn open(mut self) -> Opened {
        if let Err(failure) = self.wait_for_first_event().await {
            self.reservation.record_no_response();
            return Opened::Failed(failure);
        }
        let status = self.head.status;
        self.status = Some(status.as_u16());
        self.call.attempts().delivered += 1;
        let mut headers = self.call.node.dialect.response_headers(&self.head.headers);
        headers.remove(header::CONTENT_LENGTH);
        let stream = futures::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_chunk_in_time().await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        let mut response = Response::new(StreamBody::new(stream).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Opened::Stream(response)
    }

    /// As [`Relay::next_chunk`]; ends the response as incomplete when this node ends.
    async fn next_chunk_in_time(&mut self) -> Option<io::Result<Bytes>> {
        let call = Arc::clone(&self.call);
        tokio::select! {
            biased;
            chunk = self.next_chunk() => chunk,
            () = call.node.ending.cancelled() => {
                Some(Err(self.abort("cut", "the node shuts down")))
            }
        }
    }

    /// Waits for the first event, or the end, of the endpoint's response.
    async fn wait_for_first_event(&mut self) -> Result<(), Failure> {
        let failed = |reason: String| Failure::new(Verdict::MayHaveRun, reason);
        loop {
            match self.read_chunk().await {
                Chunk::Data(bytes) => {
                    self.ingest(&bytes).map_err(failed)?;
                    if self.started {
                        return Ok(());
                    }
                }
                Chunk::End => {
                    self.complete();
                    return Ok(());
                }
                Chunk::Failed(reason) => return Err(failed(reason)),
                Chunk::Replaced(replacement) => return Err(Failure::replaced(replacement)),
                Chunk::DeadlineExceeded => {
                    return Err(failed("no event before the deadline".to_owned()));
                }
            }
        }
    }

    /// Returns the next bytes for the caller, resuming elsewhere if the endpoint fails; `None` at
    /// the end of the stream.
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(bytes) = self.take_pending() {
                return Some(Ok(bytes));
            }
            self.body.as_ref()?;
            let (reason, next) = match self.read_chunk().await {
                Chunk::Data(bytes) => match self.ingest(&bytes) {
                    Ok(()) => continue,
                    Err(reason) => (reason, None),
                },
                Chunk::End => {
                    self.complete();
                    continue;
                }
                Chunk::Failed(reason) => (reason, None),
                Chunk::Replaced(replacement) => (replacement.reason, Some(replacement.reservation)),
                Chunk::DeadlineExceeded => {
                    return Some(Err(self.abort("late", "the deadline has passed")));
                }
            };
            self.reservation.record_no_response();
            if let Err(error) = self.resume(reason, next).await {
                return Some(Err(error));
            }
        }
    }

    /// Takes all complete events that wait to be sent to the caller.
    fn take_pending(&mut self) -> Option<Bytes> {
        let first = self.pending.pop_front()?;
        if self.pending.is_empty() {
            return Some(first);
        }
        let mut bytes = BytesMut::from(&first[..]);
        for event in self.pending.drain(..) {
            bytes.extend_from_slice(&event);
        }
        Some(bytes.freeze())
    }

    /// Splits bytes of the endpoint into events and checks that they are events with consecutive ids.
    fn ingest(&mut self, bytes: &[u8]) -> Result<(), String> {
        if !self.events.push(bytes) {
            return Err("an event exceeds the size limit".to_owned());
        }
        let mut events = 0;
        for event in self.events.by_ref() {
            if event.is_comment {
                self.comment_bytes += event.bytes.len();
                if self.comment_bytes > MAX_COMMENT_BYTES {
                    return Err("comments without an event exceed the size limit".to_owned());
                }
                self.pending.push_back(event.bytes);
                continue;
            }
            events += 1;
            self.comment_bytes = 0;
            let Some(id) = event.id.filter(|_| event.is_well_formed) else {
                return Err("the body contains text that is no event with an id".to_owned());
            };
            if let Some(last) = self.last_event {
                if id <= last {
                    return Err(format!("event {id} repeated or out of order after {last}"));
                }
                if id > last + 1 {
                    return Err(format!("events missing between {last} and {id}"));
                }
            }
            self.last_event = Some(id);
            self.pending.push_back(event.bytes);
        }
        if events > 0 {
            self.reservation.record_events(events);
            self.last_event_at = self.call.node.clock.now();
            if !self.started {
                self.started = true;
                self.reservation.record_first_event();
                self.call.record_first_event();
                self.call.node.record_start(self.call.account.as_ref());
            }
        }
        Ok(())
    }

    /// Ends the relay after the whole stream and returns the connection to the pool.
    fn complete(&mut self) {
        self.body = None;
        self.outcome = "streamed";
        if let Some(connection) = self.connection.take() {
            self.call.node.upstream.release(connection);
        }
    }

    /// Ends the relay before the end of the stream; returns the error that truncates the response.
    fn abort(&mut self, outcome: &'static str, reason: &str) -> io::Error {
        self.body = None;
        self.connection = None;
        self.outcome = outcome;
        reason.clone_into(&mut self.call.attempts().reason);
        io::Error::other(reason.to_owned())
    }

    /// Resumes at another endpoint after the last event, at `next` if it is reserved; if none may or
    /// can do so, ends the response as incomplete.
    async fn resume(
        &mut self,
        reason: String,
        mut next: Option<Box<Reservation>>,
    ) -> io::Result<()> {
        // Closing the connection stops the previous endpoint before another one resumes.
        self.body = None;
        self.connection = None;
        self.call.attempts().reason = reason;
        loop {
            let allowed = self.call.route.retry_policy == RetryPolicy::Resume;
            let reserved = || {
                next.take()
                    .map(|next| *next)
                    .or_else(|| reserve(&self.call))
            };
            let Some(reservation) = allowed.then(reserved).flatten() else {
                let reason = std::mem::take(&mut self.call.attempts().reason);
                return Err(self.abort("cut", &reason));
            };
            slog::info!(self.call.node.log, "stream resumes"; "id" => self.call.id(),
                "endpoint" => &*reservation.endpoint, "after" => self.last_event,
                "why" => &self.call.attempts().reason);
            match self.attach(reservation).await {
                Ok(()) => return Ok(()),
                Err(mut failure) => {
                    next = failure.next.take();
                    self.call.attempts().record_failure(failure);
                }
            }
        }
    }

    /// Sends the request to another endpoint and continues with its response.
    async fn attach(&mut self, reservation: Reservation) -> Result<(), Failure> {
        let received = dispatch(&self.call, reservation, self.last_event).await?;
        let status = received.response.status();
        if !status.is_success() {
            let reason = format!("the endpoint responded with {status}");
            return Err(Failure::new(Verdict::Ran, reason));
        }
        self.reservation = received.reservation;
        self.connection = Some(received.connection);
        self.ends_with_connection = ends_with_connection(received.response.headers());
        self.body = Some(received.response.into_body());
        self.events = EventSplitter::default();
        self.started = false;
        self.comment_bytes = 0;
        self.call.attempts().delivered += 1;
        Ok(())
    }

    /// Returns what the end of the body means: the stream is broken off within an event, and mostly
    /// before the first one.
    fn end_of_body(&self) -> Chunk {
        let has_partial = self.events.has_partial();
        if !has_partial && (self.started || self.may_be_empty()) {
            return Chunk::End;
        }
        if has_partial || self.ends_with_connection {
            self.call.record_crash(&self.reservation);
        }
        Chunk::Failed("the stream ended within an event or before the first one".to_owned())
    }

    /// Returns whether a whole body without events is the rest of the stream, which it may be if the
    /// caller resumes: it may have had the last event. If an endpoint broke off the stream here, nothing
    /// shows that the event before was the last one.
    fn may_be_empty(&self) -> bool {
        let caller_resumes = self.call.metadata.resume_after.is_some();
        caller_resumes && self.status.is_none() && !self.ends_with_connection
    }

    /// Waits for the next chunk of the endpoint's response.
    async fn read_chunk(&mut self) -> Chunk {
        let now = self.call.node.clock.now();
        let left = self.call.time_left(now);
        let Some(body) = self.body.as_mut() else {
            return Chunk::End;
        };
        // While an endpoint sends without a pause, a timer may fire late.
        if left == Millis::ZERO {
            return Chunk::DeadlineExceeded;
        }
        let resumes =
            self.call.route.retry_policy == RetryPolicy::Resume && self.call.is_retryable();
        let due = if self.started {
            self.last_event_at + stall_timeout(&self.call)
        } else {
            self.call.deadline
        };
        // An attempt counts as delivered from the first event that its caller gets.
        let delivered = match self.status {
            Some(_) => Delivered::Counted,
            None => Delivered::Pending,
        };
        tokio::select! {
            frame = body.frame() => match frame {
                None => self.end_of_body(),
                Some(Ok(frame)) => Chunk::Data(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => {
                    self.call.record_crash(&self.reservation);
                    Chunk::Failed(format!("reading the stream failed: {error}"))
                }
            },
            () = sleep(left.into()) => Chunk::DeadlineExceeded,
            replacement = replacement(&self.call, &mut self.reservation, due, delivered),
                if resumes =>
            {
                Chunk::Replaced(replacement)
            }
        }
    }
}

/// Returns whether a body has neither a length nor chunks.
fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the time without an event after which a stream resumes at another endpoint.
fn stall_timeout(call: &Call) -> Millis {
    call.route
        .gap_target
        .map_or(DEFAULT_STALL_TIMEOUT, |gap| Millis(gap.0 * STALL_FACTOR))
}

impl Drop for Relay {
    fn drop(&mut self) {
        // Without a status, the request continues in another attempt or its caller disconnected;
        // then the call is reported elsewhere.
        if self.status.is_some() {
            self.call.report(self.status, self.outcome);
        }
    }
}
