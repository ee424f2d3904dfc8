use std::sync::Arc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::endpoint::{Generate, Key};
use crate::error::{Error, ErrorKind};
use crate::stream::{Chunk, Entry, Phase, Source};

use super::Node;
use super::engine::{Feed, Item};
use super::pace::Pace;
use super::rollouts::{RETRY, Timing, draw};

/// Attempts in a row without a single token after which a request fails; a prompt that engines
/// can't serve would otherwise occupy them until its deadline.
const MAX_FAILURES: u32 = 5;

/// Fresh connections in a row on which a stream that had begun stays silent before its engine
/// counts as failed.
const MAX_SILENT: u32 = 3;

/// As [`MAX_SILENT`], for a stream that has no token yet: it may wait in the engine's queue.
const MAX_SILENT_QUEUED: u32 = 30;

/// Pause before another try after a failure.
const RETRY_PAUSE: Millis = Millis(50);

/// Time between two looks at the engine's state while no token arrives.
const LOOK_INTERVAL: Millis = Millis(100);

/// Why a connection to an engine was left.
pub(super) enum End {
    Done,
    /// Nothing arrived within the bound, or the connection broke.
    Lost(Error),
    /// The engine does not continue the stream.
    Failed(Error),
    /// The engine's host is leaving and the stream has to move.
    Leaving,
}

/// The task that generates one response, through as many engines as necessary.
pub(super) struct Driver {
    pub(super) node: Arc<Node>,
    pub(super) entry: Arc<Entry>,
    pub(super) endpoint: Option<Key>,
    /// Endpoints that failed this request; chosen again only when there is no other.
    pub(super) avoid: Vec<Key>,
    pub(super) pace: Pace,
    /// Whether an engine has computed the prompt for this request before.
    pub(super) computed: bool,
    /// The endpoint that is leaving and when this was first seen.
    pub(super) noticed: Option<(Key, Millis)>,
    failures: u32,
    silent: u32,
    timing: Timing,
}

/// Starts the task that generates a response; `permit` is kept until its end.
pub(super) fn spawn(node: &Arc<Node>, entry: Arc<Entry>, permit: Option<OwnedSemaphorePermit>) {
    let driver = Driver {
        node: Arc::clone(node),
        endpoint: None,
        avoid: Vec::new(),
        pace: Pace::default(),
        computed: entry.attempt() > 0,
        noticed: None,
        failures: 0,
        silent: 0,
        timing: Timing::start(node.clock.now()),
        entry,
    };
    tokio::spawn(async move {
        driver.run().await;
        drop(permit);
    });
}

/// The life of the response.
impl Driver {
    async fn run(mut self) {
        let entry = Arc::clone(&self.entry);
        let node = Arc::clone(&self.node);
        let left = entry.work().deadline - node.clock.wall();
        let result = tokio::select! {
            biased;
            () = entry.released() => None,
            result = self.generate() => Some(result),
            () = tokio::time::sleep(left.into()) => Some(Err(Error::may_have_run(
                ErrorKind::DeadlineExceeded,
                "the deadline has passed",
            ))),
            () = abandoned(&entry, node.settings.streams.abandoned_ms) => Some(Err(
                Error::may_have_run(ErrorKind::NotFound, "no caller reads the response"),
            )),
        };
        self.leave();
        let Some(result) = result else {
            return;
        };
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
    }

    async fn generate(&mut self) -> Result<(), Error> {
        let mut feed = match self.entry.source() {
            Some(source) => self.attach(&source).await,
            None => None,
        };
        loop {
            let mut current = match feed.take() {
                Some(feed) => feed,
                None => self.start().await?,
            };
            let before = self.entry.len();
            let end = self.pump(&mut current).await;
            if self.entry.len() > before {
                self.failures = 0;
                self.silent = 0;
            }
            feed = match end {
                End::Done => {
                    if let Some(key) = self.endpoint {
                        self.observe(key, None);
                    }
                    return Ok(());
                }
                End::Lost(error) => self.recover(error).await?,
                End::Failed(error) => {
                    self.fail(error)?;
                    None
                }
                End::Leaving => self.move_away(current).await,
            };
        }
    }

    /// Reads one connection until it ends.
    pub(super) async fn pump(&mut self, feed: &mut Feed) -> End {
        let bound = self.node.settings.stall_ms;
        let mut heard = self.node.clock.now();
        loop {
            if self.must_move() {
                return End::Leaving;
            }
            let Ok(item) = timeout(LOOK_INTERVAL.into(), feed.next()).await else {
                if self.node.clock.now() - heard >= bound {
                    return End::Lost(Error::may_have_run(
                        ErrorKind::EndpointFailed,
                        format!("nothing from {} for {bound}", feed.address),
                    ));
                }
                continue;
            };
            heard = self.node.clock.now();
            match item {
                Item::Start(start) => self.started(feed, start.handle, start.prefill_tokens),
                Item::Token(token) => {
                    self.pace.token(heard);
                    self.timing.token(heard);
                    self.entry.push(&Chunk {
                        attempt: feed.attempt,
                        offset: token.offset,
                        text: token.text,
                    });
                }
                Item::Done => return End::Done,
                Item::Failed(error) => return End::Failed(error),
                Item::Cut(error) => return End::Lost(error),
            }
        }
    }

    fn started(&mut self, feed: &Feed, handle: Arc<str>, prefill_tokens: u32) {
        let tokens = u64::from(prefill_tokens);
        metrics::counter!("almondpath_prefill_tokens_total").increment(tokens);
        if self.computed {
            metrics::counter!("almondpath_recomputed_tokens_total").increment(tokens);
        }
        self.computed = true;
        self.pace.reset();
        self.entry.set_source(Some(Source {
            address: feed.address,
            handle,
        }));
    }
}

/// Attempts.
impl Driver {
    /// Starts the next attempt on some endpoint; waits while there is none.
    async fn start(&mut self) -> Result<Feed, Error> {
        loop {
            if let Some((key, address)) = self.choose() {
                let order = self.order();
                self.timing = Timing::start(self.node.clock.now());
                match self.node.generate(address, &order).await {
                    Ok(feed) => {
                        self.enter(key);
                        return Ok(feed);
                    }
                    Err(error) => {
                        self.avoid.push(key);
                        self.observe(key, Some(&error));
                        self.fail(error)?;
                    }
                }
            }
            tokio::time::sleep(RETRY_PAUSE.into()).await;
        }
    }

    pub(super) fn choose(&mut self) -> Option<(Key, std::net::SocketAddr)> {
        let work = self.entry.work();
        let draw = if self.entry.attempt() == 0 {
            draw(work.id.as_bytes())
        } else {
            RETRY
        };
        let chosen = self.node.choose_except(&work.service, &self.avoid, draw);
        if chosen.is_none() {
            self.avoid.clear();
        }
        chosen
    }

    fn order(&self) -> Generate {
        let work = self.entry.work();
        self.entry.set_source(None);
        let attempt = self.entry.begin();
        Generate {
            request_id: work.id,
            attempt,
            prompt: Arc::clone(&work.prompt),
            generated: self.entry.texts(),
            max_tokens: work.max_tokens,
            priority: work.priority,
        }
    }

    /// Opens a fresh connection to the same stream; none when the engine has failed.
    async fn recover(&mut self, error: Error) -> Result<Option<Feed>, Error> {
        metrics::counter!("almondpath_engine_connections_lost_total").increment(1);
        self.silent += 1;
        let bound = if self.entry.is_empty() {
            MAX_SILENT_QUEUED
        } else {
            MAX_SILENT
        };
        if let Some(source) = self.entry.source() {
            if self.silent <= bound
                && let Some(feed) = self.attach(&source).await
            {
                return Ok(Some(feed));
            }
            self.node.cancel(source);
        }
        self.fail(error)?;
        Ok(None)
    }

    async fn attach(&mut self, source: &Source) -> Option<Feed> {
        let attempt = self.entry.attempt();
        let feed = self
            .node
            .attach(source, self.entry.len(), attempt)
            .await
            .ok()?;
        metrics::counter!("almondpath_engine_streams_reattached_total").increment(1);
        if self.endpoint.is_none()
            && let Some(key) = self.node.endpoint_at(source.address)
        {
            self.enter(key);
        }
        Some(feed)
    }

    /// Gives up the present endpoint; fails when the request has failed too often.
    fn fail(&mut self, error: Error) -> Result<(), Error> {
        metrics::counter!("almondpath_attempt_failures_total").increment(1);
        if let Some(key) = self.endpoint {
            self.avoid.push(key);
            self.observe(key, Some(&error));
        }
        self.leave();
        self.silent = 0;
        // A request that reached no engine says nothing about the request itself.
        if error.verdict() != crate::verdict::Verdict::NotRun {
            self.failures += 1;
        }
        if self.failures >= MAX_FAILURES {
            return Err(error);
        }
        Ok(())
    }

    /// Records what became of the attempt as evidence about the endpoint's version.
    fn observe(&self, key: Key, error: Option<&Error>) {
        let outcome = self.timing.outcome(error);
        self.node.observe(key, &self.entry.work().route, outcome);
    }

    pub(super) fn enter(&mut self, key: Key) {
        self.leave();
        self.node.count(key, true);
        self.endpoint = Some(key);
    }

    pub(super) fn leave(&mut self) {
        if let Some(key) = self.endpoint.take() {
            self.node.count(key, false);
        }
    }
}

/// Returns when no caller has read the response for `bound`.
async fn abandoned(entry: &Entry, bound: Millis) {
    let mut followers = entry.watch_followers();
    loop {
        // The sender lives as long as the entry.
        let _ = followers.wait_for(|count| *count == 0).await;
        let returned = timeout(
            Duration::from(bound),
            followers.wait_for(|count| *count > 0),
        );
        if returned.await.is_err() {
            return;
        }
    }
}
