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
use crate::stream::{self, Entry, Holder, Phase, Progress, Role};

use super::message::{Batch, Hold, Receipt};

/// Time between two batches of progress to the same backup node.
const BATCH_INTERVAL: Millis = Millis(100);

/// Batches after which one is sent even when nothing has changed, so that the backup node knows
/// that the owner is alive.
const HEARTBEAT_BATCHES: u64 = 5;

/// Most streams in a batch.
const BATCH_LIMIT: usize = 512;

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
    backup: Option<Holder>,
    stored: u32,
    /// Number of the entry's last change that the copy has.
    version: u64,
    placing: bool,
}

impl Replication {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("replication lock")
    }

    /// Returns the node that holds the copy of a response.
    pub(in crate::node) fn backup(&self, id: Uuid) -> Option<Holder> {
        self.lock().slots.get(&id)?.backup.clone()
    }

    /// Forgets the copy of a response that another node serves now.
    pub(super) fn forget(&self, id: Uuid) {
        self.lock().slots.remove(&id);
    }

    /// Returns whether all ended responses are complete on their backup nodes.
    pub(in crate::node) fn is_settled(&self) -> bool {
        let state = self.lock();
        !state
            .slots
            .values()
            .any(|slot| slot.backup.is_some() && slot.entry.phase() != Phase::Running)
    }

    fn assign(&self, entry: &Arc<Entry>, version: u64, stored: u32, backup: Option<Holder>) {
        let slot = Slot {
            entry: Arc::clone(entry),
            backup,
            stored,
            version,
            placing: false,
        };
        self.lock().slots.insert(entry.work().id, slot);
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
                self.replication.forget(entry.work().id);
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
        let work = entry.work();
        let candidates = stream::backups(work.id, &self.settings.failure_domain, &self.usable());
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
        self.replication.assign(entry, 0, 0, None);
        failure.map_or(Ok(false), Err)
    }

    /// Places a copy in a task; a failure is tried again with the next batch.
    pub(super) fn place_later(self: &Arc<Self>, entry: Arc<Entry>) {
        let node = Arc::clone(self);
        tokio::spawn(async move { node.place(&entry).await.is_ok() });
    }

    fn usable(&self) -> Vec<Holder> {
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

    async fn hold_at(&self, backup: &Holder, entry: &Arc<Entry>) -> Result<(), Error> {
        let version = entry.version();
        let hold = Hold {
            owner: self.own(),
            snapshot: entry.snapshot(),
        };
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
        self.replication
            .assign(entry, version, stored, Some(backup.clone()));
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

type Pending = (Arc<Entry>, u64, u32);

impl Replication {
    /// Returns what has to be sent, by backup node, and marks these nodes as busy.
    fn collect(&self, heartbeat: bool) -> Vec<(Holder, Vec<Pending>)> {
        let mut state = self.lock();
        state.slots.retain(|_, slot| slot.is_needed());
        let mut batches: HashMap<SocketAddr, (Holder, Vec<Pending>)> = HashMap::new();
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
                batch
                    .1
                    .push((Arc::clone(&slot.entry), version, slot.stored));
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

    fn confirm(&self, backup: &Holder, sent: &[Pending], receipts: &[Receipt]) -> Vec<Arc<Entry>> {
        let mut served = Vec::new();
        let mut state = self.lock();
        for ((entry, version, _), receipt) in sent.iter().zip(receipts) {
            let Some(slot) = state.slots.get_mut(&entry.work().id) else {
                continue;
            };
            if slot.backup.as_ref() != Some(backup) {
                continue;
            }
            match receipt {
                Receipt::Stored(length) => {
                    slot.stored = *length;
                    slot.version = *version;
                }
                Receipt::Unknown => slot.backup = None,
                Receipt::Served => served.push(Arc::clone(entry)),
            }
        }
        served
    }

    /// Gives up a backup node that does not answer.
    fn lose(&self, backup: &Holder) {
        let mut state = self.lock();
        for slot in state.slots.values_mut() {
            if slot.backup.as_ref() == Some(backup) {
                slot.backup = None;
            }
        }
    }
}

impl Slot {
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
    async fn send_batch(self: Arc<Self>, backup: Holder, sent: Vec<Pending>) {
        let items: Vec<Progress> = sent
            .iter()
            .map(|(entry, _, stored)| entry.since((*stored).min(entry.len())))
            .collect();
        let batch = Batch {
            owner: self.own(),
            items,
        };
        let result: Result<Vec<Receipt>, Error> = match self.peers() {
            Some(peers) => peers.progress(backup.peer, &batch).await,
            None => Err(Error::not_run(ErrorKind::Unavailable, "no connections")),
        };
        match result {
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

    /// Leaves a response to the node that took it over while this one did not answer.
    pub(super) fn yield_to(&self, entry: &Entry, to: &Holder) {
        if entry.role() == Role::Owner {
            metrics::counter!("almondpath_streams_yielded_total").increment(1);
            entry.release(true);
            entry.finish(Phase::Moved(vec![to.listen]), self.clock.now());
            self.replication.forget(entry.work().id);
        }
    }
}
