use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;

use super::{Member, Peer, State};

/// Most nodes that are remembered; the design size is 370.
const MAX_PEERS: usize = 1_024;

/// Time for which a suspect may object; it grows with the number of nodes, because an objection
/// takes longer to arrive.
const SUSPICION: Millis = Millis(2_000);
const SUSPICION_PER_DOUBLING: Millis = Millis(250);

/// Time for which a node that is gone is remembered, so that old statements don't bring it back.
const GONE_RETENTION: Millis = Millis::from_secs(120);

/// What a statement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merge {
    /// Nothing: it was known, or older than what is known.
    Ignored,
    /// The statement was taken over.
    Applied,
    /// The statement is about the own process and wrong, so that the own version was raised.
    Refuted,
}

/// The newest statement about each node.
#[derive(Clone, Debug)]
pub(super) struct Roster {
    pub(super) local: Member,
    /// Whether a later process has taken the own name at another address.
    pub(super) superseded: bool,
    peers: BTreeMap<Arc<str>, Peer>,
    by_incarnation: HashMap<u64, Arc<str>>,
    deadlines: BTreeSet<(Millis, Arc<str>)>,
    live: usize,
}

impl Roster {
    pub(super) fn new(local: Member) -> Self {
        Self {
            local,
            superseded: false,
            peers: BTreeMap::new(),
            by_incarnation: HashMap::new(),
            deadlines: BTreeSet::new(),
            live: 0,
        }
    }

    /// Returns the number of nodes that are not gone, the own one included.
    pub(super) fn live_count(&self) -> usize {
        self.live + 1
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub(super) fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Peer> {
        self.peers.get_mut(name)
    }

    /// Returns the name of the node whose process has this number.
    pub(super) fn name(&self, incarnation: u64) -> Option<&Arc<str>> {
        self.by_incarnation.get(&incarnation)
    }

    /// Returns whether a node that is not gone has this address.
    pub(super) fn is_live_at(&self, address: SocketAddr) -> bool {
        self.peers
            .values()
            .any(|p| p.member.peer == address && p.member.state != State::Gone)
    }

    /// Returns whether a node is remembered that is gone.
    pub(super) fn has_gone(&self) -> bool {
        self.live < self.peers.len()
    }

    /// Returns the name of the node that is known by this address.
    pub(super) fn name_at(&self, address: SocketAddr) -> Option<&Arc<str>> {
        let mut members = self.peers.values().map(|peer| &peer.member);
        let found = members.find(|member| member.peer == address)?;
        Some(&found.name)
    }

    /// Takes a statement over if it is newer than what is known.
    pub(super) fn merge(&mut self, member: Member, now: Millis) -> Merge {
        if member.name == self.local.name {
            return self.merge_local(&member);
        }
        if let Some(peer) = self.peers.get(&member.name) {
            if member.precedence() <= peer.member.precedence() {
                return Merge::Ignored;
            }
        } else if self.peers.len() >= MAX_PEERS {
            return Merge::Ignored;
        }
        self.replace(member, now);
        Merge::Applied
    }

    fn merge_local(&mut self, member: &Member) -> Merge {
        if member.incarnation > self.local.incarnation {
            if member.peer != self.local.peer {
                self.superseded = true;
                return Merge::Ignored;
            }
            // An earlier process had this address, with a clock that was ahead.
            self.local.incarnation = member.incarnation + 1;
            return Merge::Refuted;
        }
        if member.precedence() <= self.local.precedence() {
            return Merge::Ignored;
        }
        self.local.version = member.version + 1;
        Merge::Refuted
    }

    fn replace(&mut self, member: Member, now: Millis) {
        let name = Arc::clone(&member.name);
        let mut peer = match self.peers.remove(&name) {
            Some(old) => {
                self.live -= usize::from(old.member.state != State::Gone);
                if let Some(at) = old.expires {
                    self.deadlines.remove(&(at, Arc::clone(&name)));
                }
                if old.member.incarnation == member.incarnation {
                    old
                } else {
                    self.by_incarnation.remove(&old.member.incarnation);
                    Peer::new(member.clone())
                }
            }
            None => Peer::new(member.clone()),
        };
        self.live += usize::from(member.state != State::Gone);
        peer.expires = match member.state {
            State::Alive | State::Leaving => None,
            State::Suspect => Some(now + self.suspicion()),
            State::Gone => Some(now + GONE_RETENTION),
        };
        if let Some(at) = peer.expires {
            self.deadlines.insert((at, Arc::clone(&name)));
        }
        self.by_incarnation
            .insert(member.incarnation, Arc::clone(&name));
        peer.member = member;
        self.peers.insert(name, peer);
    }

    fn suspicion(&self) -> Millis {
        Millis(SUSPICION.0 + SUSPICION_PER_DOUBLING.0 * u64::from(self.live_count().ilog2()))
    }

    /// Notes that a node did not answer, and returns the new statement about it, if any.
    pub(super) fn probe_failed(&mut self, name: &str, now: Millis) -> Option<Member> {
        let peer = self.peers.get_mut(name)?;
        peer.announced_version = None;
        let mut member = peer.member.clone();
        member.state = match member.state {
            State::Alive => State::Suspect,
            // It said itself that it is leaving, so that its silence means it has left.
            State::Leaving => State::Gone,
            State::Suspect | State::Gone => return None,
        };
        self.replace(member.clone(), now);
        Some(member)
    }

    /// Declares suspects gone whose time has passed, and forgets old ones; returns the new
    /// statements.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<Member> {
        let mut changed = Vec::new();
        while let Some((at, name)) = self.deadlines.first().cloned()
            && at <= now
        {
            self.deadlines.pop_first();
            let mut member = self.peers[&name].member.clone();
            if member.state == State::Gone {
                self.by_incarnation.remove(&member.incarnation);
                self.peers.remove(&name);
                continue;
            }
            member.state = State::Gone;
            self.replace(member.clone(), now);
            changed.push(member);
        }
        changed
    }
}
