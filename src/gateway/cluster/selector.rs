use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::clock::Millis;

use super::known_nodes::KnownNodes;
use super::member::Member;
use super::roster::Roster;

/// Rounds after which one node that is heard is asked for the time of day, and one that is not heard
/// whether it lives.
const PROBE_ROUNDS: u64 = 4;

/// Nodes that are not heard and asked at once after one of them answered: a partition has healed.
const HEALING: usize = 16;

/// Nodes that are asked at once by one that hears nobody.
const ALONE: usize = 3;

/// Nodes that are asked besides while a reader does not answer.
const SEARCHING: usize = 4;

/// A node that is asked in a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Name, where it is known.
    pub node: Option<Arc<str>>,
    /// Whether it is asked for what changed.
    pub news: bool,
}

/// Chooses the nodes to ask, round by round.
#[derive(Debug)]
pub struct Selector {
    rng: SmallRng,
    round: u64,
    /// Whether a node answered that was not heard before.
    healing: bool,
    /// The node that is asked to watch this one.
    watcher: Option<Arc<str>>,
}

/// What a choice is made from.
#[derive(Debug)]
pub struct View<'a> {
    /// Name of this node.
    pub own: &'a Arc<str>,
    /// Failure domain of this node.
    pub domain: &'a Arc<str>,
    /// Address of this node for others.
    pub peer: SocketAddr,
    /// The other nodes.
    pub roster: &'a Roster,
    /// The nodes that read the store.
    pub readers: &'a [Arc<str>],
    /// Nodes that the store names, in the order in which readers are chosen.
    pub known_nodes: &'a [(Arc<str>, SocketAddr)],
    /// Addresses of nodes from the settings.
    pub seeds: &'a [SocketAddr],
}

impl Selector {
    /// Creates the choices of a node, whose random part depends on `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            round: 0,
            healing: false,
            watcher: None,
        }
    }

    /// Returns the node that is asked to watch this one.
    #[must_use]
    pub fn watcher(&self) -> Option<&Arc<str>> {
        self.watcher.as_ref()
    }

    /// Notes that a node answered that was not heard before.
    pub fn note_recovery(&mut self) {
        self.healing = true;
    }

    /// Returns the nodes to ask in the next round.
    pub fn next(&mut self, view: &View<'_>, now: Millis) -> Vec<Target> {
        self.round += 1;
        let mut targets = self.readers(view);
        if targets.is_empty() {
            targets = alone(view, &mut self.rng);
        }
        if self.round.is_multiple_of(PROBE_ROUNDS) {
            let heard = view.roster.alive(now).choose(&mut self.rng);
            targets.extend(heard.map(|member| target(member, false)));
        }
        let unheard = if std::mem::take(&mut self.healing) {
            HEALING
        } else {
            usize::from(self.round.is_multiple_of(PROBE_ROUNDS))
        };
        targets.extend(lost(view, unheard, now, &mut self.rng));
        targets.retain(|target| target.peer != view.peer);
        let mut asked = std::collections::HashSet::new();
        targets.retain(|target| asked.insert(target.peer));
        targets
    }

    /// Returns the readers to ask for news: a reader asks all others, another node one of them, of
    /// its own failure domain where it can. While some do not answer, it asks several, among them
    /// those that become readers next.
    fn readers(&mut self, view: &View<'_>) -> Vec<Target> {
        let others = view.readers.iter().filter(|reader| *reader != view.own);
        let members: Vec<&Member> = others.filter_map(|name| view.roster.member(name)).collect();
        let answers = |member: &&Member| !view.roster.is_unreachable(&member.announcement.node);
        let near = |member: &&&Member| member.announcement.domain == *view.domain;
        let answering: Vec<&Member> = members.iter().copied().filter(answers).collect();
        let best = answering.iter().max_by_key(near).or(members.first());
        self.watcher = best.map(|member| Arc::clone(&member.announcement.node));
        let mut asked = if view.readers.contains(view.own) {
            members.clone()
        } else {
            best.into_iter().copied().collect()
        };
        if answering.len() < members.len() {
            let all = view
                .known_nodes
                .iter()
                .filter_map(|(name, _)| view.roster.member(name));
            asked.extend(all.filter(answers).take(SEARCHING));
        }
        asked
            .into_iter()
            .map(|member| target(member, true))
            .collect()
    }
}

fn target(member: &Member, news: bool) -> Target {
    Target {
        peer: member.announcement.peer,
        node: Some(Arc::clone(&member.announcement.node)),
        news,
    }
}

/// Returns the nodes that a node asks which hears no reader: all ask the same ones first.
fn alone(view: &View<'_>, rng: &mut SmallRng) -> Vec<Target> {
    let contact = |(name, peer): &(Arc<str>, SocketAddr)| Target {
        peer: *peer,
        node: Some(Arc::clone(name)),
        news: true,
    };
    let answering = view
        .known_nodes
        .iter()
        .filter(|(name, _)| !view.roster.is_unreachable(name));
    let mut targets: Vec<Target> = answering.take(ALONE).map(contact).collect();
    let other = view.known_nodes.choose(rng);
    targets.extend(other.map(contact));
    let seed = view.seeds.choose(rng);
    targets.extend(seed.map(|peer| Target {
        peer: *peer,
        node: None,
        news: true,
    }));
    targets
}

/// Returns some nodes that are not heard.
fn lost(view: &View<'_>, most: usize, now: Millis, rng: &mut SmallRng) -> Vec<Target> {
    let heard = |node: &str| {
        let member = view.roster.member(node);
        member.is_some_and(|member| view.roster.is_alive(member, now))
    };
    let members = view
        .roster
        .members()
        .filter(|m| !heard(&m.announcement.node));
    let members = members.map(|member| target(member, false));
    let known_nodes = view.known_nodes.iter().filter(|(name, _)| !heard(name));
    let known_nodes = known_nodes.map(|(name, peer)| Target {
        peer: *peer,
        node: Some(Arc::clone(name)),
        news: false,
    });
    let all = members.chain(known_nodes);
    all.choose_multiple(rng, most)
}

impl<'a> View<'a> {
    /// Creates a view with the nodes that the store names.
    pub(super) fn with_known_nodes(mut self, known_nodes: &'a KnownNodes) -> Self {
        self.known_nodes = known_nodes.nodes();
        self
    }
}
