use std::collections::HashSet;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::Millis;

use super::outbox::Outbox;
use super::roster::{Merge, Roster};
use super::schedule::Schedule;
use super::{Header, Load, Member, Message, Notice, Peer, State, Target, short_hash};

/// Time between two ticks: three probes a second.
pub const TICK: Millis = Millis(333);

/// Statements about other nodes in the answer to a node that is joining.
const JOIN_MEMBERS: usize = 128;

/// Answers without a new node after which a node no longer asks for many statements, and the most
/// answers for which it does. With a fixed number of 8 answers, 4 of 369 nodes were still unknown
/// five minutes after 370 nodes had started together.
const JOIN_QUIET_ANSWERS: u32 = 8;
const JOIN_ANSWERS: u32 = 64;

/// What a message from another node changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Received {
    /// Notices about endpoints that were new here.
    pub notices: Vec<Notice>,
    /// Load reports that were newer than the ones known here.
    pub loads: Vec<Load>,
    /// Whether something arrived that other nodes have to know at once.
    pub urgent: bool,
    /// Address of the sender for other nodes, once it is known.
    pub sender: Option<SocketAddr>,
}

/// What one node knows about the others and has to tell them.
///
/// Statements about a process are ordered by incarnation, version and state, and the greatest one
/// stays, so that all nodes agree whatever the order in which statements arrive. Only the process
/// itself raises the version, to object to a suspicion or to announce that it is leaving.
///
/// The cost per tick does not depend on the number of nodes: one target, and messages of bounded
/// size whose updates follow a token bucket.
#[derive(Clone, Debug)]
pub struct View {
    roster: Roster,
    outbox: Outbox,
    schedule: Schedule,
    answers: u32,
    quiet_answers: u32,
    rng: SmallRng,
}

/// Construction.
impl View {
    /// Creates the view of a process that knows nothing but addresses to start from.
    #[must_use]
    pub fn new(own: Member, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            roster: Roster::new(own),
            outbox: Outbox::new(),
            schedule: Schedule::new(seeds),
            answers: 0,
            quiet_answers: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds addresses at which nodes may exist, for example from the host list.
    pub fn add_seeds<T>(&mut self, addresses: T)
    where
        T: IntoIterator<Item = SocketAddr>,
    {
        self.schedule.add_seeds(addresses);
    }
}

/// What is known.
impl View {
    /// Returns the own statement.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.roster.local
    }

    /// Returns whether a later process has taken the own name at another address.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.roster.superseded
    }

    /// Returns the other nodes, those that are gone included.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.roster.peers()
    }

    /// Returns the other nodes that may get new work.
    pub fn available(&self) -> impl Iterator<Item = &Peer> {
        self.peers().filter(|peer| peer.is_available())
    }

    /// Returns a node by its name.
    #[must_use]
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.roster.get(name)
    }

    /// Returns the number of nodes that are not gone, this one included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.roster.live_count()
    }

    /// Returns how many nodes of the own failure domain that may get new work come before this one
    /// in an order that is the same at all nodes and mixes those that started at the same time.
    #[must_use]
    pub fn domain_rank(&self) -> usize {
        let own = self.local();
        let place = (short_hash(&own.name), &own.name);
        self.available()
            .map(|peer| &peer.member)
            .filter(|other| other.domain == own.domain)
            .filter(|other| (short_hash(&other.name), &other.name) < place)
            .count()
    }

    /// Returns the number of updates that wait to be passed on.
    #[must_use]
    pub fn pending_updates(&self) -> usize {
        self.outbox.len()
    }
}

/// Changes that this node makes.
impl View {
    /// Announces that this process is leaving; this is never taken back.
    pub fn leave(&mut self) {
        if self.roster.local.state != State::Leaving {
            self.roster.local.state = State::Leaving;
            self.roster.local.version += 1;
            self.announce();
        }
    }

    /// Passes on that an endpoint is leaving, and returns whether this was new.
    pub fn add_notice(&mut self, now: Millis, notice: Notice) -> bool {
        self.outbox
            .add_notice(notice, self.roster.live_count(), now)
    }

    /// Sets the endpoints whose load reports are passed on when they come from another node, as
    /// hashes of their hosts' names.
    ///
    /// In a large deployment these are the endpoints of the own failure domain: at 600 endpoints
    /// the bytes do not suffice for all.
    pub fn set_relayed_hosts(&mut self, hosts: HashSet<u32>) {
        self.outbox.set_relayed_hosts(hosts);
    }

    /// Passes on a load report of an endpoint that this node polled, and returns whether it was newer than the one known.
    pub fn add_load(&mut self, load: Load) -> bool {
        self.outbox.add_load(load, true)
    }

    fn announce(&mut self) {
        let own = self.roster.local.clone();
        self.outbox.add_member(own, self.roster.live_count());
    }
}

/// Probes.
impl View {
    /// Advances the time and returns the node to probe now.
    pub fn tick(&mut self, now: Millis) -> Option<Target> {
        for member in self.roster.expire(now) {
            // The address stays a hint, so that both sides of a partition find each other again.
            self.schedule.add_seeds([member.peer]);
            self.outbox.add_member(member, self.roster.live_count());
        }
        self.schedule.next(&self.roster, &mut self.rng)
    }

    /// Returns the nodes that have to learn an urgent update at once.
    pub fn relay_targets(&mut self, now: Millis) -> Vec<Target> {
        self.schedule
            .relay_targets(now, &self.roster, &mut self.rng)
    }

    /// Builds the probe of a node or the answer to one; `to` is its name, if it is known.
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
        self.introduce(to, &mut message);
        self.refresh(now, left, &mut message);
        message
    }

    /// Adds the own statement unless the receiver has it, and what is said about the receiver.
    fn introduce(&mut self, to: Option<&str>, message: &mut Message) {
        let own = self.roster.local.clone();
        let Some(peer) = to.and_then(|name| self.roster.get_mut(name)) else {
            message.members.push(own);
            return;
        };
        if peer.announced_version != Some(own.version) {
            peer.announced_version = Some(own.version);
            message.members.push(own);
        }
        if matches!(peer.member.state, State::Suspect | State::Gone) {
            // So that it can object.
            message.members.push(peer.member.clone());
        }
    }

    /// Adds a statement about a random node, if there is room, for nodes that missed it.
    fn refresh(&mut self, now: Millis, left: usize, message: &mut Message) {
        if !message.members.is_empty() || !self.outbox.has_reserve(now) {
            return;
        }
        let peer = self
            .schedule
            .sample(&mut self.rng)
            .and_then(|name| self.roster.get(name))
            // Repeating that a node is gone would keep all nodes from forgetting it.
            .filter(|p| p.member.state != State::Gone && p.member.encoded_bytes() <= left);
        if let Some(peer) = peer {
            self.outbox.spend(peer.member.encoded_bytes());
            message.members.push(peer.member.clone());
        }
    }

    /// Takes over what a probe or the answer to one says.
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

    /// Takes over what the answer to a probe says.
    pub fn receive_response(&mut self, now: Millis, message: Message) -> Received {
        let known = self.roster.peers().count();
        let received = self.receive(now, message);
        self.answers = self.answers.saturating_add(1);
        if self.roster.peers().count() > known {
            self.quiet_answers = 0;
        } else {
            self.quiet_answers = self.quiet_answers.saturating_add(1);
        }
        received
    }

    fn is_joining(&self) -> bool {
        self.quiet_answers < JOIN_QUIET_ANSWERS && self.answers < JOIN_ANSWERS
    }

    /// Builds the answer to a probe that was taken over with [`View::receive`].
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
            let members = members.take(peers.len().min(JOIN_MEMBERS));
            message.members.extend(members.map(|&m| m.clone()));
        }
        message
    }

    /// Notes that a node did not answer a probe.
    pub fn probe_failed(&mut self, now: Millis, target: &Target) {
        let name = target.name.as_deref();
        if let Some(member) = name.and_then(|name| self.roster.probe_failed(name, now)) {
            self.outbox.add_member(member, self.roster.live_count());
        }
    }

    /// Takes a statement over, and returns whether others have to know it at once.
    fn merge(&mut self, member: Member, now: Millis) -> bool {
        let leaving = member.state == State::Leaving;
        let passed_on = member.clone();
        match self.roster.merge(member, now) {
            Merge::Ignored => false,
            Merge::Applied => {
                // A node that is joining learns what the others know already.
                if !self.is_joining() {
                    self.outbox.add_member(passed_on, self.roster.live_count());
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
    /// Estimates the rate at which callers of an account ask all other nodes for work.
    ///
    /// A node hears from six others a second, so that in a large deployment it knows a sample, of
    /// which the mean is taken for all. Headers older than `max_age` do not count.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "numbers of nodes")]
    pub fn demand(&self, account: u32, now: Millis, max_age: Millis) -> f64 {
        let heard = self.peers().filter(|peer| {
            let heard = peer.heard_at.is_some_and(|at| now - at <= max_age);
            heard && peer.member.state != State::Gone
        });
        let (mut total, mut count) = (0.0, 0);
        for header in heard.filter_map(|peer| peer.header.as_ref()) {
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
