use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;

use super::usage::Counts;

/// Time without news after which a node counts as unreachable, with few nodes.
const SILENCE: Millis = Millis(1_500);

/// Time after which a silent node is forgotten. Longer than a restart takes.
const FORGET: Millis = Millis::from_secs(30);

/// Age after which another node's reading of the time of day is not used.
const TIME_AGE: Millis = Millis::from_secs(5);

/// Nodes beyond which news take longer than a few rounds to reach everyone.
const FEW_NODES: usize = 16;

/// Nodes that read the store in a small deployment: one may fail.
const FEWEST_READERS: usize = 2;

/// Nodes that one reader can pass its news on to.
const NODES_PER_READER: usize = 24;

/// What a node says about one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burden {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Requests of the node there.
    pub requests: u32,
    /// Prompt tokens of the node that the endpoint has still to read.
    pub tokens: u64,
}

/// What a node says about itself. A later statement replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// Name of the node.
    pub node: Arc<str>,
    /// Wall time of its start.
    pub incarnation: u64,
    /// Number of the statement.
    pub sequence: u64,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for callers.
    pub front: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Version of its configuration.
    pub config: u64,
    /// Units that it granted to each account since its start.
    pub granted: Vec<(Arc<str>, f64)>,
    /// Requests that began to run.
    pub usage: Counts,
    /// What it has at endpoints.
    pub burdens: Vec<Burden>,
    /// Endpoints that it saw leave, as id and start.
    pub departed: Vec<(Arc<str>, u64)>,
    /// Fence of the duties, while the node performs them.
    pub duties: Option<u64>,
    /// What its requests ask of each service, in endpoints that would be busy all the time.
    pub demand: Vec<(Arc<str>, f64)>,
}

/// A node as this node knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it said last.
    pub statement: Statement,
    /// When that was heard.
    pub heard: Millis,
    /// Number of the news on this node, for [`Roster::since`].
    version: u64,
}

/// The other nodes, from what they say about themselves.
#[derive(Debug, Default)]
pub struct Roster {
    members: BTreeMap<Arc<str>, Member>,
    /// Readings of the time of day of other nodes minus the steady time here.
    times: HashMap<Arc<str>, (Millis, i64)>,
    version: u64,
}

/// News.
impl Roster {
    /// Takes in a statement and returns whether it is news.
    pub fn hear(&mut self, statement: Statement, now: Millis) -> bool {
        let known = self.members.get(&statement.node);
        let order = (statement.incarnation, statement.sequence);
        if known.is_some_and(|k| (k.statement.incarnation, k.statement.sequence) >= order) {
            return false;
        }
        self.version += 1;
        let member = Member {
            heard: now,
            version: self.version,
            statement,
        };
        self.members
            .insert(Arc::clone(&member.statement.node), member);
        true
    }

    /// Notes another node's reading of the time of day.
    pub fn time(&mut self, node: &Arc<str>, wall: Millis, now: Millis) {
        self.times
            .insert(Arc::clone(node), (now, wall.0 as i64 - now.0 as i64));
    }

    /// Returns the version of the newest news, and the statements after `version`.
    #[must_use]
    pub fn since(&self, version: u64) -> (u64, Vec<Statement>) {
        let news = self.members.values().filter(|m| m.version > version);
        (self.version, news.map(|m| m.statement.clone()).collect())
    }

    /// Forgets nodes that have been silent for long.
    pub fn prune(&mut self, now: Millis) {
        self.members.retain(|_, member| member.heard + FORGET > now);
        self.times.retain(|_, (at, _)| *at + FORGET > now);
    }
}

/// Lookup.
impl Roster {
    /// Returns all nodes that are remembered.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns whether a node that is heard performs the duties.
    #[must_use]
    pub fn has_holder(&self, now: Millis) -> bool {
        self.members
            .values()
            .any(|member| member.statement.duties.is_some() && self.is_heard(member, now))
    }

    /// Returns whether a node is heard.
    #[must_use]
    pub fn is_heard(&self, member: &Member, now: Millis) -> bool {
        member.heard + self.silence() > now
    }

    /// Returns the time without news after which a node counts as unreachable.
    #[must_use]
    pub fn silence(&self) -> Millis {
        if self.members.len() <= FEW_NODES {
            SILENCE
        } else {
            Millis(SILENCE.0 * 2)
        }
    }

    /// Returns the nodes that read the store for the others, from different failure domains where
    /// there are enough. `own` is this node's name and failure domain.
    #[must_use]
    pub fn readers(&self, own: (&Arc<str>, &Arc<str>), now: Millis) -> Vec<Arc<str>> {
        let heard = self.members.values().filter(|member| {
            self.is_heard(member, now) && member.statement.ready && !member.statement.leaving
        });
        let mut nodes: Vec<_> = heard
            .map(|member| (&member.statement.node, &member.statement.domain))
            .chain([own])
            .collect();
        nodes.sort_by_key(|(name, _)| xxh3_64(name.as_bytes()));
        let mut domains = HashSet::new();
        let wanted = nodes.len().div_ceil(NODES_PER_READER).max(FEWEST_READERS);
        let (mut readers, others): (Vec<_>, Vec<_>) = nodes
            .into_iter()
            .partition(|(_, domain)| domains.insert(*domain));
        readers.extend(others);
        readers.truncate(wanted);
        readers
            .into_iter()
            .map(|(name, _)| Arc::clone(name))
            .collect()
    }

    /// Returns the number of nodes that may be serving, this one included, and how many of them
    /// are not heard.
    #[must_use]
    pub fn serving(&self, now: Millis) -> (usize, usize) {
        let serving = self.members.values().filter(|m| !m.statement.leaving);
        let (mut nodes, mut unheard) = (1, 0);
        for member in serving {
            nodes += 1;
            unheard += usize::from(!self.is_heard(member, now));
        }
        (nodes, unheard)
    }

    /// Returns the time of day that most nodes agree on.
    #[must_use]
    pub fn wall(&self, own: Millis, now: Millis) -> Millis {
        let mut offsets: Vec<i64> = self
            .times
            .values()
            .filter(|(at, _)| *at + TIME_AGE > now)
            .map(|(_, offset)| *offset)
            .collect();
        offsets.push(own.0 as i64 - now.0 as i64);
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        Millis(u64::try_from(now.0 as i64 + median).unwrap_or(0))
    }
}
