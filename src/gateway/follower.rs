use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::error::Error;

use super::changelog::{EntryState, Position};
use super::fleet::Fleet;
use super::{Node, Page, Record, Topic};

/// Part of the users' bound for news for which a read waits for records: each read is paid for, but
/// what was read counts as current only up to its answer.
const WAIT_PART: f64 = 0.3;

/// Pause after records of endpoints: those of several endpoints come together, and a departure has to
/// be known within a second or two.
const ENDPOINTS_PAUSE: Millis = Millis(250);

/// Part of the users' bound for news beyond which a node reads the store itself: what other nodes
/// passed on is too old.
const OLDEST_NEWS: f64 = 0.75;

/// Time within which another node's newer configuration is passed on, unless it is large.
const PASSED_ON: Millis = Millis(300);

/// Interval at which a node looks whether it has to read.
const READER_CHECK: Millis = Millis(150);

/// Pause after the first failure; it doubles with each further one.
const FIRST_BACKOFF: Millis = Millis(100);

/// Longest pause after a failure: the store's return has to be noticed within a second.
const LONGEST_BACKOFF: Millis = Millis(800);

/// Time after a failure of the store for which a missing entry may only have lapsed.
const DISTURBED: Millis = Millis(3_000);

/// Time for which the store may answer with an end below the known one before the topic is read
/// again from the start.
const STALE: Millis = Millis(4_000);

/// Interval at which the records of the nodes are read.
const NODES_INTERVAL: Millis = Millis(10_000);

/// As [`NODES_INTERVAL`], while few nodes are known.
const NODES_INTERVAL_EARLY: Millis = Millis(1_000);

/// Time after the start for which the records of the nodes are read more often.
const EARLY: Millis = Millis(6_000);

/// A topic as it is followed: a snapshot, then records in order.
struct Follower {
    node: Arc<Node>,
    topic: Topic,
    backoff: Millis,
    failed: Option<Millis>,
    /// Since when the store answers with an end below the known one.
    stale: Option<Millis>,
    /// Since when another node has a newer configuration.
    behind: Option<Millis>,
}

/// What a step of a follower yielded.
enum News {
    /// The newest record of each key.
    All(Vec<Record>),
    /// Further records.
    More(Vec<Record>),
}

impl Follower {
    fn new(node: Arc<Node>, topic: Topic) -> Self {
        Self {
            node,
            topic,
            backoff: FIRST_BACKOFF,
            failed: None,
            stale: None,
            behind: None,
        }
    }

    /// Returns whether entries may have lapsed because the store was away.
    fn is_disturbed(&self) -> bool {
        let now = self.node.clock.now();
        self.failed.is_some_and(|at| at + DISTURBED > now)
    }

    /// Runs `work` on the position of the topic.
    fn position<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&mut Position) -> T,
    {
        let state = &mut *self.node.state();
        work(match self.topic {
            Topic::Operator => &mut state.operator,
            _ => &mut state.endpoints,
        })
    }

    /// Returns whether this node has to read: for others, because another node knows more, or because
    /// no other node's news are recent enough.
    fn has_to_read(&mut self) -> bool {
        let now = self.node.clock.now();
        if self.topic == Topic::Operator && self.is_behind(now) {
            return true;
        }
        let age = self.position(|position| position.age(now));
        let oldest = self.part_of_bound(OLDEST_NEWS);
        age.is_none_or(|age| age > oldest) || self.node.is_reader()
    }

    /// Returns whether another node has had a newer configuration for longer than it takes to pass
    /// it on.
    fn is_behind(&mut self, now: Millis) -> bool {
        let newest = self.node.state().newest_config;
        if newest <= self.node.config_version() {
            self.behind = None;
            return false;
        }
        *self.behind.get_or_insert(now) + PASSED_ON <= now
    }

    /// Returns a part of the time within which news of the topic have to be known.
    fn part_of_bound(&self, part: f64) -> Millis {
        let settings = &self.node.settings;
        let bound = match self.topic {
            Topic::Operator => settings.config_time_limit,
            _ => settings.drain_time_limit,
        };
        Millis((bound.as_f64() * part) as u64)
    }

    /// Waits for news. The position moves on with [`Follower::taken`].
    async fn news(&mut self) -> (News, Position) {
        loop {
            if !self.has_to_read() {
                sleep(READER_CHECK.into()).await;
                continue;
            }
            match self.step().await {
                Ok(Some(news)) => {
                    self.regained();
                    return news;
                }
                Ok(None) => self.regained(),
                Err(error) => self.lost(&error).await,
            }
        }
    }

    async fn step(&mut self) -> Result<Option<(News, Position)>, Error> {
        let sent = self.node.clock.now();
        let at = |next, current| Position {
            next: Some(next),
            current: Some(current),
        };
        let Some(next) = self.position(|position| position.next) else {
            let snapshot = self.node.store.snapshot(self.topic).await?;
            self.stale = None;
            return Ok(Some((News::All(snapshot.records), at(snapshot.end, sent))));
        };
        let wait = self.part_of_bound(WAIT_PART);
        match self.node.store.read(self.topic, next, wait).await? {
            Page::Expired { first } => {
                info!(self.node.log, "records expired"; "topic" => ?self.topic, "next" => next,
                    "first" => first);
                self.position(|position| position.next = None);
                Ok(None)
            }
            Page::Records { end, .. } if end < next => {
                let now = self.node.clock.now();
                let since = *self.stale.get_or_insert(now);
                if now - since > STALE {
                    warn!(self.node.log, "topic went back"; "topic" => ?self.topic,
                        "next" => next, "end" => end);
                    self.position(|position| position.next = None);
                }
                Ok(None)
            }
            Page::Records { records, .. } => {
                self.stale = None;
                let Some(last) = records.last().map(|record| record.offset + 1) else {
                    // The store answered only after the wait, and had nothing until then.
                    self.taken(at(next, sent + wait));
                    return Ok(None);
                };
                Ok(Some((News::More(records), at(last, sent))))
            }
        }
    }

    /// Notes that all news before a position were taken in.
    fn taken(&self, at: Position) {
        self.position(|position| {
            position.next = position.next.max(at.next);
            position.current = position.current.max(at.current);
        });
    }

    fn regained(&mut self) {
        if self.backoff > FIRST_BACKOFF {
            info!(self.node.log, "store regained"; "topic" => ?self.topic);
        }
        self.backoff = FIRST_BACKOFF;
    }

    async fn lost(&mut self, error: &Error) {
        if self.backoff == FIRST_BACKOFF {
            warn!(self.node.log, "store lost"; "topic" => ?self.topic, "reason" => %error);
        }
        metrics::counter!("almondpath_store_failures_total").increment(1);
        self.failed = Some(self.node.clock.now());
        self.node.state().store_failed = self.failed;
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(Millis((self.backoff.as_f64() * jitter) as u64).into()).await;
        self.backoff = Millis(self.backoff.0 * 2).min(LONGEST_BACKOFF);
        self.failed = Some(self.node.clock.now());
    }
}

/// Follows the operator's records.
///
/// # Errors
///
/// Never fails; a store that is away is waited for.
pub(super) async fn operator(node: Arc<Node>) -> eyre::Result<()> {
    let mut follower = Follower::new(Arc::clone(&node), Topic::Operator);
    loop {
        let (News::All(records) | News::More(records), at) = follower.news().await;
        for record in records {
            if let (Some(key), Some(value)) = (&record.key, &record.value) {
                operator_record(&node, key, value);
            }
        }
        follower.taken(at);
    }
}

fn operator_record(node: &Node, key: &str, value: &Bytes) {
    if key == node.documents.config_key() {
        node.install(value, "store");
    }
}

/// Follows the endpoints.
///
/// # Errors
///
/// Never fails; a store that is away is waited for.
pub(super) async fn endpoints(node: Arc<Node>) -> eyre::Result<()> {
    let mut follower = Follower::new(Arc::clone(&node), Topic::Endpoints);
    loop {
        let (news, at) = follower.news().await;
        let missing_fate = if follower.is_disturbed() {
            EntryState::Missing
        } else {
            EntryState::Removed
        };
        match news {
            News::All(records) => {
                let present: HashSet<_> = records.iter().filter_map(|r| r.key.clone()).collect();
                take_in(&node, records, &missing_fate);
                let missing = missing(&node.state().fleet, &present);
                for id in missing {
                    node.entry(&id, missing_fate.clone(), "list");
                }
            }
            News::More(records) => take_in(&node, records, &missing_fate),
        }
        follower.taken(at);
        sleep(ENDPOINTS_PAUSE.into()).await;
    }
}

fn take_in(node: &Node, records: Vec<Record>, removed: &EntryState) {
    for record in records {
        let Some(id) = record.key else {
            continue;
        };
        let fate = record
            .value
            .map_or_else(|| removed.clone(), EntryState::Present);
        node.entry(&id, fate, "record");
    }
}

fn missing(fleet: &Fleet, present: &HashSet<Arc<str>>) -> Vec<Arc<str>> {
    fleet
        .iter()
        .map(|(_, endpoint)| &endpoint.registration.identity.id)
        .filter(|id| !present.contains(*id))
        .cloned()
        .collect()
}

/// What a node writes about itself when it starts.
#[derive(Debug, Serialize, Deserialize)]
struct Contact {
    peer: SocketAddr,
}

/// Writes this node's address once and reads those of the others now and then.
///
/// # Errors
///
/// Fails when the own record can't be encoded.
pub(super) async fn nodes(node: Arc<Node>) -> eyre::Result<()> {
    let contact = serde_json::to_vec(&Contact {
        peer: node.settings.peer,
    })?;
    let begun = node.clock.now();
    let mut written = false;
    loop {
        if !written {
            let put = node
                .store
                .put(Topic::Nodes, None, &node.settings.node, &contact);
            written = put.await.is_ok();
        }
        let alone = node.state().roster.members().next().is_none();
        if alone || node.is_reader() {
            match node.store.snapshot(Topic::Nodes).await {
                Ok(snapshot) => contacts(&node, &snapshot.records),
                Err(error) => slog::debug!(node.log, "nodes not read"; "reason" => %error),
            }
        }
        let early = node.clock.now() - begun < EARLY || !written || alone;
        let pause = if early {
            NODES_INTERVAL_EARLY
        } else {
            NODES_INTERVAL
        };
        sleep(pause.into()).await;
    }
}

fn contacts(node: &Node, records: &[Record]) {
    let others = records.iter().filter_map(|record| {
        let (name, value) = (record.key.as_ref()?, record.value.as_ref()?);
        match serde_json::from_slice::<Contact>(value) {
            Ok(contact) => Some((Arc::clone(name), contact.peer)),
            Err(error) => {
                warn!(node.log, "node record not readable"; "node" => &**name, "reason" => %error);
                None
            }
        }
    });
    let others = others.filter(|(name, _)| *name != node.settings.node);
    let others: Vec<_> = others.collect();
    node.state().known_nodes.take_in(others);
}
