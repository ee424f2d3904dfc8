use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::membership::Message;
use crate::peer::{Handle, Handler, Method};

use super::node::State;
use super::register::Fate;
use super::{Node, Statement};

/// Time between two rounds with few nodes; what a node grants or sees leave is known everywhere
/// after two or three rounds.
const ROUND: Millis = Millis(250);

/// Nodes for which [`ROUND`] holds; with more, rounds are rarer so that the cost of a node stays.
const ROUND_NODES: usize = 16;

/// Longest time between two rounds.
const LONGEST_ROUND: Millis = Millis(750);

/// Heard nodes that are asked in each round.
const FAN_OUT: usize = 2;

/// Rounds after which one node that is not heard is asked.
const PROBE_ROUNDS: u64 = 4;

/// Versions of a node's news that another node has.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Since {
    /// Incarnation of the node; the versions start from 0 in each.
    incarnation: u64,
    /// Version of the statements.
    statements: u64,
    /// Version of the entries.
    entries: u64,
}

/// What became of the entry of an endpoint.
#[derive(Debug, Serialize, Deserialize)]
struct EntryNews {
    id: Arc<str>,
    /// The entry, if it is there.
    document: Option<String>,
    /// Whether a missing entry may only have lapsed.
    lapsed: bool,
}

impl EntryNews {
    /// Returns none for an entry that is no text and so names no endpoint.
    fn new(id: Arc<str>, fate: Fate) -> Option<Self> {
        let lapsed = fate == Fate::Lapsed;
        let document = match fate {
            Fate::Listed(document) => Some(String::from_utf8(document.into()).ok()?),
            Fate::Removed | Fate::Lapsed => None,
        };
        Some(Self {
            id,
            document,
            lapsed,
        })
    }

    fn fate(self) -> Fate {
        match self.document {
            Some(document) => Fate::Listed(document.into()),
            None if self.lapsed => Fate::Lapsed,
            None => Fate::Removed,
        }
    }
}

/// What one node tells another, and asks for.
#[derive(Debug, Serialize, Deserialize)]
struct Question {
    statement: Statement,
    /// Wall time of the sender.
    wall: Millis,
    /// What the sender has of the receiver's news.
    since: Since,
    /// Configuration document, for a receiver that is behind.
    document: Option<String>,
}

/// What the other node answers.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    statement: Statement,
    /// Wall time of the sender.
    wall: Millis,
    /// Version of the news.
    version: u64,
    news: Vec<Statement>,
    /// Version of the entries.
    entries_version: u64,
    /// Changed entries of endpoints.
    entries: Vec<EntryNews>,
    /// How far the sender has read the operator's records, and how long ago.
    operator: Option<(u64, Millis)>,
    /// How far the sender has read the entries of the endpoints, and how long ago.
    endpoints: Option<(u64, Millis)>,
    /// Configuration document, for an asker that is behind.
    document: Option<String>,
}

/// Versions of the other nodes' news that were received, by address.
type Received = Mutex<HashMap<SocketAddr, Since>>;

/// Exchanges statements with other nodes until the process ends.
///
/// # Errors
///
/// Never fails; nodes that do not answer are asked again.
pub(super) async fn run(node: Arc<Node>, handle: Handle) -> eyre::Result<()> {
    let received: Arc<Received> = Arc::default();
    let mut round = 0_u64;
    while !node.stopped.is_cancelled() {
        round += 1;
        let (targets, nodes) = targets(&node, round);
        for to in targets {
            let (node, handle) = (Arc::clone(&node), handle.clone());
            let received = Arc::clone(&received);
            tokio::spawn(async move {
                if let Err(error) = exchange(&node, &handle, to, &received).await {
                    metrics::counter!("almondpath_peer_failures_total").increment(1);
                    slog::debug!(node.log, "node not reached"; "to" => %to, "reason" => %error);
                }
            });
        }
        let scale = nodes.div_ceil(ROUND_NODES).max(1) as u64;
        sleep(Millis(ROUND.0 * scale).min(LONGEST_ROUND).into()).await;
    }
    Ok(())
}

/// Returns the nodes to ask in this round, and the number of nodes.
fn targets(node: &Node, round: u64) -> (Vec<SocketAddr>, usize) {
    let now = node.clock.now();
    let state = node.state();
    let roster = &state.roster;
    let (heard, silent): (Vec<_>, Vec<_>) = roster.members().partition(|m| roster.is_heard(m, now));
    let heard: Vec<_> = heard.iter().map(|m| m.statement.peer).collect();
    let mut rng = rand::rng();
    let mut targets: Vec<_> = heard.choose_multiple(&mut rng, FAN_OUT).copied().collect();
    // A reader of the own failure domain has the newest entries, and is near.
    let own = (&node.settings.node, &node.settings.domain);
    let readers = roster.readers(own, now);
    let reader = roster
        .members()
        .filter(|m| readers.contains(&m.statement.node))
        .max_by_key(|m| m.statement.domain == node.settings.domain);
    if let Some(reader) = reader
        && !readers.contains(&node.settings.node)
    {
        targets.truncate(FAN_OUT - 1);
        targets.push(reader.statement.peer);
    }
    if round % PROBE_ROUNDS == 1 || targets.is_empty() {
        let unheard = silent
            .iter()
            .map(|m| m.statement.peer)
            .chain(state.contacts.values().copied())
            .chain(node.settings.seeds.iter().copied())
            .filter(|to| *to != node.settings.peer && !heard.contains(to));
        let unheard: Vec<_> = unheard.collect();
        targets.extend(unheard.choose(&mut rng));
    }
    (targets, roster.members().count() + 1)
}

async fn exchange(
    node: &Arc<Node>,
    handle: &Handle,
    to: SocketAddr,
    received: &Received,
) -> Result<(), Error> {
    let since = lock(received).get(&to).copied().unwrap_or_default();
    let question = question(node, since, None);
    let asked = question.statement.config;
    let sent = node.clock.now();
    let answer: Answer = handle.call(to, Method::Gossip, &question).await?;
    let behind = answer.statement.config < asked;
    let seen = Since {
        incarnation: answer.statement.incarnation,
        statements: answer.version,
        entries: answer.entries_version,
    };
    hear(
        node,
        answer.wall,
        answer.statement,
        answer.news,
        answer.document,
    );
    for news in answer.entries {
        let id = Arc::clone(&news.id);
        node.entry(&id, news.fate(), "node");
    }
    follow(node, sent, answer.operator, answer.endpoints);
    lock(received).insert(to, seen);
    if behind {
        let question = self::question(node, seen, document(node));
        let _: Answer = handle.call(to, Method::Gossip, &question).await?;
    }
    Ok(())
}

/// Takes over how far another node has read, after its news were taken in; it answered after `sent`.
fn follow(
    node: &Node,
    sent: Millis,
    operator: Option<(u64, Millis)>,
    endpoints: Option<(u64, Millis)>,
) {
    let state = &mut *node.state();
    if let Some((next, age)) = operator {
        state.operator.follow(next, sent - age);
    }
    if let Some((next, age)) = endpoints {
        state.endpoints.follow(next, sent - age);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn question(node: &Node, since: Since, document: Option<String>) -> Question {
    Question {
        statement: node.statement(),
        wall: node.clock.wall(),
        since,
        document,
    }
}

fn document(node: &Node) -> Option<String> {
    let active = node.active.load();
    let document = &active.as_ref()?.document;
    std::str::from_utf8(document).ok().map(str::to_owned)
}

/// Takes in what another node said.
fn hear(
    node: &Node,
    wall: Millis,
    statement: Statement,
    news: Vec<Statement>,
    document: Option<String>,
) {
    if let Some(document) = document {
        node.install(&Bytes::from(document), "node");
    }
    let now = node.clock.now();
    let mut changes = Vec::new();
    {
        let state = &mut *node.state();
        state.roster.time(&statement.node, wall, now);
        for statement in news.into_iter().chain([statement]) {
            if statement.node != node.settings.node {
                changes.extend(state.hear(statement, now));
            }
        }
        state.spread_burdens(now);
    }
    for change in changes {
        node.log_change(Some(change), "node");
    }
}

impl State {
    fn hear(&mut self, statement: Statement, now: Millis) -> Vec<super::Change> {
        if !self.roster.hear(statement.clone(), now) {
            return Vec::new();
        }
        for (account, granted) in &statement.granted {
            let incarnation = statement.incarnation;
            self.quotas
                .absorb(&statement.node, incarnation, account, *granted);
        }
        let departed = statement.departed.into_iter();
        departed
            .filter_map(|(id, born)| self.fleet.departs(&super::Identity { id, born }, now))
            .collect()
    }

    /// Adds up what the other nodes have at each endpoint.
    fn spread_burdens(&mut self, now: Millis) {
        let mut sums: HashMap<&str, (u32, u64)> = HashMap::new();
        let heard = self
            .roster
            .members()
            .filter(|m| self.roster.is_heard(m, now));
        for burden in heard.flat_map(|m| &m.statement.burdens) {
            let sum = sums.entry(&burden.endpoint).or_default();
            sum.0 += burden.requests;
            sum.1 += burden.tokens;
        }
        for (_, endpoint) in self.fleet.iter_mut() {
            let sum = sums.get(&*endpoint.listing.identity.id);
            let (requests, tokens) = sum.copied().unwrap_or_default();
            endpoint.inflight_elsewhere = requests;
            endpoint.pending_elsewhere = tokens;
        }
    }
}

/// Answers other nodes.
pub(super) struct Answering {
    node: Arc<Node>,
}

impl Answering {
    pub(super) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

#[async_trait]
impl Handler for Answering {
    async fn probe(&self, _: SocketAddr, _: Message) -> Result<Message, Error> {
        Err(Error::not_run(
            ErrorKind::Unavailable,
            "this node is a gateway",
        ))
    }

    async fn gossip(&self, payload: Bytes) -> Result<Bytes, Error> {
        let node = &self.node;
        let question: Question = serde_json::from_slice(&payload)
            .map_err(|error| Error::not_run(ErrorKind::Malformed, error.to_string()))?;
        let since = question.since;
        let config = question.statement.config;
        hear(
            node,
            question.wall,
            question.statement,
            Vec::new(),
            question.document,
        );
        let own = node.statement();
        let behind = config < own.config;
        let since = if since.incarnation == node.incarnation {
            since
        } else {
            Since::default()
        };
        let now = node.clock.now();
        let state = node.state();
        let (version, news) = state.roster.since(since.statements);
        let (entries_version, entries) = state.register.since(since.entries);
        let read = |position: &super::Position| Some((position.next?, position.age(now)?));
        let (operator, endpoints) = (read(&state.operator), read(&state.endpoints));
        drop(state);
        let entries = entries.into_iter();
        let answer = Answer {
            statement: own,
            wall: node.clock.wall(),
            version,
            news,
            entries_version,
            entries: entries
                .filter_map(|(id, fate)| EntryNews::new(id, fate))
                .collect(),
            operator,
            endpoints,
            document: behind.then(|| document(node)).flatten(),
        };
        serde_json::to_vec(&answer)
            .map(Bytes::from)
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))
    }
}
