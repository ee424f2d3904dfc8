use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock::Millis;
use crate::config::Class;
use crate::endpoint::{Generate, Key};
use crate::error::{Error, ErrorKind};
use crate::retry::{Attempt, Decision};
use crate::rollout::Timing;
use crate::stream::{Chunk, Entry, Phase, Source};

use super::Node;
use super::dispatch::{Criteria, Permit, Reservation};
use super::engine::{EngineEvent, EngineStream};
use super::rollouts::{RETRY_DRAW, outcome, version_draw};
use super::token_interval::TokenInterval;

/// Consecutive attempts without a single token after which a request fails; a prompt that engines
/// can't serve would otherwise occupy them until its deadline.
const MAX_FAILURES: u32 = 5;

/// Consecutive new connections without an event after which the engine of a stream that had tokens
/// counts as failed.
const MAX_SILENT_CONNECTIONS: u32 = 3;

/// Like [`MAX_SILENT_CONNECTIONS`], for a stream without tokens, which may wait in the engine's
/// queue.
const MAX_SILENT_CONNECTIONS_QUEUED: u32 = 30;

/// Pause between two attempts to start a stream.
const RETRY_PAUSE: Millis = Millis(50);

/// Pause before the next attempt when the retry budget is spent.
const OVER_BUDGET_PAUSE: Millis = Millis(500);

/// Time between two checks of the engine's state while no event arrives.
const CHECK_INTERVAL: Millis = Millis(100);

/// Why reading a stream from an engine ended.
pub(super) enum StreamEnd {
    /// The response is complete.
    Done,
    /// Nothing arrived before the timeout, or the connection broke.
    Lost(Error),
    /// The engine does not continue the stream.
    Failed(Error),
    /// The engine's host is leaving, and the stream has to migrate.
    Leaving,
}

/// Generates one response, on as many engines as necessary.
pub(super) struct Driver {
    pub(super) node: Arc<Node>,
    pub(super) entry: Arc<Entry>,
    pub(super) endpoint: Option<Key>,
    reservation: Option<Reservation>,
    /// Pause before the next attempt.
    pause: Millis,
    /// Endpoints that failed for this request; chosen again only when no other is left.
    pub(super) failed_endpoints: Vec<Key>,
    pub(super) token_interval: TokenInterval,
    /// Whether an engine has prefilled the prompt of this request before.
    pub(super) prefilled: bool,
    /// The endpoint that is leaving, and when this was first seen.
    pub(super) leaving_since: Option<(Key, Millis)>,
    failures: u32,
    silent_connections: u32,
    timing: Timing,
}

/// Spawns the task that generates a response; it holds `permit` until it ends.
pub(super) fn spawn(node: &Arc<Node>, entry: Arc<Entry>, mut permit: Option<Permit>) {
    let driver = Driver {
        node: Arc::clone(node),
        endpoint: None,
        reservation: None,
        pause: Millis::ZERO,
        failed_endpoints: Vec::new(),
        token_interval: TokenInterval::default(),
        prefilled: entry.attempt() > 0,
        leaving_since: None,
        failures: 0,
        silent_connections: 0,
        timing: Timing::start(node.clock.now()),
        entry,
    };
    tokio::spawn(async move {
        let entry = Arc::clone(&driver.entry);
        let succeeded = driver.run().await;
        if let Some(permit) = &mut permit
            && succeeded
        {
            permit.succeeded(entry.len());
        }
        drop(permit);
    });
}

/// Running the response to its end.
impl Driver {
    /// Generates the response until it is complete, fails, is released or is abandoned; returns
    /// whether it succeeded.
    async fn run(mut self) -> bool {
        let entry = Arc::clone(&self.entry);
        let node = Arc::clone(&self.node);
        let remaining = entry.request().deadline - node.clock.wall();
        let result = tokio::select! {
            biased;
            () = entry.released() => None,
            result = self.generate() => Some(result),
            () = tokio::time::sleep(remaining.into()) => Some(Err(Error::may_have_run(
                ErrorKind::DeadlineExceeded,
                "the deadline has passed",
            ))),
            () = wait_abandoned(&entry, node.settings.streams.abandoned_ms) => Some(Err(
                Error::may_have_run(ErrorKind::NotFound, "no caller reads the response"),
            )),
        };
        self.clear_endpoint();
        let Some(result) = result else {
            return false;
        };
        let succeeded = result.is_ok();
        if result.is_err()
            && let Some(source) = entry.source()
        {
            metrics::counter!("almondpath_engine_streams_cancelled_total").increment(1);
            node.cancel(source);
        }
        entry.finish(
            result.map_or_else(Phase::Failed, |()| Phase::Done),
            node.clock.now(),
        );
        succeeded
    }

    /// Generates the response, with retries and migrations between engines.
    async fn generate(&mut self) -> Result<(), Error> {
        let mut stream = match self.entry.source() {
            Some(source) => self.attach(&source).await,
            None => None,
        };
        loop {
            let mut current = match stream.take() {
                Some(stream) => stream,
                None => self.start().await?,
            };
            let tokens_before = self.entry.len();
            let end = self.read_events(&mut current).await;
            if self.entry.len() > tokens_before {
                self.failures = 0;
                self.silent_connections = 0;
            }
            stream = match end {
                StreamEnd::Done => {
                    if let Some(key) = self.endpoint {
                        self.record_evidence(key, None);
                    }
                    return Ok(());
                }
                StreamEnd::Lost(error) => self.reconnect(error).await?,
                StreamEnd::Failed(error) => {
                    self.record_failure(error)?;
                    None
                }
                StreamEnd::Leaving => self.migrate(current).await,
            };
        }
    }

    /// Reads events from one connection until the stream ends.
    pub(super) async fn read_events(&mut self, stream: &mut EngineStream) -> StreamEnd {
        let stall_timeout = self.node.settings.stall_ms;
        let mut last_event = self.node.clock.now();
        loop {
            if self.must_migrate() {
                return StreamEnd::Leaving;
            }
            let Ok(event) = timeout(CHECK_INTERVAL.into(), stream.next()).await else {
                if self.node.clock.now() - last_event >= stall_timeout {
                    return StreamEnd::Lost(Error::may_have_run(
                        ErrorKind::EndpointFailed,
                        format!("no event from {} for {stall_timeout}", stream.address),
                    ));
                }
                continue;
            };
            last_event = self.node.clock.now();
            match event {
                EngineEvent::Start(start) => {
                    if let Some(reservation) = &mut self.reservation {
                        reservation.started(start.cached_tokens);
                    }
                    self.started(stream, start.handle, start.prefill_tokens);
                }
                EngineEvent::Token(token) => {
                    self.token_interval.record(last_event);
                    self.timing.record_token(last_event);
                    if let Some(reservation) = &mut self.reservation {
                        reservation.first_token();
                    }
                    self.entry.push(&Chunk {
                        attempt: stream.attempt,
                        offset: token.offset,
                        text: token.text,
                    });
                }
                EngineEvent::Done => {
                    if let Some(reservation) = &mut self.reservation {
                        reservation.succeeded();
                    }
                    return StreamEnd::Done;
                }
                EngineEvent::Failed(error) => return StreamEnd::Failed(error),
                EngineEvent::Disconnected(error) => return StreamEnd::Lost(error),
            }
        }
    }

    /// Records that an engine has started to generate, and how many prompt tokens it prefilled.
    fn started(&mut self, stream: &EngineStream, handle: Arc<str>, prefill_tokens: u32) {
        let tokens = u64::from(prefill_tokens);
        metrics::counter!("almondpath_prefill_tokens_total").increment(tokens);
        if self.prefilled {
            metrics::counter!("almondpath_recomputed_tokens_total").increment(tokens);
        }
        self.prefilled = true;
        self.token_interval.reset();
        self.entry.set_source(Some(Source {
            address: stream.address,
            handle,
        }));
    }
}

/// Attempts.
impl Driver {
    /// Starts the next attempt on an endpoint; waits while none is available.
    async fn start(&mut self) -> Result<EngineStream, Error> {
        loop {
            let pause = std::mem::take(&mut self.pause);
            // Even a timer of zero takes up to a millisecond.
            if pause > Millis::ZERO {
                tokio::time::sleep(pause.into()).await;
            }
            if let Some((key, address)) = self.choose() {
                if self.entry.attempt() == 0 {
                    self.node
                        .record_first_attempt(&self.entry.request().account, key);
                }
                let request = self.next_attempt();
                self.timing = Timing::start(self.node.clock.now());
                // Counted from here on, because the engine may queue the request before it
                // responds.
                let reservation = self.reserve(key);
                match self.node.generate(address, &request).await {
                    Ok(stream) => {
                        self.clear_endpoint();
                        self.endpoint = Some(key);
                        self.reservation = Some(reservation);
                        return Ok(stream);
                    }
                    Err(error) => {
                        self.failed_endpoints.push(key);
                        self.record_evidence(key, Some(&error));
                        self.record_failure(error)?;
                    }
                }
            }
            tokio::time::sleep(RETRY_PAUSE.into()).await;
        }
    }

    /// Chooses the endpoint of the next attempt.
    pub(super) fn choose(&mut self) -> Option<(Key, std::net::SocketAddr)> {
        let draw = if self.entry.attempt() == 0 {
            version_draw(self.entry.request().id.as_bytes())
        } else {
            RETRY_DRAW
        };
        let chosen = self
            .node
            .choose(&self.criteria(&self.failed_endpoints, draw));
        if chosen.is_none() {
            self.failed_endpoints.clear();
        }
        chosen.map(|chosen| (chosen.key, chosen.address))
    }

    fn criteria<'a>(&'a self, exclude: &'a [Key], draw: f64) -> Criteria<'a> {
        let request = self.entry.request();
        Criteria {
            service: &request.service,
            class: if request.priority == 0 {
                Class::Interactive
            } else {
                Class::Long
            },
            prompt: &request.prompt,
            exclude,
            draw,
        }
    }

    fn reserve(&self, key: Key) -> Reservation {
        self.node.reserve(key, &self.criteria(&[], RETRY_DRAW))
    }

    /// Begins the next attempt and returns the request to send to its engine.
    fn next_attempt(&self) -> Generate {
        let request = self.entry.request();
        self.entry.set_source(None);
        let attempt = self.entry.begin_attempt();
        Generate {
            request_id: request.id,
            attempt,
            prompt: Arc::clone(&request.prompt),
            generated: self.entry.texts(),
            max_tokens: request.max_tokens,
            priority: request.priority,
        }
    }

    /// Opens a new connection to the same stream; returns `None` when the engine counts as failed.
    async fn reconnect(&mut self, error: Error) -> Result<Option<EngineStream>, Error> {
        metrics::counter!("almondpath_engine_connections_lost_total").increment(1);
        self.silent_connections += 1;
        let limit = if self.entry.is_empty() {
            MAX_SILENT_CONNECTIONS_QUEUED
        } else {
            MAX_SILENT_CONNECTIONS
        };
        if let Some(source) = self.entry.source() {
            if self.silent_connections <= limit
                && let Some(stream) = self.attach(&source).await
            {
                return Ok(Some(stream));
            }
            self.node.cancel(source);
        }
        self.record_failure(error)?;
        Ok(None)
    }

    /// Attaches to the stream at its engine again, after the tokens that are stored here.
    async fn attach(&mut self, source: &Source) -> Option<EngineStream> {
        let attempt = self.entry.attempt();
        let stream = self
            .node
            .attach(source, self.entry.len(), attempt)
            .await
            .ok()?;
        metrics::counter!("almondpath_engine_streams_reattached_total").increment(1);
        if self.endpoint.is_none()
            && let Some(key) = self.node.endpoint_at(source.address)
        {
            self.set_endpoint(key);
        }
        Some(stream)
    }

    /// Records a failed attempt and leaves its endpoint; fails when the request has failed too
    /// often.
    fn record_failure(&mut self, error: Error) -> Result<(), Error> {
        metrics::counter!("almondpath_attempt_failures_total").increment(1);
        if let Some(key) = self.endpoint {
            self.failed_endpoints.push(key);
            self.record_evidence(key, Some(&error));
        }
        self.clear_endpoint();
        self.silent_connections = 0;
        // A failure to reach any engine is not evidence against the request itself.
        if error.verdict() != crate::verdict::Verdict::NotRun {
            self.failures += 1;
        }
        if self.failures >= MAX_FAILURES {
            return Err(error);
        }
        self.schedule_retry(error)
    }

    /// Sets the pause before the next attempt; fails when the deadline leaves no time for one.
    ///
    /// An exhausted retry budget does not fail an accepted request, but slows its attempts down.
    fn schedule_retry(&mut self, error: Error) -> Result<(), Error> {
        let Some((endpoint, _)) = self.choose() else {
            return Ok(());
        };
        let request = self.entry.request();
        let now = self.node.clock.now();
        let decision = self.node.retry(&Attempt {
            account: &request.account,
            endpoint,
            attempts: self.failures.max(1),
            idempotent: true,
            verdict: error.verdict(),
            expected: Millis::ZERO,
            deadline: now + (request.deadline - self.node.clock.wall()),
        });
        self.pause = match decision {
            Decision::After(delay) => delay,
            Decision::Deadline => return Err(error),
            Decision::Budget | Decision::Attempts | Decision::NotIdempotent => OVER_BUDGET_PAUSE,
        };
        Ok(())
    }

    /// Records the result of the attempt as evidence about the endpoint's version.
    fn record_evidence(&self, key: Key, error: Option<&Error>) {
        let outcome = outcome(&self.timing, error);
        self.node
            .record_evidence(key, &self.entry.request().route, outcome);
    }

    /// Moves the request to an endpoint and counts it there.
    pub(super) fn set_endpoint(&mut self, key: Key) {
        self.clear_endpoint();
        self.reservation = Some(self.reserve(key));
        self.endpoint = Some(key);
    }

    /// Stops counting the request at its endpoint.
    pub(super) fn clear_endpoint(&mut self) {
        self.endpoint = None;
        self.reservation = None;
    }
}

/// Waits until no caller has read the response for `limit`.
async fn wait_abandoned(entry: &Entry, limit: Millis) {
    let mut followers = entry.watch_followers();
    loop {
        // The sender lives as long as the entry.
        let _ = followers.wait_for(|count| *count == 0).await;
        let returned = timeout(
            Duration::from(limit),
            followers.wait_for(|count| *count > 0),
        );
        if returned.await.is_err() {
            return;
        }
    }
}
