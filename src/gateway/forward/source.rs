use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::http::response::Parts;
use hyper::{HeaderMap, header};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::gateway::upstream::Connection;
use crate::gateway::{EventSplitter, RetryPolicy};
use crate::verdict::Verdict;

use super::buffer_share::BufferShare;
use super::call::Call;
use super::dispatch::{Received, dispatch};
use super::failure::Failure;
use super::progress::Progress;
use super::replacement::{Replacement, replacement};
use super::reservation::Reservation;

/// Maximum bytes of comments between two events. Endpoints send comments to keep a connection open; one
/// that sends nothing else does not answer.
const MAX_COMMENT_BYTES: usize = 64 * 1024;

/// Stall timeout as a multiple of the route's target for the gap between two events.
const STALL_FACTOR: u64 = 3;

/// Stall timeout of routes without a gap target.
const DEFAULT_STALL_TIMEOUT: Millis = Millis(2_000);

/// Where a stream is when an endpoint takes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its caller has no response yet.
    Unanswered,
    /// Its caller has the head of the response.
    Answered,
}

/// What an endpoint did.
pub(super) enum Step {
    /// It sent this many events; comments don't count.
    Received(usize),
    /// It ended its response with the stream.
    End,
    /// It broke off, or sent what is no rest of the stream.
    Failed(String),
}

/// What happened next to a stream.
pub(super) enum Next {
    Step(Step),
    /// The endpoint is silent, and another one is reserved.
    Replaced(Replacement),
    DeadlineExceeded,
}

/// An endpoint that sends a stream. Dropping it closes the connection, which cancels its work.
pub(super) struct Source {
    call: Arc<Call>,
    pub(super) reservation: Reservation,
    connection: Connection,
    body: Incoming,
    /// Whether the body ends with its connection, so that its end says little.
    ends_with_connection: bool,
    stage: Stage,
    events: EventSplitter,
    /// Memory for an event that is not complete yet.
    share: BufferShare,
    /// Whether the endpoint sent an event.
    started: bool,
    /// Bytes of comments since the last event.
    comment_bytes: usize,
}

impl Source {
    /// Creates the source of a response whose head was received, and returns the head as well.
    pub(super) fn new(call: &Arc<Call>, received: Received, stage: Stage) -> (Self, Parts) {
        let (head, body) = received.response.into_parts();
        let source = Self {
            call: Arc::clone(call),
            reservation: received.reservation,
            connection: received.connection,
            body,
            ends_with_connection: ends_with_connection(&head.headers),
            stage,
            events: EventSplitter::default(),
            share: BufferShare::new(&call.node),
            started: false,
            comment_bytes: 0,
        };
        (source, head)
    }

    /// Sends the request to an endpoint, which goes on after the event `after`.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not accept it.
    pub(super) async fn attach(
        call: &Arc<Call>,
        reservation: Reservation,
        after: Option<u64>,
        stage: Stage,
    ) -> Result<(Self, Parts), Failure> {
        let received = dispatch(call, reservation, after).await?;
        let status = received.response.status();
        if !status.is_success() {
            let reason = format!("the endpoint responded with {status}");
            return Err(Failure::new(Verdict::Ran, reason));
        }
        Ok(Self::new(call, received, stage))
    }

    /// Returns whether the endpoint sent an event.
    pub(super) fn has_started(&self) -> bool {
        self.started
    }

    /// Returns the connection to the pool, after the whole response.
    pub(super) fn release(self) {
        self.call.node.upstream.release(self.connection);
    }

    /// Waits for what happens next to the stream.
    pub(super) async fn next(&mut self, progress: &mut Progress) -> Next {
        let call = Arc::clone(&self.call);
        let left = call.time_left(call.node.clock.now());
        // While an endpoint sends without a pause, a timer may fire late.
        if left == Millis::ZERO {
            return Next::DeadlineExceeded;
        }
        let resumes = call.route.retry_policy == RetryPolicy::Resume && call.is_retryable();
        let due = if self.started {
            progress.last_event_at + stall_timeout(&call)
        } else {
            call.deadline
        };
        let frame = tokio::select! {
            frame = self.body.frame() => frame,
            () = sleep(left.into()) => return Next::DeadlineExceeded,
            replacement = replacement(&call, &mut self.reservation, due), if resumes => {
                return Next::Replaced(replacement);
            }
        };
        Next::Step(self.accept(frame, progress))
    }

    /// Waits until the endpoint sends an event or ends its response.
    pub(super) async fn until_event(&mut self, progress: &mut Progress) -> Step {
        loop {
            let frame = self.body.frame().await;
            let step = self.accept(frame, progress);
            if !matches!(step, Step::Received(0)) {
                return step;
            }
        }
    }

    fn accept(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
        progress: &mut Progress,
    ) -> Step {
        match frame {
            None => self.end_of_body(),
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                match self.ingest(&bytes, progress) {
                    Ok(events) => Step::Received(events),
                    Err(reason) => Step::Failed(reason),
                }
            }
            Some(Err(error)) => {
                self.call.record_crash(&self.reservation);
                Step::Failed(format!("reading the stream failed: {error}"))
            }
        }
    }

    /// Splits bytes of the endpoint into events and checks that they are events with consecutive ids.
    /// Returns the number of events.
    fn ingest(&mut self, bytes: &[u8], progress: &mut Progress) -> Result<usize, String> {
        if !self.events.push(bytes) {
            return Err("an event exceeds the size limit".to_owned());
        }
        self.share.hold(self.events.capacity())?;
        let now = self.call.node.clock.now();
        let mut events = 0;
        for event in self.events.by_ref() {
            if event.is_comment {
                self.comment_bytes += event.bytes.len();
                if self.comment_bytes > MAX_COMMENT_BYTES {
                    return Err("comments without an event exceed the size limit".to_owned());
                }
                progress.add_comment(event.bytes);
                continue;
            }
            events += 1;
            self.comment_bytes = 0;
            let Some(id) = event.id.filter(|_| event.is_well_formed) else {
                return Err("the body contains text that is no event with an id".to_owned());
            };
            progress.add_event(id, event.bytes, now)?;
        }
        self.share.hold(self.events.capacity())?;
        if events > 0 {
            self.record_events(events);
        }
        Ok(events)
    }

    fn record_events(&mut self, events: usize) {
        self.reservation.record_events(events);
        if !self.started {
            self.started = true;
            self.reservation.record_first_event();
            self.call.record_first_event();
            self.call.node.record_start(self.call.account.as_ref());
        }
    }

    /// Returns what the end of the body means: the stream is broken off within an event, and mostly
    /// before the first one.
    fn end_of_body(&self) -> Step {
        let has_partial = self.events.has_partial();
        if !has_partial && (self.started || self.may_be_empty()) {
            return Step::End;
        }
        if has_partial || self.ends_with_connection {
            self.call.record_crash(&self.reservation);
        }
        Step::Failed("the stream ended within an event or before the first one".to_owned())
    }

    /// Returns whether a whole body without events is the rest of the stream, which it may be if the
    /// caller resumes: it may have had the last event. If an endpoint broke off the stream here, nothing
    /// shows that the event before was the last one.
    fn may_be_empty(&self) -> bool {
        let caller_resumes = self.call.metadata.resume_after.is_some();
        caller_resumes && self.stage == Stage::Unanswered && !self.ends_with_connection
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
