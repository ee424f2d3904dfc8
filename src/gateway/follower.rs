use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::error::Error;

use super::entries::{Entry, EntryState, Position, Revision};
use super::fleet::{Fleet, MISSING_TIMEOUT};
use super::{Era, Node, Page, Record, Topic};

/// Time for which a read waits for records, as a fraction of the time limit for updates of the
/// topic. A longer wait saves reads, each of which is charged for, but only a response confirms that
/// the position is up to date.
const READ_WAIT_FRACTION: f64 = 0.3;

/// Pause after records of endpoints. Records of several endpoints tend to come together, and a
/// departure has to be known within a second or two.
const ENDPOINTS_PAUSE: Millis = Millis(250);

/// Age of a position, as a fraction of the time limit for updates of the topic, above which a node
/// reads the store itself because the updates of the other nodes are too old.
const MAX_AGE_FRACTION: f64 = 0.75;

/// Time within which other nodes pass on a newer configuration, unless it is too large for that.
const CONFIG_GOSSIP_TIME: Millis = Millis(300);

/// Interval at which a node checks whether it has to read the store.
const READER_CHECK_INTERVAL: Millis = Millis(150);

/// Pause after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Millis = Millis(100);

/// Maximum pause after a failure: the return of the store has to be noticed within a second.
const MAX_BACKOFF: Millis = Millis(800);

/// Time for which the store may report an end before the known position; after that, the topic is
/// read again from the start.
const ROLLBACK_TIMEOUT: Millis = Millis(4_000);

/// Interval at which the records of the nodes are read.
const NODES_INTERVAL: Millis = Millis(10_000);

/// As [`NODES_INTERVAL`], during [`STARTUP_PERIOD`], until this node has written its own record, and
/// while it knows no other node.
const STARTUP_NODES_INTERVAL: Millis = Millis(1_000);

/// Time after the start during which the records of the nodes are read more often.
const STARTUP_PERIOD: Millis = Millis(6_000);

/// Follows a topic: first a snapshot, then records in order.
struct Follower {
    node: Arc<Node>,
    topic: Topic,
    backoff: Millis,
    failed_at: Option<Millis>,
    /// Since when the store has reported an end before the known position.
    rolled_back_since: Option<Millis>,
    /// Since when another node has had a newer configuration.
    outdated_since: Option<Millis>,
}

/// Records that a follower has read.
enum Batch {
    /// The latest record of each key.
    Snapshot(Vec<Record>),
    /// Subsequent records.
    Records(Vec<Record>),
}

impl Follower {
    fn new(node: Arc<Node>, topic: Topic) -> Self {
        Self {
            node,
            topic,
            backoff: INITIAL_BACKOFF,
            failed_at: None,
            rolled_back_since: None,
            outdated_since: None,
        }
    }

    /// Returns until when the store was unavailable, or when it was found to have been restored, if
    /// entries may be absent for that reason: an entry that is absent later than [`MISSING_TIMEOUT`]
    /// after that was removed.
    fn recent_outage(&self) -> Option<Millis> {
        let now = self.node.clock.now();
        let restored_at = self.node.state().restores.noticed_at();
        let outage_end = self.failed_at.max(restored_at);
        outage_end.filter(|at| *at + MISSING_TIMEOUT > now)
    }

    /// Calls `access` with the position in the topic.
    fn with_position<F, T>(&self, access: F) -> T
    where
        F: FnOnce(&mut Position) -> T,
    {
        let state = &mut *self.node.state();
        access(match self.topic {
            Topic::Operator => &mut state.operator_position,
            _ => &mut state.endpoints_position,
        })
    }

    /// Returns whether this node has to read the store: on behalf of others, because another node
    /// has a newer configuration, or because the updates of the other nodes are too old.
    fn has_to_read(&mut self) -> bool {
        let now = self.node.clock.now();
        if self.topic == Topic::Operator && self.is_outdated(now) {
            return true;
        }
        let age = self.with_position(|position| position.age(now));
        let max_age = self.fraction_of_limit(MAX_AGE_FRACTION);
        age.is_none_or(|age| age > max_age) || self.node.is_reader()
    }

    /// Returns whether another node has had a newer configuration for longer than it takes to pass
    /// it on.
    fn is_outdated(&mut self, now: Millis) -> bool {
        let newest = self.node.state().latest_config_version;
        if newest <= self.node.config_version() {
            self.outdated_since = None;
            return false;
        }
        *self.outdated_since.get_or_insert(now) + CONFIG_GOSSIP_TIME <= now
    }

    /// Returns a fraction of the time limit within which updates of the topic have to be known.
    fn fraction_of_limit(&self, fraction: f64) -> Millis {
        let settings = &self.node.settings;
        let limit = match self.topic {
            Topic::Operator => settings.operator_time_limit(),
            _ => settings.drain_time_limit,
        };
        Millis((limit.as_f64() * fraction) as u64)
    }

    /// Waits for new records. Once they have been applied, [`Follower::advance`] moves the position
    /// on.
    async fn next(&mut self) -> (Batch, Position) {
        loop {
            if !self.has_to_read() {
                sleep(READER_CHECK_INTERVAL.into()).await;
                continue;
            }
            match self.poll().await {
                Ok(Some(batch)) => {
                    self.record_success();
                    return batch;
                }
                Ok(None) => self.record_success(),
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    async fn poll(&mut self) -> Result<Option<(Batch, Position)>, Error> {
        let sent = self.node.clock.now();
        let era = self.node.state().restores.era();
        let Some(next) = self.with_position(|position| position.next_in(era)) else {
            let reply = self.node.store.snapshot(self.topic).await?;
            let era = reply.era;
            let snapshot = self.node.accept(self.topic, reply)?;
            self.rolled_back_since = None;
            return Ok(Some((
                Batch::Snapshot(snapshot.records),
                Position {
                    era,
                    next: Some(snapshot.end),
                    as_of: Some(sent),
                },
            )));
        };
        let at = |next, as_of| Position {
            era,
            next: Some(next),
            as_of: Some(as_of),
        };
        let wait = self.fraction_of_limit(READ_WAIT_FRACTION);
        let reply = self.node.store.read(self.topic, next, wait).await?;
        let is_later_era = reply.era != era;
        match self.node.accept(self.topic, reply)? {
            // The records do not follow those that were read before the restore, also if the topic
            // has grown past the position again. A snapshot is read next.
            _ if is_later_era => Ok(None),
            Page::Expired { first } => {
                info!(self.node.log, "records expired before they were read";
                    "topic" => ?self.topic, "next" => next, "first" => first);
                self.with_position(|position| position.next = None);
                Ok(None)
            }
            Page::Records { end, .. } if end < next => {
                let now = self.node.clock.now();
                let since = *self.rolled_back_since.get_or_insert(now);
                if now - since > ROLLBACK_TIMEOUT {
                    warn!(self.node.log, "topic was rolled back; reading it again";
                        "topic" => ?self.topic, "next" => next, "end" => end);
                    self.with_position(|position| position.next = None);
                }
                Ok(None)
            }
            Page::Records { records, .. } => {
                self.rolled_back_since = None;
                let Some(last) = records.last().map(|record| record.offset + 1) else {
                    // The store responds without records only after the wait, so there were none
                    // until then.
                    self.advance(at(next, sent + wait));
                    return Ok(None);
                };
                Ok(Some((Batch::Records(records), at(last, sent))))
            }
        }
    }

    /// Moves the position on after all records before `to` have been applied.
    fn advance(&self, to: Position) {
        self.with_position(|position| position.advance(to));
    }

    /// Reads how the known rollouts ended, which their orders do not say.
    async fn read_rollout_status(&mut self) {
        while let Err(error) = self.node.read_rollout_status().await {
            self.back_off(&error).await;
        }
        self.record_success();
    }

    fn record_success(&mut self) {
        if self.backoff > INITIAL_BACKOFF {
            info!(self.node.log, "store regained"; "topic" => ?self.topic);
        }
        self.backoff = INITIAL_BACKOFF;
    }

    async fn back_off(&mut self, error: &Error) {
        if self.backoff == INITIAL_BACKOFF {
            warn!(self.node.log, "store lost"; "topic" => ?self.topic, "reason" => %error);
        }
        metrics::counter!("almondpath_store_failures_total").increment(1);
        self.failed_at = Some(self.node.clock.now());
        self.node.state().store_failed_at = self.failed_at;
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(Millis((self.backoff.as_f64() * jitter) as u64).into()).await;
        self.backoff = Millis(self.backoff.0 * 2).min(MAX_BACKOFF);
        self.failed_at = Some(self.node.clock.now());
    }
}

/// Follows the operator's topic.
///
/// # Errors
///
/// Never fails; waits while the store is unavailable.
pub(super) async fn operator(node: Arc<Node>) -> eyre::Result<()> {
    let mut follower = Follower::new(Arc::clone(&node), Topic::Operator);
    loop {
        let (batch, at) = follower.next().await;
        let is_fresh = matches!(batch, Batch::Records(_));
        let (Batch::Snapshot(records) | Batch::Records(records)) = batch;
        // They hold from the first request on that a configuration admits.
        node.apply_evacuations(&records, &at, is_fresh);
        for record in &records {
            apply_operator_record(&node, record, is_fresh);
        }
        if !is_fresh {
            follower.read_rollout_status().await;
        }
        follower.advance(at);
    }
}

/// Applies a record of the operator's topic. `is_fresh` is whether it was written just now.
fn apply_operator_record(node: &Node, record: &Record, is_fresh: bool) {
    let (Some(key), Some(value)) = (&record.key, &record.value) else {
        return;
    };
    if **key == *node.documents.config_key() {
        node.install(value, "store");
    } else {
        node.apply_order(key, value, record.offset, is_fresh);
    }
}

/// Follows the topic of endpoints.
///
/// # Errors
///
/// Never fails; waits while the store is unavailable.
pub(super) async fn endpoints(node: Arc<Node>) -> eyre::Result<()> {
    let mut follower = Follower::new(Arc::clone(&node), Topic::Endpoints);
    loop {
        let (batch, at) = follower.next().await;
        let absence = Absence::new(&follower);
        match batch {
            Batch::Snapshot(records) => apply_snapshot(&node, records, &at, &absence),
            Batch::Records(records) => apply_entries(&node, records, at.era, &absence, "record"),
        }
        follower.advance(at);
        sleep(ENDPOINTS_PAUSE.into()).await;
    }
}

/// What the absence of an entry means.
struct Absence {
    state: EntryState,
    /// Until when the store was unavailable.
    outage_end: Millis,
}

impl Absence {
    fn new(follower: &Follower) -> Self {
        match follower.recent_outage() {
            Some(outage_end) => Self {
                state: EntryState::Missing,
                outage_end,
            },
            None => Self {
                state: EntryState::Removed,
                outage_end: Millis::ZERO,
            },
        }
    }

    /// Returns an entry that is absent as of a revision.
    fn entry(&self, revision: Revision) -> Entry {
        Entry {
            state: self.state.clone(),
            revision,
        }
    }
}

/// Applies all entries as of a position: endpoints without one are absent.
fn apply_snapshot(node: &Node, records: Vec<Record>, at: &Position, absence: &Absence) {
    let Some(revision) = at.revision() else {
        return;
    };
    node.state().changelog.restart_at(revision);
    let present: HashSet<_> = records.iter().filter_map(|r| r.key.clone()).collect();
    apply_entries(node, records, at.era, absence, "list");
    let absent = absent_ids(&node.state().fleet, &present);
    for id in absent {
        let entry = absence.entry(revision);
        node.apply_entry(&id, entry, absence.outage_end, "list");
    }
}

fn apply_entries(
    node: &Node,
    records: Vec<Record>,
    era: Era,
    absence: &Absence,
    source: &'static str,
) {
    for record in records {
        let Some(id) = record.key else {
            continue;
        };
        let revision = Revision::of_record(era, record.offset);
        let entry = match record.value {
            Some(document) => Entry {
                state: EntryState::Present(document),
                revision,
            },
            None => absence.entry(revision),
        };
        node.apply_entry(&id, entry, absence.outage_end, source);
    }
}

/// Returns the ids of the endpoints that are not among the `present` ones.
fn absent_ids(fleet: &Fleet, present: &HashSet<Arc<str>>) -> Vec<Arc<str>> {
    fleet
        .iter()
        .map(|(_, endpoint)| &endpoint.registration.identity.id)
        .filter(|id| !present.contains(*id))
        .cloned()
        .collect()
}

/// The record that a node writes about itself at its start.
#[derive(Debug, Serialize, Deserialize)]
struct NodeRecord {
    peer: SocketAddr,
}

/// Writes the record of this node, again after each restore of the store, and reads those of the
/// other nodes from time to time.
///
/// # Errors
///
/// Fails if the record of this node cannot be encoded.
pub(super) async fn nodes(node: Arc<Node>) -> eyre::Result<()> {
    let own_record = serde_json::to_vec(&NodeRecord {
        peer: node.settings.peer,
    })?;
    let started = node.clock.now();
    let mut written = None;
    let mut read_at = None;
    loop {
        if written != Some(node.state().restores.era()) {
            written = write_own_record(&node, &own_record).await;
        }
        let now = node.clock.now();
        let alone = node.state().roster.members().next().is_none();
        let starting = now - started < STARTUP_PERIOD || written.is_none() || alone;
        let interval = if starting {
            STARTUP_NODES_INTERVAL
        } else {
            NODES_INTERVAL
        };
        if read_at.is_none_or(|at| at + interval <= now) {
            read_at = Some(now);
            if alone || node.is_reader() {
                read_node_records(&node).await;
            }
        }
        sleep(STARTUP_NODES_INTERVAL.into()).await;
    }
}

/// Writes the record of this node; returns the era in which it was stored.
async fn write_own_record(node: &Node, record: &[u8]) -> Option<Era> {
    let name = &node.settings.node;
    let put = node.store.put(Topic::Nodes, None, name, record).await;
    let reply = put.ok()?;
    let era = reply.era;
    node.accept(Topic::Nodes, reply).ok()?;
    Some(era)
}

async fn read_node_records(node: &Node) {
    let snapshot = node.store.snapshot(Topic::Nodes).await;
    match snapshot.and_then(|reply| node.accept(Topic::Nodes, reply)) {
        Ok(snapshot) => merge_known_nodes(node, &snapshot.records),
        Err(error) => {
            slog::debug!(node.log, "reading the records of the nodes failed"; "reason" => %error);
        }
    }
}

fn merge_known_nodes(node: &Node, records: &[Record]) {
    let others = records.iter().filter_map(|record| {
        let (name, value) = (record.key.as_ref()?, record.value.as_ref()?);
        match serde_json::from_slice::<NodeRecord>(value) {
            Ok(record) => Some((Arc::clone(name), record.peer)),
            Err(error) => {
                warn!(node.log, "invalid node record"; "node" => &**name, "reason" => %error);
                None
            }
        }
    });
    let others = others.filter(|(name, _)| *name != node.settings.node);
    let others: Vec<_> = others.collect();
    node.state().known_nodes.merge(others);
}
