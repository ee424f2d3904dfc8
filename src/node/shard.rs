use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use crate::clock::Millis;
use crate::ledger::{self, Action, Digest, Effect, Key, NextStep, Projection};
use crate::log::writer::{Committer, Group};
use crate::log::{Health, Offset};

/// Maximum number of records of one shard that wait for an append, and of calls that wait for their
/// effect.
const QUEUE_LIMIT: usize = 4_096;

/// One `calls-<shard>` stream, as read by this node.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) number: u32,
    pub(super) committer: Committer<Action, Waiter>,
    projection: Mutex<Projection>,
    progress: watch::Sender<Offset>,
    health: Mutex<Health>,
    ready: AtomicBool,
}

/// A call that waits for the effect of its last record.
#[derive(Debug)]
pub(super) struct Waiter {
    key: Key,
    sender: oneshot::Sender<(u64, Effect)>,
}

/// Why the effect of a group of records is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppendError {
    /// The queue is full; nothing was appended.
    Full,
    /// The records have no effect and never will.
    Lost,
    /// The records may still take effect; the call no longer uses the right to send.
    TimedOut,
}

/// State of a shard for the dump.
#[derive(Debug, serde::Serialize)]
pub(super) struct Summary {
    stream: String,
    ready: bool,
    next: Offset,
    horizon: Millis,
    entries: usize,
    open: usize,
    queued: usize,
}

impl Shard {
    pub(super) fn new(number: u32, incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            number,
            committer: Committer::new(ledger::stream(number), incarnation, QUEUE_LIMIT),
            projection: Mutex::default(),
            progress: watch::Sender::default(),
            health: Mutex::default(),
            ready: AtomicBool::new(false),
        })
    }

    pub(super) fn projection(&self) -> MutexGuard<'_, Projection> {
        self.projection.lock().expect("projection lock")
    }

    pub(super) fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().expect("health lock")
    }

    /// Returns the state for the dump.
    pub(super) fn summary(&self) -> Summary {
        let projection = self.projection();
        Summary {
            stream: self.committer.stream().to_owned(),
            ready: self.is_ready(),
            next: projection.next_offset(),
            horizon: projection.horizon(),
            entries: projection.len(),
            open: projection.dispatchable().count(),
            queued: self.committer.queue().len(),
        }
    }

    /// Returns whether the shard has state and the log is expected to accept a record.
    pub(super) fn is_available(&self, now: Millis) -> bool {
        self.is_ready() && self.health().is_available(now)
    }

    /// Returns the next step for a key, if the shard has state.
    pub(super) fn next_step(&self, key: Key, digest: Digest) -> Option<NextStep> {
        self.is_ready()
            .then(|| NextStep::new(&self.projection(), key, digest))
    }
}

/// Appending records.
impl Shard {
    /// Appends a group and waits up to `limit` for the effect of its last record.
    pub(super) async fn append(
        &self,
        key: Key,
        group: Group<Action, Waiter>,
        limit: Millis,
    ) -> Result<(u64, Effect), AppendError> {
        let (sender, mut receiver) = oneshot::channel();
        if !self.committer.submit(group.waiter(Waiter { key, sender })) {
            return Err(AppendError::Full);
        }
        let Ok(outcome) = timeout(limit.into(), &mut receiver).await else {
            // An effect that arrived at the last moment is used; a later one finds the channel
            // closed, and the reader then releases the key.
            receiver.close();
            return receiver.try_recv().map_err(|_| AppendError::TimedOut);
        };
        outcome.map_err(|_| AppendError::Lost)
    }
}

/// State, as read from the stream.
impl Shard {
    /// Replaces the state, after a start or a gap.
    pub(super) fn restore(&self, projection: Projection) {
        let next = projection.next_offset();
        *self.projection() = projection;
        self.progress.send_replace(next);
    }

    /// Marks the state as usable or not.
    pub(super) fn set_ready(&self, ready: bool) {
        if self.ready.swap(ready, Ordering::AcqRel) != ready {
            self.progress.send_modify(|_| ());
        }
    }

    /// Returns whether the state is usable.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Waits up to `limit` for a usable state, unless the log service fails.
    pub(super) async fn wait_ready(&self, limit: Millis) {
        let mut progress = self.progress.subscribe();
        let ready = async {
            while !self.is_ready() && !self.health().is_failing() {
                if progress.changed().await.is_err() {
                    return;
                }
            }
        };
        // The caller checks the state in either case.
        let _ = timeout(limit.into(), ready).await;
    }

    /// Applies records and notifies the calls that wait for them; returns the number of
    /// checkpoints.
    pub(super) fn apply(&self, records: &[crate::log::Entry]) -> usize {
        let mut checkpoints = 0;
        let mut projection = self.projection();
        let incarnation = self.committer.queue().incarnation();
        for record in records {
            let applied = projection.apply(record.offset, &record.data);
            checkpoints += usize::from(applied.effect == Effect::Checkpoint);
            if let Some(writer) = applied.writer
                && writer.incarnation == incarnation
            {
                self.resolve(writer.sequence, applied.effect);
            }
        }
        let next = projection.next_offset();
        drop(projection);
        self.progress.send_replace(next);
        checkpoints
    }

    /// Notifies the call that waits for a record of this node of its effect.
    ///
    /// A dispatch record that took effect after its call timed out is released, because no node
    /// sends the call.
    fn resolve(&self, sequence: u64, effect: Effect) {
        let Some(waiter) = self.committer.queue().confirm(sequence) else {
            return;
        };
        let key = waiter.key;
        if waiter.sender.send((sequence, effect)).is_err() && effect.permits_sending() {
            metrics::counter!("almondpath_call_releases_total").increment(1);
            let release = Action::Release {
                key,
                dispatch: sequence,
            };
            self.committer
                .submit_unbounded(Group::default().durable(release));
        }
    }

    /// Waits up to `limit` until no other attempt holds the key.
    pub(super) async fn wait_for_release(&self, key: Key, digest: Digest, limit: Millis) {
        let mut progress = self.progress.subscribe();
        let released = async {
            while let Some(NextStep::Await(_)) = self.next_step(key, digest) {
                if progress.changed().await.is_err() {
                    return;
                }
            }
        };
        // The caller checks the state again in either case.
        let _ = timeout(limit.into(), released).await;
    }
}
