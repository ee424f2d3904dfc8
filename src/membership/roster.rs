use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;

use super::{Member, Peer, State};

/// Maximum number of remembered nodes; the design size is 370.
const MAX_PEERS: usize = 1_024;

/// Time that a suspect has to refute the suspicion. It grows with the number of nodes, because the
/// refutation takes longer to spread.
const SUSPICION_TIMEOUT: Millis = Millis(2_000);
const SUSPICION_TIMEOUT_PER_DOUBLING: Millis = Millis(250);

/// Time for which a node that is gone is remembered, so that old records do not revive it.
const GONE_RETENTION: Millis = Millis::from_secs(120);

/// Result of merging a received record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merge {
    /// The record was known, older than the known one, or exceeded the limit.
    Ignored,
    /// The record replaced the known one.
    Applied,
    /// The record was about the local process and wrong, so the local record was raised above it.
    Refuted,
}

/// The newest record of each node.
#[derive(Clone, Debug)]
pub(super) struct Roster {
    pub(super) local: Member,
    /// Whether a newer process uses the local name at another address.
    pub(super) superseded: bool,
    peers: BTreeMap<Arc<str>, Peer>,
    by_incarnation: HashMap<u64, Arc<str>>,
    deadlines: BTreeSet<(Millis, Arc<str>)>,
    /// Number of peers that are not gone.
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

    /// Returns the number of nodes that are not gone, including the local one.
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

    /// Returns the name of the node whose process has this incarnation.
    pub(super) fn name(&self, incarnation: u64) -> Option<&Arc<str>> {
        self.by_incarnation.get(&incarnation)
    }

    /// Returns whether a node that is not gone has this address.
    pub(super) fn is_live_at(&self, address: SocketAddr) -> bool {
        self.peers
            .values()
            .any(|p| p.member.peer == address && p.member.state != State::Gone)
    }

    /// Returns whether any remembered node is gone.
    pub(super) fn remembers_gone(&self) -> bool {
        self.live < self.peers.len()
    }

    /// Returns the name of the remembered node with this address.
    pub(super) fn name_at(&self, address: SocketAddr) -> Option<&Arc<str>> {
        let mut members = self.peers.values().map(|peer| &peer.member);
        let found = members.find(|member| member.peer == address)?;
        Some(&found.name)
    }

    /// Merges a record, which replaces the known one if it is newer.
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
        self.store(member, now);
        Merge::Applied
    }

    fn merge_local(&mut self, member: &Member) -> Merge {
        if member.incarnation > self.local.incarnation {
            if member.peer != self.local.peer {
                self.superseded = true;
                return Merge::Ignored;
            }
            // A previous process with this address started while the clock was ahead.
            self.local.incarnation = member.incarnation + 1;
            return Merge::Refuted;
        }
        if member.precedence() <= self.local.precedence() {
            return Merge::Ignored;
        }
        self.local.version = member.version + 1;
        Merge::Refuted
    }

    fn store(&mut self, member: Member, now: Millis) {
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
            State::Suspect => Some(now + self.suspicion_timeout()),
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

    fn suspicion_timeout(&self) -> Millis {
        Millis(
            SUSPICION_TIMEOUT.0
                + SUSPICION_TIMEOUT_PER_DOUBLING.0 * u64::from(self.live_count().ilog2()),
        )
    }

    /// Handles a probe that got no response, and returns the new record of the node, if any.
    pub(super) fn probe_failed(&mut self, name: &str, now: Millis) -> Option<Member> {
        let peer = self.peers.get_mut(name)?;
        peer.announced_version = None;
        let mut member = peer.member.clone();
        member.state = match member.state {
            State::Alive => State::Suspect,
            // It announced that it is leaving, so a missing response means that it has left.
            State::Leaving => State::Gone,
            State::Suspect | State::Gone => return None,
        };
        self.store(member.clone(), now);
        Some(member)
    }

    /// Declares suspects gone whose timeout has passed, forgets nodes that have been gone long
    /// enough, and returns the changed records.
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
            self.store(member.clone(), now);
            changed.push(member);
        }
        changed
    }
}
