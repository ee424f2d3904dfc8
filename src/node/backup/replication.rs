use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::node::Node;
use crate::peer::{self, Context, Item, Receipt};
use crate::stream::{self, Entry, Phase, Progress, Replica, Role};

use super::message::{Batch, Hold};

/// Time between two batches of progress to the same backup node.
const BATCH_INTERVAL: Millis = Millis(100);

/// Batches after which one is sent even when nothing has changed, so that the backup node knows
/// that the owner is alive.
const HEARTBEAT_BATCHES: u64 = 5;

/// Most streams in a batch.
const BATCH_LIMIT: usize = 512;

/// Bytes of texts after which a batch gets no further stream; the rest follows with the next one. A
/// message of more than 8 MiB is refused.
const BATCH_BYTES: usize = 1024 * 1024;

/// Time within which a candidate has to store a copy; the caller waits for it.
const HOLD_BOUND: Millis = Millis(1_000);

/// Candidates that are asked before a request is refused.
const MAX_CANDIDATES: usize = 4;

/// Time for which a candidate that did not answer is passed over.
const AVOID_PERIOD: Millis = Millis::from_secs(5);

/// Time after which a caller that was refused for lack of a backup node may try again.
const RETRY_AFTER: Millis = Millis(500);

/// The copies of this node's responses on other nodes.
#[derive(Debug, Default)]
pub(in crate::node) struct Replication {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    slots: HashMap<Uuid, Slot>,
    /// Backup nodes to which a batch is on its way.
    busy: HashSet<SocketAddr>,
    /// Nodes that did not answer, and until when they are passed over.
    avoid: HashMap<SocketAddr, Millis>,
}

#[derive(Debug)]
struct Slot {
    entry: Arc<Entry>,
    backup: Option<Replica>,
    stored: u32,
    /// Number of the entry's last change that the copy has.
    version: u64,
    /// The context that the copy has.
    context: Option<Context>,
    placing: bool,
}

impl Replication {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("replication lock")
    }

    /// Returns the node that holds the copy of a response.
    pub(in crate::node) fn backup(&self, id: Uuid) -> Option<Replica> {
        self.lock().slots.get(&id)?.backup.clone()
    }

    /// Forgets the copy of a response that another node serves now.
    pub(super) fn forget(&self, id: Uuid) {
        self.lock().slots.remove(&id);
    }

    /// Returns whether all ended responses are complete on their backup nodes.
    pub(in crate::node) fn is_flushed(&self) -> bool {
        let state = self.lock();
        !state
            .slots
            .values()
            .any(|slot| slot.backup.is_some() && slot.entry.phase() != Phase::Running)
    }

    fn assign(&self, slot: Slot) {
        self.lock().slots.insert(slot.entry.request().id, slot);
    }

    fn avoid(&self, peer: SocketAddr, now: Millis) {
        let mut state = self.lock();
        state.avoid.retain(|_, until| *until > now);
        state.avoid.insert(peer, now + AVOID_PERIOD);
    }
}

/// Placing copies.
impl Node {
    /// Places a copy of a response in another failure domain.
    ///
    /// Without a live node in another failure domain the response goes on alone, which the metric
    /// `almondpath_accepted_without_backup_total` shows; a copy is placed as soon as there is one.
    pub(in crate::node) async fn replicate(&self, entry: &Arc<Entry>) -> Result<(), Error> {
        match self.place(entry).await {
            Ok(true) => Ok(()),
            Ok(false) => {
                metrics::counter!("almondpath_accepted_without_backup_total").increment(1);
                Ok(())
            }
            Err(error) => {
                self.replication.forget(entry.request().id);
                Err(Error::not_run(
                    ErrorKind::Unavailable,
                    format!("no other node stores a copy: {}", error.message()),
                )
                .with_retry_after(RETRY_AFTER))
            }
        }
    }

    /// As [`Node::replicate`] for a response that is accepted already; returns whether there was a
    /// candidate.
    pub(super) async fn place(&self, entry: &Arc<Entry>) -> Result<bool, Error> {
        let work = entry.request();
        let candidates =
            stream::backup_candidates(work.id, &self.settings.failure_domain, &self.usable());
        let mut failure = None;
        for backup in candidates.into_iter().take(MAX_CANDIDATES) {
            match self.hold_at(&backup, entry).await {
                Ok(()) => return Ok(true),
                Err(error) => {
                    metrics::counter!("almondpath_hold_failures_total").increment(1);
                    if error.kind() != ErrorKind::Conflict {
                        self.replication.avoid(backup.peer, self.clock.now());
                    }
                    failure = Some(error);
                }
            }
        }
        self.replication.assign(Slot::new(entry));
        failure.map_or(Ok(false), Err)
    }

    /// Places a copy in a task; a failure is tried again with the next batch.
    pub(super) fn place_later(self: &Arc<Self>, entry: Arc<Entry>) {
        let node = Arc::clone(self);
        tokio::spawn(async move { node.place(&entry).await.is_ok() });
    }

    fn usable(&self) -> Vec<Replica> {
        let now = self.clock.now();
        let mut nodes = self.neighbours();
        let state = self.replication.lock();
        nodes.retain(|node| {
            state
                .avoid
                .get(&node.peer)
                .is_none_or(|until| *until <= now)
        });
        nodes
    }

    async fn hold_at(&self, backup: &Replica, entry: &Arc<Entry>) -> Result<(), Error> {
        let version = entry.version();
        let hold = Hold {
            owner: self.own(),
            snapshot: entry.snapshot(),
        };
        let context = context(&hold.snapshot.progress);
        let peers = self
            .peers()
            .ok_or_else(|| Error::not_run(ErrorKind::Unavailable, "no connections to nodes"))?;
        let answer = timeout(HOLD_BOUND.into(), peers.hold(backup.peer, &hold));
        let stored: u32 = answer.await.unwrap_or_else(|_| {
            Err(Error::may_have_run(
                ErrorKind::Unavailable,
                format!("no answer within {HOLD_BOUND}"),
            ))
        })?;
        self.replication.assign(Slot {
            backup: Some(backup.clone()),
            stored,
            version,
            context: Some(context),
            ..Slot::new(entry)
        });
        Ok(())
    }
}

/// Sends progress to backup nodes until `token` is cancelled.
pub(in crate::node) async fn send_progress(
    node: Arc<Node>,
    token: CancellationToken,
) -> eyre::Result<()> {
    let mut round = 0_u64;
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = tokio::time::sleep(Duration::from(BATCH_INTERVAL)) => {}
        }
        round += 1;
        let batches = node
            .replication
            .collect(round.is_multiple_of(HEARTBEAT_BATCHES));
        for (backup, entries) in batches {
            let node = Arc::clone(&node);
            tokio::spawn(async move { node.send_batch(backup, entries).await });
        }
        let own = &node.settings.failure_domain;
        if node.usable().iter().all(|other| other.domain == *own) {
            continue;
        }
        for entry in node.replication.unplaced() {
            node.place_later(entry);
        }
    }
}

/// Progress on its way to a backup node.
#[derive(Debug)]
struct Pending {
    entry: Arc<Entry>,
    version: u64,
    stored: u32,
    /// The context that the copy has, and after the batch was made the one that it gets.
    context: Option<Context>,
}

impl Pending {
    fn progress(&self) -> Progress {
        self.entry.progress_since(self.stored.min(self.entry.len()))
    }

    /// Returns what the copy lacks.
    fn item(&mut self) -> Item {
        let progress = self.progress();
        let context = Some(context(&progress));
        let changed = context != self.context;
        self.context.clone_from(&context);
        Item {
            id: progress.id,
            attempt: progress.runs.last().map_or(0, |run| run.attempt),
            offset: progress.offset,
            texts: progress.texts,
            context: context.filter(|_| changed),
        }
    }
}

fn context(progress: &Progress) -> Context {
    Context {
        runs: progress.runs.clone(),
        source: progress.source.clone(),
        phase: progress.phase.clone(),
    }
}

impl Replication {
    /// Returns what has to be sent, by backup node, and marks these nodes as busy.
    fn collect(&self, heartbeat: bool) -> Vec<(Replica, Vec<Pending>)> {
        let mut state = self.lock();
        state.slots.retain(|_, slot| slot.is_needed());
        let mut batches: HashMap<SocketAddr, (Replica, Vec<Pending>)> = HashMap::new();
        for slot in state.slots.values() {
            let version = slot.entry.version();
            let Some(backup) = slot.backup.as_ref() else {
                continue;
            };
            if state.busy.contains(&backup.peer) || (version == slot.version && !heartbeat) {
                continue;
            }
            let batch = batches
                .entry(backup.peer)
                .or_insert_with(|| (backup.clone(), Vec::new()));
            if version != slot.version && batch.1.len() < BATCH_LIMIT {
                batch.1.push(Pending {
                    entry: Arc::clone(&slot.entry),
                    version,
                    stored: slot.stored,
                    context: slot.context.clone(),
                });
            }
        }
        state.busy.extend(batches.keys().copied());
        batches.into_values().collect()
    }

    /// Returns the running responses without a copy, and marks them as being placed.
    fn unplaced(&self) -> Vec<Arc<Entry>> {
        let mut state = self.lock();
        let waiting = state
            .slots
            .values_mut()
            .filter(|slot| slot.backup.is_none() && !slot.placing);
        waiting
            .take(BATCH_LIMIT)
            .map(|slot| {
                slot.placing = true;
                Arc::clone(&slot.entry)
            })
            .collect()
    }

    fn confirm(&self, backup: &Replica, sent: &[Pending], receipts: &[Receipt]) -> Vec<Arc<Entry>> {
        let mut served = Vec::new();
        let mut state = self.lock();
        for (pending, receipt) in sent.iter().zip(receipts) {
            let Some(slot) = state.slots.get_mut(&pending.entry.request().id) else {
                continue;
            };
            if slot.backup.as_ref() != Some(backup) {
                continue;
            }
            match receipt {
                Receipt::Stored(length) => {
                    slot.stored = *length;
                    slot.version = pending.version;
                    slot.context.clone_from(&pending.context);
                }
                Receipt::Unknown => slot.backup = None,
                Receipt::Served => served.push(Arc::clone(&pending.entry)),
            }
        }
        served
    }

    /// Gives up a backup node that does not answer.
    fn lose(&self, backup: &Replica) {
        let mut state = self.lock();
        for slot in state.slots.values_mut() {
            if slot.backup.as_ref() == Some(backup) {
                slot.backup = None;
            }
        }
    }
}

impl Slot {
    /// Creates the slot of a response without a copy.
    fn new(entry: &Arc<Entry>) -> Self {
        Self {
            entry: Arc::clone(entry),
            backup: None,
            stored: 0,
            version: 0,
            context: None,
            placing: false,
        }
    }

    /// Returns whether something may still have to be sent.
    fn is_needed(&self) -> bool {
        match self.entry.phase() {
            Phase::Running => true,
            Phase::Moved(_) => false,
            Phase::Done | Phase::Failed(_) => {
                self.backup.is_some() && self.version != self.entry.version()
            }
        }
    }
}

impl Node {
    async fn send_batch(self: Arc<Self>, backup: Replica, mut sent: Vec<Pending>) {
        match self.append(&backup, &mut sent).await {
            Ok(receipts) => {
                for entry in self.replication.confirm(&backup, &sent, &receipts) {
                    self.yield_to(&entry, &backup);
                }
            }
            Err(_) => {
                metrics::counter!("almondpath_backups_lost_total").increment(1);
                self.replication.avoid(backup.peer, self.clock.now());
                self.replication.lose(&backup);
            }
        }
        self.replication.lock().busy.remove(&backup.peer);
    }

    /// Sends a batch, and returns a receipt for each response in it.
    async fn append(&self, backup: &Replica, sent: &mut [Pending]) -> Result<Vec<Receipt>, Error> {
        let peers = self
            .peers()
            .ok_or_else(|| Error::not_run(ErrorKind::Unavailable, "no connections"))?;
        let mut items = Vec::new();
        let mut bytes = 0;
        for pending in sent.iter_mut() {
            let item = pending.item();
            bytes += item.texts.iter().map(String::len).sum::<usize>();
            if !items.is_empty() && bytes > BATCH_BYTES {
                break;
            }
            items.push(item);
        }
        let batch = peer::Batch {
            owner: self.own().incarnation,
            items,
        };
        if let Some(receipts) = peers.append(backup.peer, batch).await? {
            return Ok(receipts);
        }
        metrics::counter!("almondpath_progress_fallbacks_total").increment(1);
        let batch = Batch {
            owner: self.own(),
            items: sent.iter().map(Pending::progress).collect(),
        };
        for pending in sent {
            // The copy may get a newer context than the one that was noted.
            pending.context = None;
        }
        peers.progress(backup.peer, &batch).await
    }

    /// Leaves a response to the node that took it over while this one did not answer.
    pub(super) fn yield_to(&self, entry: &Entry, to: &Replica) {
        if entry.role() == Role::Owner {
            metrics::counter!("almondpath_streams_yielded_total").increment(1);
            entry.set_released(true);
            entry.finish(Phase::Moved(vec![to.listen]), self.clock.now());
            self.replication.forget(entry.request().id);
        }
    }
}
