use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Millis};
use crate::error::Error;
use crate::log::Service;
use crate::verdict::Verdict;

use super::{Encode, Group, Queue};

/// Number of records from which on no further group is added to an append.
const MAX_BATCH_RECORDS: usize = 256;

/// Size in bytes from which on no further group is added to an append.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Time within which a failed append is retried immediately: such a failure usually means that
/// the service has closed a pooled connection.
const IMMEDIATE_RETRY_WINDOW: Millis = Millis(250);

const FIRST_BACKOFF: Millis = Millis(50);
const MAX_BACKOFF: Millis = Millis(1_000);

/// Appends the records of a [`Queue`] to a stream, one append at a time.
#[derive(Debug)]
pub struct Committer<R, W> {
    stream: String,
    queue: Mutex<Queue<R, W>>,
    submitted: Notify,
}

impl<R, W> Committer<R, W>
where
    R: Encode,
{
    /// Creates a committer with an empty queue of at most `limit` records.
    #[must_use]
    pub fn new(stream: String, incarnation: u64, limit: usize) -> Self {
        Self {
            stream,
            queue: Mutex::new(Queue::new(incarnation, limit)),
            submitted: Notify::new(),
        }
    }

    /// Returns the stream's name.
    #[must_use]
    pub fn stream(&self) -> &str {
        &self.stream
    }

    /// Locks and returns the queue.
    pub fn queue(&self) -> MutexGuard<'_, Queue<R, W>> {
        self.queue.lock().expect("queue lock")
    }

    /// Adds a group to the queue; returns `false` if the queue is full.
    #[must_use]
    pub fn submit(&self, group: Group<R, W>) -> bool {
        let accepted = self.queue().submit(group).is_ok();
        self.submitted.notify_one();
        accepted
    }

    /// Adds a group to the queue even if it is full; only for groups that finish a call, whose
    /// number is bounded by that of the calls.
    pub fn submit_unbounded(&self, group: Group<R, W>) {
        self.queue().submit_unbounded(group);
        self.submitted.notify_one();
    }

    /// Appends submitted groups until `token` is cancelled.
    ///
    /// `interval` returns the time between the starts of two appends; `report` is called with
    /// whether an append succeeded. The effect of an append is known only from reading the stream.
    pub async fn run<S, I, F>(
        &self,
        service: &S,
        clock: &Clock,
        token: &CancellationToken,
        interval: I,
        report: F,
    ) where
        S: Service,
        I: Fn() -> Millis,
        F: Fn(bool),
    {
        let mut started_at = Millis::ZERO;
        let mut backoff = FIRST_BACKOFF;
        while self.wait_for_records(token).await {
            let delay = started_at + interval() - clock.now();
            tokio::time::sleep(delay.into()).await;
            started_at = clock.now();
            let succeeded = self.append(service, clock).await;
            report(succeeded);
            if succeeded {
                backoff = FIRST_BACKOFF;
            } else {
                tokio::time::sleep(jittered(backoff).into()).await;
                backoff = Millis((backoff.0 * 2).min(MAX_BACKOFF.0));
            }
        }
    }

    /// Waits until the queue is not empty; returns `false` if the token is cancelled.
    async fn wait_for_records(&self, token: &CancellationToken) -> bool {
        while self.queue().is_empty() {
            tokio::select! {
                () = token.cancelled() => return false,
                () = self.submitted.notified() => {}
            }
        }
        !token.is_cancelled()
    }

    /// Appends the next batch and returns whether that succeeded.
    async fn append<S>(&self, service: &S, clock: &Clock) -> bool
    where
        S: Service,
    {
        let batch = self
            .queue()
            .take_batch(clock.wall(), MAX_BATCH_RECORDS, MAX_BATCH_BYTES);
        let Some(batch) = batch else {
            return true;
        };
        let records = u64::try_from(batch.texts.len()).unwrap_or(u64::MAX);
        let result = self.send(service, clock, &batch.texts).await;
        match result {
            Ok(()) => {
                metrics::counter!("almondpath_log_appends_total").increment(1);
                metrics::counter!("almondpath_log_records_total").increment(records);
                true
            }
            Err(error) => {
                metrics::counter!("almondpath_log_append_failures_total").increment(1);
                if error.verdict() == Verdict::NotRun {
                    self.queue().append_rejected(batch);
                } else {
                    self.queue().append_failed(batch);
                }
                false
            }
        }
    }
}

impl<R, W> Committer<R, W> {
    /// Appends the texts, with one retry if the first attempt fails quickly.
    ///
    /// Both copies have the same sequence numbers, so that the second one has no effect if the
    /// first one has taken effect.
    async fn send<S>(&self, service: &S, clock: &Clock, texts: &[Arc<str>]) -> Result<(), Error>
    where
        S: Service,
    {
        let started_at = clock.now();
        let Err(first) = service.append(&self.stream, texts.to_vec()).await else {
            return Ok(());
        };
        if clock.now() - started_at > IMMEDIATE_RETRY_WINDOW {
            return Err(first);
        }
        match service.append(&self.stream, texts.to_vec()).await {
            Ok(_) => Ok(()),
            Err(second) => {
                let verdict = second.verdict().combine(first.verdict());
                Err(second.with_verdict(verdict))
            }
        }
    }
}

/// Returns a random time from half of the delay to all of it, so that nodes do not all retry at the
/// same time.
fn jittered(delay: Millis) -> Millis {
    Millis(rand::random_range(delay.0 / 2..=delay.0))
}
