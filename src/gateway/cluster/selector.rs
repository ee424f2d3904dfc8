use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::clock::Millis;

use super::known_nodes::KnownNodes;
use super::member::Member;
use super::roster::Roster;

/// Rounds between two probes: one of a random node that is alive, which reports its wall time, and
/// one of a node that counts as dead, which may have come back.
const ROUNDS_PER_PROBE: u64 = 4;

/// Number of dead nodes to contact in one round after one of them came back: a network partition
/// may have healed.
const HEALING_TARGETS: usize = 16;

/// Number of nodes that count as alive to contact in one round after a call failed to a node that did,
/// too: more hosts may have been lost with it.
const ALARM_TARGETS: usize = 16;

/// Number of preferred nodes to contact in one round while no reader is known.
const BOOTSTRAP_TARGETS: usize = 3;

/// Number of additional nodes to contact in one round while a reader is unreachable.
const FAILOVER_TARGETS: usize = 4;

/// A node to contact in a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Name, if it is known.
    pub node: Option<Arc<str>>,
    /// Whether to request the changes of its state.
    pub wants_delta: bool,
}

/// Selects the nodes to contact in each gossip round.
#[derive(Debug)]
pub struct Selector {
    rng: SmallRng,
    round: u64,
    /// Whether a node that did not count as alive was in contact since the last round.
    healing: bool,
    /// Whether a call failed to a node that counted as alive since the last round.
    alarmed: bool,
    /// The node that watches this one.
    watcher: Option<Arc<str>>,
}

/// The input of a selection.
#[derive(Debug)]
pub struct View<'a> {
    /// Name of this node.
    pub own: &'a Arc<str>,
    /// Failure domain of this node.
    pub domain: &'a Arc<str>,
    /// Address of this node for other nodes.
    pub peer: SocketAddr,
    /// The other nodes.
    pub roster: &'a Roster,
    /// The nodes that read the store.
    pub readers: &'a [Arc<str>],
    /// Nodes with a record in the store, in the order in which they are preferred as readers.
    pub known_nodes: &'a [(Arc<str>, SocketAddr)],
    /// Addresses of nodes from the settings.
    pub seeds: &'a [SocketAddr],
}

impl Selector {
    /// Creates a selector whose random choices are derived from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            round: 0,
            healing: false,
            alarmed: false,
            watcher: None,
        }
    }

    /// Returns the node that is to watch this one.
    #[must_use]
    pub fn watcher(&self) -> Option<&Arc<str>> {
        self.watcher.as_ref()
    }

    /// Records contact with a node that did not count as alive before.
    pub fn record_recovery(&mut self) {
        self.healing = true;
    }

    /// Records a failed call to a node that counted as alive.
    pub fn record_loss(&mut self) {
        self.alarmed = true;
    }

    /// Returns the nodes to contact in the next round.
    pub fn next(&mut self, view: &View<'_>, now: Millis) -> Vec<Target> {
        self.round += 1;
        let mut targets = self.readers(view);
        if targets.is_empty() {
            targets = bootstrap_targets(view, &mut self.rng);
        }
        if self.round.is_multiple_of(ROUNDS_PER_PROBE) {
            let alive = view.roster.alive(now).choose(&mut self.rng);
            targets.extend(alive.map(|member| target(member, false)));
        }
        if std::mem::take(&mut self.alarmed) {
            let suspects = view.roster.alive_without_contact(now);
            let suspects = suspects.choose_multiple(&mut self.rng, ALARM_TARGETS);
            targets.extend(suspects.into_iter().map(|member| target(member, false)));
        }
        let dead_limit = if std::mem::take(&mut self.healing) {
            HEALING_TARGETS
        } else {
            usize::from(self.round.is_multiple_of(ROUNDS_PER_PROBE))
        };
        targets.extend(dead_targets(view, dead_limit, now, &mut self.rng));
        targets.retain(|target| target.peer != view.peer);
        let mut selected = std::collections::HashSet::new();
        targets.retain(|target| selected.insert(target.peer));
        targets
    }

    /// Returns the readers from which to request changes.
    ///
    /// A reader contacts all other readers. Another node contacts one reader, preferably of its own
    /// failure domain. While some readers are unreachable, the node contacts additional nodes,
    /// among them those that become readers next.
    fn readers(&mut self, view: &View<'_>) -> Vec<Target> {
        let others = view.readers.iter().filter(|reader| *reader != view.own);
        let members: Vec<&Member> = others.filter_map(|name| view.roster.member(name)).collect();
        let is_reachable =
            |member: &&Member| !view.roster.is_unreachable(&member.announcement.node);
        let same_domain = |member: &&&Member| member.announcement.domain == *view.domain;
        let reachable: Vec<&Member> = members.iter().copied().filter(is_reachable).collect();
        let best = reachable.iter().max_by_key(same_domain).or(members.first());
        self.watcher = best.map(|member| Arc::clone(&member.announcement.node));
        let mut selected = if view.readers.contains(view.own) {
            members.clone()
        } else {
            best.into_iter().copied().collect()
        };
        if reachable.len() < members.len() {
            let all = view
                .known_nodes
                .iter()
                .filter_map(|(name, _)| view.roster.member(name));
            selected.extend(all.filter(is_reachable).take(FAILOVER_TARGETS));
        }
        selected
            .into_iter()
            .map(|member| target(member, true))
            .collect()
    }
}

fn target(member: &Member, wants_delta: bool) -> Target {
    Target {
        peer: member.announcement.peer,
        node: Some(Arc::clone(&member.announcement.node)),
        wants_delta,
    }
}

/// Returns the nodes to contact while no reader is known.
///
/// All nodes prefer the same ones, so that isolated nodes find each other.
fn bootstrap_targets(view: &View<'_>, rng: &mut SmallRng) -> Vec<Target> {
    let known = |(name, peer): &(Arc<str>, SocketAddr)| Target {
        peer: *peer,
        node: Some(Arc::clone(name)),
        wants_delta: true,
    };
    let reachable = view
        .known_nodes
        .iter()
        .filter(|(name, _)| !view.roster.is_unreachable(name));
    let mut targets: Vec<Target> = reachable.take(BOOTSTRAP_TARGETS).map(known).collect();
    let other = view.known_nodes.choose(rng);
    targets.extend(other.map(known));
    let seed = view.seeds.choose(rng);
    targets.extend(seed.map(|peer| Target {
        peer: *peer,
        node: None,
        wants_delta: true,
    }));
    targets
}

/// Returns up to `limit` random nodes that do not count as alive.
fn dead_targets(view: &View<'_>, limit: usize, now: Millis, rng: &mut SmallRng) -> Vec<Target> {
    let is_alive = |node: &str| {
        let member = view.roster.member(node);
        member.is_some_and(|member| view.roster.is_alive(member, now))
    };
    let members = view
        .roster
        .members()
        .filter(|m| !is_alive(&m.announcement.node));
    let members = members.map(|member| target(member, false));
    let known_nodes = view.known_nodes.iter().filter(|(name, _)| !is_alive(name));
    let known_nodes = known_nodes.map(|(name, peer)| Target {
        peer: *peer,
        node: Some(Arc::clone(name)),
        wants_delta: false,
    });
    let all = members.chain(known_nodes);
    all.choose_multiple(rng, limit)
}

impl<'a> View<'a> {
    /// Sets the nodes that have a record in the store.
    pub(super) fn with_known_nodes(mut self, known_nodes: &'a KnownNodes) -> Self {
        self.known_nodes = known_nodes.nodes();
        self
    }
}
