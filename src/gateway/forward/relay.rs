use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::http::response::Parts;
use hyper::{Response, header};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::gateway::{Body, RetryPolicy};
use crate::verdict::Verdict;

use super::call::Call;
use super::dispatch::Received;
use super::failure::Failure;
use super::obstacle::Obstacle;
use super::progress::Progress;
use super::replacement::{LOOK_INTERVAL, Replacement, until_reserved};
use super::reservation::Reservation;
use super::source::{Next, Source, Stage, Step};

/// Longest time for which a silent endpoint keeps a stream after the next one was asked to take it.
/// Most endpoints accept or decline within a few ms; for longer, two of them might work on the stream.
const MAX_OVERLAP: Millis = Millis(300);

/// The result of opening a stream.
pub(super) enum Opened {
    /// The response for the caller, whose first event has arrived.
    Stream(Response<Body>),
    /// The stream failed before its first event.
    Failed(Failure),
}

/// What happened first while a silent endpoint keeps a stream that another one is asked to take.
enum Overlap {
    /// The silent endpoint went on, or broke off.
    Step(Step),
    /// The other endpoint accepted the stream, or did not.
    Asked(Box<Result<(Source, Parts), Failure>>),
    /// Neither.
    Expired,
}

/// Relays an event stream from an endpoint to the caller, in complete events.
///
/// When the endpoint fails and the route allows it, the stream resumes at another endpoint after
/// the last complete event. Dropping the relay closes the connection to the endpoint, which cancels
/// its work.
pub(super) struct Relay {
    call: Arc<Call>,
    /// Head of the response for the caller, of the first endpoint that sent an event.
    head: Parts,
    /// The endpoint that sends the stream; `None` at its end.
    source: Option<Source>,
    progress: Progress,
    /// Status sent to the caller; `None` until the response is returned.
    status: Option<u16>,
    outcome: &'static str,
}

impl Relay {
    /// Creates a relay for a response whose head was received.
    pub(super) fn new(call: &Arc<Call>, received: Received, resume_after: Option<u64>) -> Self {
        let (source, head) = Source::new(call, received, Stage::Unanswered);
        Self {
            call: Arc::clone(call),
            head,
            source: Some(source),
            progress: Progress::start(resume_after, call.node.clock.now()),
            status: None,
            outcome: "caller_gone",
        }
    }

    /// Waits for the first event and returns the response for the caller.
    pub(super) async fn open(mut self) -> Opened {
        if let Err(failure) = self.wait_for_first_event().await {
            if let Some(source) = &mut self.source {
                source.reservation.record_no_response();
            }
            return Opened::Failed(failure);
        }
        let status = self.head.status;
        self.status = Some(status.as_u16());
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
        while !self.has_started() {
            match self.next().await {
                Next::Step(Step::Received(_)) => {}
                Next::Step(Step::End) => {
                    self.complete();
                    return Ok(());
                }
                Next::Step(Step::Failed(reason)) => return Err(failed(reason)),
                Next::Replaced(replacement) => self.hand_over(replacement).await?,
                Next::DeadlineExceeded => {
                    return Err(failed("no event before the deadline".to_owned()));
                }
            }
        }
        Ok(())
    }

    /// Returns whether the current endpoint sent an event.
    fn has_started(&self) -> bool {
        self.source.as_ref().is_some_and(Source::has_started)
    }

    /// Returns the next bytes for the caller, resuming elsewhere if the endpoint fails; `None` at
    /// the end of the stream.
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(bytes) = self.progress.take_pending() {
                return Some(Ok(bytes));
            }
            self.source.as_ref()?;
            let failure = match self.next().await {
                Next::Step(Step::Received(_)) => continue,
                Next::Step(Step::End) => {
                    self.complete();
                    continue;
                }
                Next::Step(Step::Failed(reason)) => Failure::new(Verdict::MayHaveRun, reason),
                Next::Replaced(replacement) => match self.hand_over(replacement).await {
                    Ok(()) => continue,
                    Err(failure) => failure,
                },
                Next::DeadlineExceeded => {
                    return Some(Err(self.abort("late", "the deadline has passed")));
                }
            };
            if let Err(error) = self.resume(failure).await {
                return Some(Err(error));
            }
        }
    }

    /// Waits for what happens next to the stream.
    async fn next(&mut self) -> Next {
        match &mut self.source {
            Some(source) => source.next(&mut self.progress).await,
            None => Next::Step(Step::End),
        }
    }

    /// Ends the relay after the whole stream.
    fn complete(&mut self) {
        self.outcome = "streamed";
        if let Some(source) = self.source.take() {
            source.release();
        }
    }

    /// Ends the relay before the end of the stream; returns the error that truncates the response.
    fn abort(&mut self, outcome: &'static str, reason: &str) -> io::Error {
        self.source = None;
        self.outcome = outcome;
        reason.clone_into(&mut self.call.attempts().reason);
        io::Error::other(reason.to_owned())
    }

    /// Moves the stream from its silent endpoint to another one.
    ///
    /// It stays where it is if that endpoint does not accept it, or if its own sends an event before.
    ///
    /// # Errors
    ///
    /// Fails if the silent endpoint was left and the other one does not accept the stream.
    async fn hand_over(&mut self, replacement: Replacement) -> Result<(), Failure> {
        let call = Arc::clone(&self.call);
        let reason = replacement.reason;
        self.log_move(&replacement.reservation, &reason);
        let after = self.progress.last_event;
        let asking = Source::attach(&call, *replacement.reservation, after, self.stage());
        tokio::pin!(asking);
        let overlap = match &mut self.source {
            Some(source) => tokio::select! {
                biased;
                step = source.until_event(&mut self.progress) => Overlap::Step(step),
                asked = &mut asking => Overlap::Asked(Box::new(asked)),
                () = sleep(MAX_OVERLAP.into()) => Overlap::Expired,
            },
            None => Overlap::Expired,
        };
        let (left_for, asked) = match overlap {
            Overlap::Step(Step::Received(_) | Step::End) => {
                self.log_stay("the endpoint goes on");
                return Ok(());
            }
            Overlap::Step(Step::Failed(reason)) => (reason, None),
            Overlap::Expired => (reason, None),
            Overlap::Asked(asked) => match *asked {
                Ok(accepted) => (reason, Some(accepted)),
                Err(failure) => {
                    self.stay(failure);
                    return Ok(());
                }
            },
        };
        self.leave(Failure::new(Verdict::MayHaveRun, left_for));
        let accepted = match asked {
            Some(accepted) => accepted,
            None => asking.await?,
        };
        self.go_on_at(accepted);
        Ok(())
    }

    /// Resumes after a failure at another endpoint as soon as one may take the stream; if none may or
    /// can do so in time, ends the response as incomplete.
    async fn resume(&mut self, mut failure: Failure) -> io::Result<()> {
        loop {
            let next = failure.next.take();
            let reason = failure.reason.clone();
            // Closing the connection stops the previous endpoint before another one resumes.
            self.leave(failure);
            if self.call.route.retry_policy != RetryPolicy::Resume {
                return Err(self.abort("cut", &reason));
            }
            let reserved = match next {
                Some(next) => Ok(*next),
                None => until_reserved(&self.call).await,
            };
            let reservation = match reserved {
                Ok(reservation) => reservation,
                Err(obstacle) => return Err(self.cut(&reason, obstacle)),
            };
            self.log_move(&reservation, &reason);
            let after = self.progress.last_event;
            match Source::attach(&self.call, reservation, after, Stage::Answered).await {
                Ok(accepted) => {
                    self.go_on_at(accepted);
                    return Ok(());
                }
                Err(next_failure) => failure = next_failure,
            }
        }
    }

    /// Ends the response as incomplete, since an obstacle rules out a further attempt after a failure.
    fn cut(&mut self, failure: &str, obstacle: Obstacle) -> io::Error {
        let outcome = if obstacle == Obstacle::Deadline {
            "late"
        } else {
            "cut"
        };
        self.abort(outcome, &format!("{failure}; {obstacle}"))
    }

    /// Closes the connection to the endpoint.
    fn leave(&mut self, failure: Failure) {
        if let Some(mut source) = self.source.take() {
            source.reservation.record_no_response();
        }
        self.call.attempts().record_failure(failure);
    }

    /// Leaves the stream at its endpoint after another one has not accepted it.
    fn stay(&mut self, failure: Failure) {
        self.log_stay(&failure.reason);
        self.call.attempts().record_failure(failure);
        let next_look = self.call.node.clock.now() + LOOK_INTERVAL;
        if let Some(source) = &mut self.source {
            source.reservation.next_look = next_look;
        }
    }

    /// Goes on with the response of an endpoint that has accepted the stream.
    fn go_on_at(&mut self, (source, head): (Source, Parts)) {
        self.source = Some(source);
        if self.status.is_none() {
            self.head = head;
        }
    }

    fn stage(&self) -> Stage {
        match self.status {
            Some(_) => Stage::Answered,
            None => Stage::Unanswered,
        }
    }

    fn log_move(&self, next: &Reservation, reason: &str) {
        slog::info!(self.call.node.log, "stream resumes"; "id" => self.call.id(),
            "endpoint" => &*next.endpoint, "after" => self.progress.last_event, "why" => reason);
    }

    fn log_stay(&self, reason: &str) {
        let endpoint = self.source.as_ref().map(|s| &*s.reservation.endpoint);
        slog::info!(self.call.node.log, "stream stays"; "id" => self.call.id(),
            "endpoint" => endpoint, "after" => self.progress.last_event, "why" => reason);
    }
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
