use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::http::response::Parts;
use hyper::{Response, header};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::gateway::upstream::Connection;
use crate::gateway::{Body, EventSplitter, RetryPolicy};
use crate::verdict::Verdict;

use super::call::Call;
use super::dispatch::{Received, dispatch, place};
use super::failure::Failure;
use super::ticket::Ticket;

/// Time without an event after which a stream goes on at another endpoint, as a multiple of the
/// longest pause that is on time.
const STALL_PAUSES: u64 = 3;

/// As [`STALL_PAUSES`], for routes that state no pause.
const STALL: Millis = Millis(2_000);

/// What became of opening a stream.
pub(super) enum Opened {
    /// The response, whose first event has arrived.
    Stream(Response<Body>),
    /// The stream broke before its first event.
    Failed(Failure),
}

/// A part of a stream from an endpoint.
enum Part {
    Data(Bytes),
    End,
    Broken(String),
    Late,
}

/// A response that is passed on event by event.
///
/// When the endpoint breaks off and the route allows it, the stream goes on at another endpoint after
/// the last complete event. Dropping the relay closes the connection to the endpoint, which ends its
/// work.
pub(super) struct Relay {
    call: Arc<Call>,
    /// Head of the first endpoint's response, which the caller gets.
    head: Parts,
    ticket: Ticket,
    line: Option<Connection>,
    body: Option<Incoming>,
    events: EventSplitter,
    ready: VecDeque<Bytes>,
    /// Number of the last event that was taken in.
    last: Option<u64>,
    /// Whether an event of this endpoint arrived.
    started: bool,
    /// Status that the caller got; none before the response was handed over.
    status: Option<u16>,
    outcome: &'static str,
}

impl Relay {
    /// Creates a relay for a response of the ticket's endpoint.
    pub(super) fn new(call: &Arc<Call>, received: Received, resume_after: Option<u64>) -> Self {
        let (head, body) = received.response.into_parts();
        Self {
            call: Arc::clone(call),
            head,
            ticket: received.ticket,
            line: Some(received.line),
            body: Some(body),
            events: EventSplitter::default(),
            ready: VecDeque::new(),
            last: resume_after,
            started: false,
            status: None,
            outcome: "caller_gone",
        }
    }

    /// Waits for the first event and returns the response.
    pub(super) async fn open(mut self) -> Opened {
        if let Err(why) = self.first().await {
            self.ticket.unanswered();
            return Opened::Failed(Failure::new(Verdict::MayHaveRun, why));
        }
        let status = self.head.status;
        self.status = Some(status.as_u16());
        self.call.tries().arrived += 1;
        let mut headers = self.call.node.dialect.response_headers(&self.head.headers);
        headers.remove(header::CONTENT_LENGTH);
        let stream = futures::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
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

    /// Waits until the first event, or the end, of this endpoint's response has arrived.
    async fn first(&mut self) -> Result<(), String> {
        loop {
            match self.part().await {
                Part::Data(bytes) => {
                    self.take(&bytes)?;
                    if !self.ready.is_empty() {
                        return Ok(());
                    }
                }
                Part::End if self.events.has_partial() => {
                    return Err("ended within an event".to_owned());
                }
                Part::End => {
                    self.complete();
                    return Ok(());
                }
                Part::Broken(why) => return Err(why),
                Part::Late => return Err("no event in time".to_owned()),
            }
        }
    }

    /// Returns the next events for the caller.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(bytes) = self.flush() {
                return Some(Ok(bytes));
            }
            self.body.as_ref()?;
            let why = match self.part().await {
                Part::Data(bytes) => match self.take(&bytes) {
                    Ok(()) => continue,
                    Err(why) => why,
                },
                Part::End if !self.events.has_partial() => {
                    self.complete();
                    continue;
                }
                Part::End => "ended within an event".to_owned(),
                Part::Broken(why) => why,
                Part::Late => return Some(Err(self.cut("late", "the time is over"))),
            };
            self.ticket.unanswered();
            if let Err(error) = self.resume(why).await {
                return Some(Err(error));
            }
        }
    }

    /// Returns all events that have arrived.
    fn flush(&mut self) -> Option<Bytes> {
        let first = self.ready.pop_front()?;
        if self.ready.is_empty() {
            return Some(first);
        }
        let mut bytes = BytesMut::from(&first[..]);
        for event in self.ready.drain(..) {
            bytes.extend_from_slice(&event);
        }
        Some(bytes.freeze())
    }

    /// Takes in bytes of the endpoint.
    fn take(&mut self, bytes: &[u8]) -> Result<(), String> {
        if !self.events.push(bytes) {
            return Err("an event is too large".to_owned());
        }
        for event in self.events.by_ref() {
            if let (Some(id), Some(last)) = (event.id, self.last) {
                if id <= last {
                    return Err(format!("event {id} after {last}"));
                }
                if id > last + 1 {
                    return Err(format!("event {id} is not next to {last}"));
                }
            }
            self.last = event.id.or(self.last);
            self.ready.push_back(event.bytes);
        }
        if !self.ready.is_empty() {
            self.ticket.heard();
            if !self.started {
                self.started = true;
                self.ticket.first_event();
                self.call.first_event();
                self.call.node.record_start(self.call.account.as_ref());
            }
        }
        Ok(())
    }

    fn complete(&mut self) {
        self.body = None;
        self.outcome = "streamed";
        if let Some(line) = self.line.take() {
            self.call.node.upstream.keep(line);
        }
    }

    fn cut(&mut self, outcome: &'static str, why: &str) -> io::Error {
        self.body = None;
        self.line = None;
        self.outcome = outcome;
        why.clone_into(&mut self.call.tries().why);
        io::Error::other(why.to_owned())
    }

    /// Goes on at another endpoint after the last event, or ends the response as incomplete.
    async fn resume(&mut self, why: String) -> io::Result<()> {
        // The former endpoint has to stop before another one goes on.
        self.body = None;
        self.line = None;
        self.call.tries().why = why;
        loop {
            let allowed = self.call.route.retry_policy == RetryPolicy::Resume;
            let Some(ticket) = allowed.then(|| place(&self.call)).flatten() else {
                let why = std::mem::take(&mut self.call.tries().why);
                return Err(self.cut("cut", &why));
            };
            slog::info!(self.call.node.log, "stream resumes"; "id" => self.call.id(),
                "endpoint" => &*ticket.endpoint, "after" => self.last,
                "why" => &self.call.tries().why);
            match self.reopen(ticket).await {
                Ok(()) => return Ok(()),
                Err(failure) => self.call.tries().failed(failure),
            }
        }
    }

    /// Takes over the response of another endpoint to the rest of the request.
    async fn reopen(&mut self, ticket: Ticket) -> Result<(), Failure> {
        let received = dispatch(&self.call, ticket, self.last).await?;
        let status = received.response.status();
        if !status.is_success() {
            let why = format!("the endpoint failed with {status}");
            return Err(Failure::new(Verdict::Ran, why));
        }
        self.ticket = received.ticket;
        self.line = Some(received.line);
        self.body = Some(received.response.into_body());
        self.events = EventSplitter::default();
        self.started = false;
        self.call.tries().arrived += 1;
        Ok(())
    }

    /// Waits for the next part of the endpoint's response.
    async fn part(&mut self) -> Part {
        let now = self.call.node.clock.now();
        let left = self.call.left(now);
        let Some(body) = self.body.as_mut() else {
            return Part::End;
        };
        let resumes = self.call.route.retry_policy == RetryPolicy::Resume;
        let stall = stall(&self.call);
        tokio::select! {
            frame = body.frame() => match frame {
                None => Part::End,
                Some(Ok(frame)) => Part::Data(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => Part::Broken(format!("broken off: {error}")),
            },
            () = sleep(left.into()) => Part::Late,
            () = sleep(stall.into()), if resumes && self.started => {
                Part::Broken(format!("no event for {stall}"))
            }
            why = self.ticket.silent(true, left), if resumes && !self.started => {
                Part::Broken(why)
            }
            why = self.ticket.gone(), if resumes && self.started => Part::Broken(why),
        }
    }
}

fn stall(call: &Call) -> Millis {
    call.route
        .gap_target
        .map_or(STALL, |gap| Millis(gap.0 * STALL_PAUSES))
}

impl Drop for Relay {
    fn drop(&mut self) {
        // Before the response was handed over, the request goes on elsewhere or its caller left.
        if self.status.is_some() {
            self.call.report(self.status, self.outcome);
        }
    }
}
