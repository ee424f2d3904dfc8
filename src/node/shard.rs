use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use crate::clock::Millis;
use crate::ledger::{self, Action, Digest, Effect, Key, NextStep, Projection};
use crate::log::writer::{Committer, Group};
use crate::log::{Health, Offset};

/// Records of one shard that wait for an append, and calls that wait for an outcome.
const QUEUE_LIMIT: usize = 4_096;

/// One `calls-<shard>` stream as this node sees it.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) number: u32,
    pub(super) committer: Committer<Action, Waiter>,
    fold: Mutex<Projection>,
    progress: watch::Sender<Offset>,
    health: Mutex<Health>,
    ready: AtomicBool,
}

/// A call that waits for the outcome of its last record.
#[derive(Debug)]
pub(super) struct Waiter {
    key: Key,
    sender: oneshot::Sender<(u64, Effect)>,
}

/// Why the outcome of a group of records is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppendError {
    /// The queue is full; nothing was appended.
    Full,
    /// The records have no effect and never will.
    Lost,
    /// The records may still take effect; the permission to send is given up.
    TimedOut,
}

/// Numbers about a shard for the dump.
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
            fold: Mutex::default(),
            progress: watch::Sender::default(),
            health: Mutex::default(),
            ready: AtomicBool::new(false),
        })
    }

    pub(super) fn fold(&self) -> MutexGuard<'_, Projection> {
        self.fold.lock().expect("fold lock")
    }

    pub(super) fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().expect("health lock")
    }

    pub(super) fn summary(&self) -> Summary {
        let fold = self.fold();
        Summary {
            stream: self.committer.stream().to_owned(),
            ready: self.is_ready(),
            next: fold.next_offset(),
            horizon: fold.horizon(),
            entries: fold.len(),
            open: fold.dispatchable().count(),
            queued: self.committer.queue().len(),
        }
    }

    /// Returns whether the shard has state and the log can be expected to take a record.
    pub(super) fn available(&self, now: Millis) -> bool {
        self.is_ready() && self.health().available(now)
    }

    /// Returns what to do for a key, if the shard has state.
    pub(super) fn next_step(&self, key: Key, digest: Digest) -> Option<NextStep> {
        self.is_ready()
            .then(|| NextStep::new(&self.fold(), key, digest))
    }
}

/// Writing.
impl Shard {
    /// Appends a group and waits up to `bound` for the effect of its last record.
    pub(super) async fn append(
        &self,
        key: Key,
        group: Group<Action, Waiter>,
        bound: Millis,
    ) -> Result<(u64, Effect), AppendError> {
        let (sender, mut receiver) = oneshot::channel();
        if !self.committer.submit(group.waiter(Waiter { key, sender })) {
            return Err(AppendError::Full);
        }
        let Ok(outcome) = timeout(bound.into(), &mut receiver).await else {
            // An outcome that arrived at the last moment is used; a later one finds the channel
            // closed, and the reader then releases the key.
            receiver.close();
            return receiver.try_recv().map_err(|_| AppendError::TimedOut);
        };
        outcome.map_err(|_| AppendError::Lost)
    }
}

/// Reading.
impl Shard {
    /// Takes over a state, after a start or a gap.
    pub(super) fn restore(&self, fold: Projection) {
        let next = fold.next_offset();
        *self.fold() = fold;
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

    /// Waits up to `bound` for a usable state, unless the log service fails.
    pub(super) async fn wait_ready(&self, bound: Millis) {
        let mut progress = self.progress.subscribe();
        let ready = async {
            while !self.is_ready() && !self.health().failing() {
                if progress.changed().await.is_err() {
                    return;
                }
            }
        };
        // The caller looks at the state in either case.
        let _ = timeout(bound.into(), ready).await;
    }

    /// Applies records and tells the calls that wait for them; returns the number of checkpoints.
    pub(super) fn apply(&self, records: &[crate::log::Entry]) -> usize {
        let mut checkpoints = 0;
        let mut fold = self.fold();
        let incarnation = self.committer.queue().incarnation();
        for record in records {
            let applied = fold.apply(record.offset, &record.data);
            checkpoints += usize::from(applied.effect == Effect::Checkpoint);
            if let Some(writer) = applied.writer
                && writer.incarnation == incarnation
            {
                self.resolve(writer.sequence, applied.effect);
            }
        }
        let next = fold.next_offset();
        drop(fold);
        self.progress.send_replace(next);
        checkpoints
    }

    /// Tells the waiter of one's own record its effect.
    ///
    /// A dispatch that won although its call has given up is released, since nobody sends it.
    fn resolve(&self, sequence: u64, effect: Effect) {
        let Some(waiter) = self.committer.queue().read(sequence) else {
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
                .submit_always(Group::default().durable(release));
        }
    }

    /// Waits up to `bound` until no other attempt holds the key.
    pub(super) async fn wait_settled(&self, key: Key, digest: Digest, bound: Millis) {
        let mut progress = self.progress.subscribe();
        let settled = async {
            while let Some(NextStep::Await(_)) = self.next_step(key, digest) {
                if progress.changed().await.is_err() {
                    return;
                }
            }
        };
        // The caller looks at the state again in either case.
        let _ = timeout(bound.into(), settled).await;
    }
}
