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

/// Number of rounds between two heartbeats: batches that are sent even if nothing has changed, so
/// that the backup node knows that the owner is alive.
const HEARTBEAT_ROUNDS: u64 = 5;

/// Maximum number of responses in a batch.
const MAX_BATCH_RESPONSES: usize = 512;

/// Maximum text in a batch of more than one response, in bytes. The other responses follow in the
/// next batch. It is far below 8 MiB, above which a message is refused.
const MAX_BATCH_TEXT_BYTES: usize = 1024 * 1024;

/// Timeout of a `hold` RPC, for which the caller waits.
const HOLD_TIMEOUT: Millis = Millis(1_000);

/// Maximum number of candidates that are asked to store a copy before a request is refused.
const MAX_CANDIDATES: usize = 4;

/// Time for which a node is not used as a backup node after an RPC to it failed.
const AVOID_TIME: Millis = Millis::from_secs(5);

/// Time after which a caller may retry a request that was refused because no node stored a copy.
const RETRY_AFTER: Millis = Millis(500);

/// State of the backup copies of this node's responses.
#[derive(Debug, Default)]
pub(in crate::node) struct Replication {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    assignments: HashMap<Uuid, Assignment>,
    /// Backup nodes to which a batch is being sent.
    in_flight: HashSet<SocketAddr>,
    /// Nodes to which an RPC failed, and until when they are not used as backup nodes.
    avoid: HashMap<SocketAddr, Millis>,
}

/// A response of this node and its backup copy.
#[derive(Debug)]
struct Assignment {
    entry: Arc<Entry>,
    /// Node that stores the copy, if any.
    backup: Option<Replica>,
    /// Number of chunks that the copy has.
    stored: u32,
    /// Version of the entry that the copy reflects.
    version: u64,
    /// Context that the copy has.
    context: Option<Context>,
    /// Whether a background task is storing a copy.
    storing: bool,
}

impl Replication {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("replication lock")
    }

    /// Returns the node that stores the copy of a response.
    pub(in crate::node) fn backup(&self, id: Uuid) -> Option<Replica> {
        self.lock().assignments.get(&id)?.backup.clone()
    }

    /// Removes a response that this node no longer serves.
    pub(super) fn remove(&self, id: Uuid) {
        self.lock().assignments.remove(&id);
    }

    /// Returns whether the backup nodes have all ended responses in full.
    pub(in crate::node) fn is_flushed(&self) -> bool {
        let state = self.lock();
        !state.assignments.values().any(|assignment| {
            assignment.backup.is_some() && assignment.entry.phase() != Phase::Running
        })
    }

    fn assign(&self, assignment: Assignment) {
        self.lock()
            .assignments
            .insert(assignment.entry.request().id, assignment);
    }

    fn avoid(&self, peer: SocketAddr, now: Millis) {
        let mut state = self.lock();
        state.avoid.retain(|_, until| *until > now);
        state.avoid.insert(peer, now + AVOID_TIME);
    }
}

/// Storage of copies.
impl Node {
    /// Stores a copy of a response on a node in another failure domain.
    ///
    /// If no such node is available, the response continues without a copy and is counted by the
    /// metric `almondpath_accepted_without_backup_total`. A copy is stored as soon as a node is
    /// available.
    ///
    /// # Errors
    ///
    /// Fails if there are candidates but none of them stored the copy.
    pub(in crate::node) async fn replicate(&self, entry: &Arc<Entry>) -> Result<(), Error> {
        match self.store_copy(entry).await {
            Ok(true) => Ok(()),
            Ok(false) => {
                metrics::counter!("almondpath_accepted_without_backup_total").increment(1);
                Ok(())
            }
            Err(error) => {
                self.replication.remove(entry.request().id);
                Err(Error::not_run(
                    ErrorKind::Unavailable,
                    format!("no backup node stored a copy: {}", error.message()),
                )
                .with_retry_after(RETRY_AFTER))
            }
        }
    }

    /// Like [`Node::replicate`], without the metric; returns whether there was a candidate.
    ///
    /// After a failure, the response stays registered without a copy, so that storing one is
    /// retried.
    pub(super) async fn store_copy(&self, entry: &Arc<Entry>) -> Result<bool, Error> {
        let request = entry.request();
        let candidates = stream::backup_candidates(
            request.id,
            &self.settings.failure_domain,
            &self.usable_replicas(),
        );
        let mut failure = None;
        for backup in candidates.into_iter().take(MAX_CANDIDATES) {
            match self.store_copy_at(&backup, entry).await {
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
        self.replication.assign(Assignment::new(entry));
        failure.map_or(Ok(false), Err)
    }

    /// Stores a copy in a background task; a failure is retried in the next batch round.
    pub(super) fn store_copy_in_background(self: &Arc<Self>, entry: Arc<Entry>) {
        let node = Arc::clone(self);
        tokio::spawn(async move { node.store_copy(&entry).await.is_ok() });
    }

    /// Returns the available nodes to which no RPC failed recently.
    fn usable_replicas(&self) -> Vec<Replica> {
        let now = self.clock.now();
        let mut nodes = self.available_replicas();
        let state = self.replication.lock();
        nodes.retain(|node| {
            state
                .avoid
                .get(&node.peer)
                .is_none_or(|until| *until <= now)
        });
        nodes
    }

    async fn store_copy_at(&self, backup: &Replica, entry: &Arc<Entry>) -> Result<(), Error> {
        let version = entry.version();
        let hold = Hold {
            owner: self.local_replica(),
            snapshot: entry.snapshot(),
        };
        let context = context(&hold.snapshot.progress);
        let handle = self.peer_handle().ok_or_else(|| {
            Error::not_run(ErrorKind::Unavailable, "not connected to other nodes yet")
        })?;
        let response = timeout(HOLD_TIMEOUT.into(), handle.hold(backup.peer, &hold));
        let stored: u32 = response.await.unwrap_or_else(|_| {
            Err(Error::may_have_run(
                ErrorKind::Unavailable,
                format!("no response within {HOLD_TIMEOUT}"),
            ))
        })?;
        self.replication.assign(Assignment {
            backup: Some(backup.clone()),
            stored,
            version,
            context: Some(context),
            ..Assignment::new(entry)
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
            .collect_batches(round.is_multiple_of(HEARTBEAT_ROUNDS));
        for (backup, entries) in batches {
            let node = Arc::clone(&node);
            tokio::spawn(async move { node.send_batch(backup, entries).await });
        }
        let own = &node.settings.failure_domain;
        if node
            .usable_replicas()
            .iter()
            .all(|other| other.domain == *own)
        {
            continue;
        }
        for entry in node.replication.without_copy() {
            node.store_copy_in_background(entry);
        }
    }
}

/// Progress of a response that is being sent to its backup node.
#[derive(Debug)]
struct Transfer {
    entry: Arc<Entry>,
    version: u64,
    stored: u32,
    /// Context that the copy has; once the batch is built, the context that the copy will have.
    context: Option<Context>,
}

impl Transfer {
    fn progress(&self) -> Progress {
        self.entry.progress_since(self.stored.min(self.entry.len()))
    }

    /// Returns what the copy does not have yet.
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
    /// Returns the progress to send to each backup node, and marks these nodes as in flight.
    fn collect_batches(&self, heartbeat: bool) -> Vec<(Replica, Vec<Transfer>)> {
        let mut state = self.lock();
        state
            .assignments
            .retain(|_, assignment| assignment.is_needed());
        let mut batches: HashMap<SocketAddr, (Replica, Vec<Transfer>)> = HashMap::new();
        for assignment in state.assignments.values() {
            let version = assignment.entry.version();
            let Some(backup) = assignment.backup.as_ref() else {
                continue;
            };
            if state.in_flight.contains(&backup.peer)
                || (version == assignment.version && !heartbeat)
            {
                continue;
            }
            let batch = batches
                .entry(backup.peer)
                .or_insert_with(|| (backup.clone(), Vec::new()));
            if version != assignment.version && batch.1.len() < MAX_BATCH_RESPONSES {
                batch.1.push(Transfer {
                    entry: Arc::clone(&assignment.entry),
                    version,
                    stored: assignment.stored,
                    context: assignment.context.clone(),
                });
            }
        }
        state.in_flight.extend(batches.keys().copied());
        batches.into_values().collect()
    }

    /// Returns up to [`MAX_BATCH_RESPONSES`] running responses without a copy, and marks them as
    /// being stored.
    fn without_copy(&self) -> Vec<Arc<Entry>> {
        let mut state = self.lock();
        let without_copy = state
            .assignments
            .values_mut()
            .filter(|assignment| assignment.backup.is_none() && !assignment.storing);
        without_copy
            .take(MAX_BATCH_RESPONSES)
            .map(|assignment| {
                assignment.storing = true;
                Arc::clone(&assignment.entry)
            })
            .collect()
    }

    /// Updates the copies after a batch, and returns the responses that the backup node now serves
    /// itself.
    fn apply_receipts(
        &self,
        backup: &Replica,
        sent: &[Transfer],
        receipts: &[Receipt],
    ) -> Vec<Arc<Entry>> {
        let mut served = Vec::new();
        let mut state = self.lock();
        for (transfer, receipt) in sent.iter().zip(receipts) {
            let Some(assignment) = state.assignments.get_mut(&transfer.entry.request().id) else {
                continue;
            };
            if assignment.backup.as_ref() != Some(backup) {
                continue;
            }
            match receipt {
                Receipt::Stored(length) => {
                    assignment.stored = *length;
                    assignment.version = transfer.version;
                    assignment.context.clone_from(&transfer.context);
                }
                Receipt::Unknown => assignment.backup = None,
                Receipt::Served => served.push(Arc::clone(&transfer.entry)),
            }
        }
        served
    }

    /// Unassigns a backup node from all responses, after a batch to it failed.
    fn remove_backup(&self, backup: &Replica) {
        let mut state = self.lock();
        for assignment in state.assignments.values_mut() {
            if assignment.backup.as_ref() == Some(backup) {
                assignment.backup = None;
            }
        }
    }
}

impl Assignment {
    /// Creates an assignment without a copy.
    fn new(entry: &Arc<Entry>) -> Self {
        Self {
            entry: Arc::clone(entry),
            backup: None,
            stored: 0,
            version: 0,
            context: None,
            storing: false,
        }
    }

    /// Returns whether progress may still have to be sent.
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
    /// Sends a batch to a backup node and applies its receipts.
    ///
    /// If that fails, the node's responses need another backup node.
    async fn send_batch(self: Arc<Self>, backup: Replica, mut sent: Vec<Transfer>) {
        match self.append_progress(&backup, &mut sent).await {
            Ok(receipts) => {
                for entry in self.replication.apply_receipts(&backup, &sent, &receipts) {
                    self.yield_to(&entry, &backup);
                }
            }
            Err(_) => {
                metrics::counter!("almondpath_backups_lost_total").increment(1);
                self.replication.avoid(backup.peer, self.clock.now());
                self.replication.remove_backup(&backup);
            }
        }
        self.replication.lock().in_flight.remove(&backup.peer);
    }

    /// Sends a batch and returns a receipt for each response in it.
    ///
    /// Sends a `progress` RPC if the backup node does not support `append`.
    async fn append_progress(
        &self,
        backup: &Replica,
        sent: &mut [Transfer],
    ) -> Result<Vec<Receipt>, Error> {
        let handle = self.peer_handle().ok_or_else(|| {
            Error::not_run(ErrorKind::Unavailable, "not connected to other nodes yet")
        })?;
        let mut items = Vec::new();
        let mut bytes = 0;
        for transfer in sent.iter_mut() {
            let item = transfer.item();
            bytes += item.texts.iter().map(String::len).sum::<usize>();
            if !items.is_empty() && bytes > MAX_BATCH_TEXT_BYTES {
                break;
            }
            items.push(item);
        }
        let batch = peer::Batch {
            owner: self.local_replica().incarnation,
            items,
        };
        if let Some(receipts) = handle.append(backup.peer, batch).await? {
            return Ok(receipts);
        }
        metrics::counter!("almondpath_progress_fallbacks_total").increment(1);
        let batch = Batch {
            owner: self.local_replica(),
            items: sent.iter().map(Transfer::progress).collect(),
        };
        for transfer in sent {
            // This message is built later than the batch, so the copy may get a newer context than
            // the recorded one.
            transfer.context = None;
        }
        handle.progress(backup.peer, &batch).await
    }

    /// Leaves a response to the node that took it over while this one did not respond.
    pub(super) fn yield_to(&self, entry: &Entry, to: &Replica) {
        if entry.role() == Role::Owner {
            metrics::counter!("almondpath_streams_yielded_total").increment(1);
            entry.set_released(true);
            entry.finish(Phase::Moved(vec![to.listen]), self.clock.now());
            self.replication.remove(entry.request().id);
        }
    }
}
