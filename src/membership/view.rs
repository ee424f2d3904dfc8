use std::collections::HashSet;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::Millis;

use super::outbox::Outbox;
use super::roster::{Merge, Roster};
use super::schedule::Schedule;
use super::{Header, Load, Member, Message, Notice, Peer, State, Target, short_hash};

/// Time between two ticks: three probes per second.
pub const TICK_INTERVAL: Millis = Millis(333);

/// Maximum number of records of other nodes in the response to a joining node.
const MAX_JOIN_MEMBERS: usize = 128;

/// Consecutive responses without a new node after which a node stops joining, and the maximum
/// number of responses for which it joins.
///
/// With a fixed number of 8 responses, 4 of 369 nodes were still unknown five minutes after 370
/// nodes had started together.
const JOIN_QUIET_RESPONSES: u32 = 8;
const MAX_JOIN_RESPONSES: u32 = 64;

/// What a received message changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Received {
    /// Notices that were new to this node.
    pub notices: Vec<Notice>,
    /// Load reports that were newer than the known ones.
    pub loads: Vec<Load>,
    /// Whether the message contained an update that other nodes need immediately.
    pub urgent: bool,
    /// Address at which other nodes reach the sender, if the sender is known.
    pub sender: Option<SocketAddr>,
}

/// One node's view of the cluster, and the updates that it still has to send.
///
/// Records of a node are ordered by incarnation, version and state, and the greatest one wins, so
/// that all nodes converge whatever the order in which records arrive. Only the process itself
/// increments its version, to refute a suspicion or to announce that it is leaving.
///
/// The cost per tick does not depend on the number of nodes: one probe, and messages of bounded
/// size whose updates are rate-limited by a token bucket.
#[derive(Clone, Debug)]
pub struct View {
    roster: Roster,
    outbox: Outbox,
    schedule: Schedule,
    responses: u32,
    quiet_responses: u32,
    rng: SmallRng,
}

/// Construction.
impl View {
    /// Creates the view of a process that knows only seed addresses; `seed` initializes its random
    /// number generator.
    #[must_use]
    pub fn new(local: Member, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            roster: Roster::new(local),
            outbox: Outbox::new(),
            schedule: Schedule::new(seeds),
            responses: 0,
            quiet_responses: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds addresses at which nodes may run, for example from the host list.
    pub fn add_seeds<T>(&mut self, addresses: T)
    where
        T: IntoIterator<Item = SocketAddr>,
    {
        self.schedule.add_seeds(addresses);
    }
}

/// Accessors.
impl View {
    /// Returns the record of this process.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.roster.local
    }

    /// Returns whether a newer process uses the name of this one at another address.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.roster.superseded
    }

    /// Returns the other nodes, including those that are gone.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.roster.peers()
    }

    /// Returns the other nodes that accept new requests.
    pub fn available(&self) -> impl Iterator<Item = &Peer> {
        self.peers().filter(|peer| peer.is_available())
    }

    /// Returns a node by its name.
    #[must_use]
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.roster.get(name)
    }

    /// Returns the number of nodes that are not gone, including this one.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.roster.live_count()
    }

    /// Returns the rank of this node among the available nodes of its failure domain.
    ///
    /// The order is by hash of the name: it is the same at all nodes and independent of the time
    /// of their start.
    #[must_use]
    pub fn domain_rank(&self) -> usize {
        let local = self.local();
        let rank = (short_hash(&local.name), &local.name);
        self.available()
            .map(|peer| &peer.member)
            .filter(|other| other.domain == local.domain)
            .filter(|other| (short_hash(&other.name), &other.name) < rank)
            .count()
    }

    /// Returns the number of updates that wait to be sent.
    #[must_use]
    pub fn pending_updates(&self) -> usize {
        self.outbox.len()
    }
}

/// Local updates.
impl View {
    /// Announces that this process is leaving; this is never reverted.
    pub fn leave(&mut self) {
        if self.roster.local.state != State::Leaving {
            self.roster.local.state = State::Leaving;
            self.roster.local.version += 1;
            self.announce();
        }
    }

    /// Queues a notice that an endpoint is leaving, and returns whether it was new.
    pub fn add_notice(&mut self, now: Millis, notice: Notice) -> bool {
        self.outbox
            .add_notice(notice, self.roster.live_count(), now)
    }

    /// Sets the hosts, as hashes of their names, whose load reports are relayed when they come
    /// from another node.
    ///
    /// In a large deployment these are the hosts of the local failure domain: with 600 endpoints
    /// the byte budget does not suffice for all.
    pub fn set_relayed_hosts(&mut self, hosts: HashSet<u32>) {
        self.outbox.set_relayed_hosts(hosts);
    }

    /// Queues a load report of an endpoint that this node polled, and returns whether it was newer
    /// than the known one.
    pub fn add_load(&mut self, load: Load) -> bool {
        self.outbox.add_load(load, true)
    }

    fn announce(&mut self) {
        let local = self.roster.local.clone();
        self.outbox.add_member(local, self.roster.live_count());
    }
}

/// Probes.
impl View {
    /// Advances the time and returns the target to probe now.
    pub fn tick(&mut self, now: Millis) -> Option<Target> {
        for member in self.roster.expire(now) {
            // The address becomes a seed, so that both sides of a network partition reconnect.
            self.schedule.add_seeds([member.peer]);
            self.outbox.add_member(member, self.roster.live_count());
        }
        self.schedule.next_target(&self.roster, &mut self.rng)
    }

    /// Returns the nodes to which an urgent update is sent immediately.
    pub fn relay_targets(&mut self, now: Millis) -> Vec<Target> {
        self.schedule
            .relay_targets(now, &self.roster, &mut self.rng)
    }

    /// Builds a probe or a probe response; `to` is the name of the receiver, if it is known.
    pub fn build_message(&mut self, now: Millis, to: Option<&str>, mut header: Header) -> Message {
        header.incarnation = self.roster.local.incarnation;
        header.joining = self.is_joining();
        header.digest = self.outbox.digest(now);
        header.draining |= self.roster.local.state == State::Leaving;
        let mut message = Message {
            header,
            members: Vec::new(),
            notices: Vec::new(),
            loads: Vec::new(),
        };
        let left = self.outbox.fill(now, &mut message);
        self.add_introductions(to, &mut message);
        self.add_random_member(now, left, &mut message);
        message
    }

    /// Adds the local record unless the receiver has it, and the receiver's own record if it is
    /// considered suspect or gone.
    fn add_introductions(&mut self, to: Option<&str>, message: &mut Message) {
        let local = self.roster.local.clone();
        let Some(peer) = to.and_then(|name| self.roster.get_mut(name)) else {
            message.members.push(local);
            return;
        };
        if peer.announced_version != Some(local.version) {
            peer.announced_version = Some(local.version);
            message.members.push(local);
        }
        if matches!(peer.member.state, State::Suspect | State::Gone) {
            // The receiver refutes it.
            message.members.push(peer.member.clone());
        }
    }

    /// Adds the record of a random node if it fits, for receivers that missed an update.
    fn add_random_member(&mut self, now: Millis, left: usize, message: &mut Message) {
        if !message.members.is_empty() || !self.outbox.has_reserve(now) {
            return;
        }
        let peer = self
            .schedule
            .sample(&mut self.rng)
            .and_then(|name| self.roster.get(name))
            // Repeating the record of a node that is gone would keep all nodes from forgetting it.
            .filter(|p| p.member.state != State::Gone && p.member.encoded_bytes() <= left);
        if let Some(peer) = peer {
            self.outbox.spend(peer.member.encoded_bytes());
            message.members.push(peer.member.clone());
        }
    }

    /// Merges a received probe or probe response.
    pub fn receive(&mut self, now: Millis, message: Message) -> Received {
        let mut received = Received::default();
        for member in message.members {
            received.urgent |= self.merge(member, now);
        }
        for notice in message.notices {
            if self.add_notice(now, notice.clone()) {
                received.urgent = true;
                received.notices.push(notice);
            }
        }
        let outbox = &mut self.outbox;
        if outbox.digest(now) != message.header.digest {
            outbox.requeue_recent_notices();
        }
        received.loads = message.loads;
        received.loads.retain(|load| outbox.add_load(*load, false));
        let name = self.roster.name(message.header.incarnation).cloned();
        if let Some(peer) = name.and_then(|name| self.roster.get_mut(&name)) {
            peer.heard_at = Some(now);
            peer.update_header(message.header);
            received.sender = Some(peer.member.peer);
        }
        received
    }

    /// Merges the response to a probe of this node.
    pub fn receive_response(&mut self, now: Millis, message: Message) -> Received {
        let known = self.roster.peers().count();
        let received = self.receive(now, message);
        self.responses = self.responses.saturating_add(1);
        if self.roster.peers().count() > known {
            self.quiet_responses = 0;
        } else {
            self.quiet_responses = self.quiet_responses.saturating_add(1);
        }
        received
    }

    fn is_joining(&self) -> bool {
        self.quiet_responses < JOIN_QUIET_RESPONSES && self.responses < MAX_JOIN_RESPONSES
    }

    /// Builds the response to a probe that was merged with [`View::receive`].
    ///
    /// `from` is the incarnation of the sender. A `joining` sender gets the records of many nodes.
    pub fn build_response(
        &mut self,
        now: Millis,
        from: u64,
        joining: bool,
        header: Header,
    ) -> Message {
        let name = self.roster.name(from).cloned();
        let mut message = self.build_message(now, name.as_deref(), header);
        message.header.demand.clear();
        if joining {
            let skip = self.rng.random_range(0..self.roster.live_count());
            let peers = self.roster.peers().map(|p| &p.member);
            let peers: Vec<_> = peers.filter(|m| m.state != State::Gone).collect();
            let members = peers.iter().cycle().skip(skip);
            let members = members.take(peers.len().min(MAX_JOIN_MEMBERS));
            message.members.extend(members.map(|&m| m.clone()));
        }
        message
    }

    /// Handles a probe that got no response.
    pub fn probe_failed(&mut self, now: Millis, target: &Target) {
        let name = target.name.as_deref();
        if let Some(member) = name.and_then(|name| self.roster.probe_failed(name, now)) {
            self.outbox.add_member(member, self.roster.live_count());
        }
    }

    /// Merges a record, and returns whether other nodes need it immediately.
    fn merge(&mut self, member: Member, now: Millis) -> bool {
        let leaving = member.state == State::Leaving;
        let forwarded = member.clone();
        match self.roster.merge(member, now) {
            Merge::Ignored => false,
            Merge::Applied => {
                // The records that a joining node receives are known to the other nodes.
                if !self.is_joining() {
                    self.outbox.add_member(forwarded, self.roster.live_count());
                }
                leaving
            }
            Merge::Refuted => {
                self.announce();
                false
            }
        }
    }
}

/// Demand of other nodes.
impl View {
    /// Estimates the demand of an account at all other nodes, in cost units per second.
    ///
    /// A node receives messages from six others per second. In a large deployment it therefore
    /// knows a sample, and assumes its mean for every node. Headers older than `max_age` do not
    /// count.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "numbers of nodes")]
    pub fn demand(&self, account: u32, now: Millis, max_age: Millis) -> f64 {
        let sampled = self.peers().filter(|peer| {
            let recent = peer.heard_at.is_some_and(|at| now - at <= max_age);
            recent && peer.member.state != State::Gone
        });
        let (mut total, mut count) = (0.0, 0);
        for header in sampled.filter_map(|peer| peer.header.as_ref()) {
            let demand = header.demand.iter().find(|d| d.account == account);
            total += demand.map_or(0.0, |d| f64::from(d.rate));
            count += 1;
        }
        if count == 0 {
            return 0.0;
        }
        total / f64::from(count) * (self.live_count() - 1) as f64
    }
}
