use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::clock::Millis;

use super::announcement::Announcement;
use super::isolation::Isolation;
use super::member::{Claim, Member, MemberUpdate};
use super::phase::Phase;
use super::readers::{self, Candidate};

/// Time without contact after which a node counts as dead in a small cluster.
const SMALL_CLUSTER_TIMEOUT: Millis = Millis(1_500);

/// As [`SMALL_CLUSTER_TIMEOUT`], for a large cluster, whose rounds are longer.
const LARGE_CLUSTER_TIMEOUT: Millis = Millis(2_500);

/// Time after the death of its watcher within which a node has to find another one.
const UNWATCHED_TIMEOUT: Millis = Millis(3_000);

/// Time for which a dead node is remembered; longer than a restart takes.
const DEAD_RETENTION: Millis = Millis::from_secs(30);

/// Maximum number of other nodes in a small cluster. In a larger one, rounds are longer and nodes do
/// not announce their requests in flight.
const MAX_SMALL_CLUSTER_NODES: usize = 16;

/// Maximum number of member updates in one message; each takes about 100 bytes.
const MAX_UPDATES: usize = 256;

/// Consecutive failed calls to a node.
#[derive(Clone, Copy, Debug)]
struct Failures {
    since: Millis,
    latest: Millis,
}

/// The other nodes.
///
/// Each node announces which other node watches it. Only the watcher, or a node that can reach
/// neither of the two, claims that a node is dead. A node that recently had contact with the node
/// refutes the claim.
#[derive(Debug)]
pub struct Roster {
    own: Arc<str>,
    members: BTreeMap<Arc<str>, Member>,
    /// Version of the latest change.
    version: u64,
    /// Nodes that this one cannot reach. A call is made twice before it fails.
    unreachable: HashMap<Arc<str>, Failures>,
    isolation: Isolation,
    /// When a node was last found to have ended without a shutdown, or to be unreachable.
    lost_at: Option<Millis>,
}

/// Failure detection.
impl Roster {
    /// Creates an empty roster for the node `own`.
    #[must_use]
    pub fn new(own: Arc<str>) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            version: 0,
            unreachable: HashMap::new(),
            isolation: Isolation::default(),
            lost_at: None,
        }
    }

    /// Records a request or response of a node; returns whether the node did not count as alive
    /// before.
    pub fn record_contact(
        &mut self,
        announcement: Announcement,
        uptime: Millis,
        now: Millis,
    ) -> bool {
        if announcement.node == self.own {
            return false;
        }
        self.isolation.record_contact(now);
        self.unreachable.remove(&announcement.node);
        let name = Arc::clone(&announcement.node);
        let known = self.members.get(&name);
        let known = known.filter(|m| m.announcement.incarnation >= announcement.incarnation);
        let was_alive = known.is_some_and(|member| self.is_alive(member, now));
        let claim = match known {
            Some(known) if known.claim.alive => known.claim,
            Some(known) => known.claim.next(true),
            None => Claim::initial(),
        };
        let changes = known.is_some_and(|known| known.claim != claim);
        self.hear_of(&name);
        self.merge(announcement, claim, uptime, now);
        if changes {
            self.mark_claimed_locally(&name);
        }
        if let Some(member) = self.members.get_mut(&name) {
            member.last_contact = Some(now);
        }
        !was_alive
    }

    /// Records that this node calls another one, unless an earlier call is still unanswered.
    pub fn record_call(&mut self, node: &str, now: Millis) {
        let known = self.members.get(node);
        if !known.is_some_and(|member| self.is_alive(member, now)) {
            return;
        }
        if let Some(member) = self.members.get_mut(node).filter(|m| !m.owes_response()) {
            member.called_at = Some(now);
        }
    }

    /// Records a failed call to a node; returns whether the node counted as alive before.
    pub fn record_failure(&mut self, node: &Arc<str>, now: Millis) -> bool {
        let known = self.members.get(node);
        let was_alive = known.is_some_and(|member| self.is_alive(member, now));
        if was_alive && known.is_some_and(|member| !member.announcement.leaving) {
            self.lost_at = Some(now);
        }
        let failures = self.unreachable.entry(Arc::clone(node));
        let first = Failures {
            since: now,
            latest: now,
        };
        failures.or_insert(first).latest = now;
        was_alive
    }

    /// Claims nodes as dead that have been silent for too long, and forgets those that have been
    /// dead for long.
    pub fn tick(&mut self, now: Millis) {
        self.isolation.tick(self.members.keys().cloned(), now);
        // After an isolation, a node first gives the others time to make contact.
        let dead: Vec<Arc<str>> = if self.isolation.is_recent(self.failure_timeout(), now) {
            Vec::new()
        } else {
            let members = self.members.iter();
            let dead = members.filter(|(_, member)| self.must_claim_dead(member, now));
            dead.map(|(name, _)| Arc::clone(name)).collect()
        };
        for name in dead {
            let Some(member) = self.members.get(&name) else {
                continue;
            };
            let claim = member.claim.next(false);
            let (announcement, uptime) = (member.announcement.clone(), member.uptime(now));
            self.merge(announcement, claim, uptime, now);
            self.mark_claimed_locally(&name);
        }
        let expired: Vec<Arc<str>> = self
            .members
            .iter()
            .filter(|(_, member)| {
                !self.is_alive(member, now) && member.claimed_at + DEAD_RETENTION <= now
            })
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in expired {
            self.members.remove(&name);
            self.unreachable.remove(&name);
            self.isolation.clear(&name);
        }
    }

    /// Returns whether it is up to this node to claim that another one is dead.
    fn must_claim_dead(&self, member: &Member, now: Millis) -> bool {
        let timeout = self.failure_timeout();
        if !member.claim.alive {
            return false;
        }
        if member.announcement.watcher.as_ref() == Some(&self.own) {
            return member.announced_at + timeout <= now && !member.had_contact(timeout, now);
        }
        let failures = self.unreachable.get(&member.announcement.node);
        let unreachable = failures.is_some_and(|failures| {
            // During an isolation, calls fail because of this node.
            failures.since + timeout <= now && !self.isolation.was_isolated_at(failures.latest)
        });
        unreachable && self.unwatched_since(member).is_some()
    }
}

/// Exchange of updates.
impl Roster {
    /// Returns the changes after a version, oldest first, and the version that they lead to.
    #[must_use]
    pub fn updates_since(&self, version: u64, now: Millis) -> (u64, Vec<MemberUpdate>) {
        self.select_updates(version, now, |_| true)
    }

    /// Returns the claims of this node itself after a version, as [`Roster::updates_since`] does.
    ///
    /// There may be no node that requests updates from this one, so it sends its claims to the node
    /// from which it requests updates itself.
    #[must_use]
    pub fn own_claims_since(&self, version: u64, now: Millis) -> (u64, Vec<MemberUpdate>) {
        self.select_updates(version, now, |member| member.claimed_locally)
    }

    fn select_updates<F>(&self, since: u64, now: Millis, wanted: F) -> (u64, Vec<MemberUpdate>)
    where
        F: Fn(&Member) -> bool,
    {
        let members = self.members.values();
        let mut changed: Vec<&Member> = members
            .filter(|member| member.version > since && wanted(member))
            .filter(|member| !self.isolation.is_unheard(&member.announcement.node))
            .collect();
        changed.sort_unstable_by_key(|member| member.version);
        let complete = changed.len() <= MAX_UPDATES;
        changed.truncate(MAX_UPDATES);
        let last = changed.last().map_or(since, |member| member.version);
        let version = if complete { self.version } else { last };
        let updates = changed.into_iter().map(|member| MemberUpdate {
            announcement: member.announcement.clone(),
            claim: member.claim,
            uptime: member.uptime(now),
        });
        (version, updates.collect())
    }

    /// Applies updates that another node passed on.
    pub fn apply(&mut self, updates: Vec<MemberUpdate>, now: Millis) {
        for update in updates {
            if update.announcement.node == self.own {
                continue;
            }
            let known = self.members.get(&update.announcement.node);
            if known.is_none() && !update.claim.alive {
                self.remember_dead(update, now);
                continue;
            }
            let timeout = self.failure_timeout();
            let refutes = known.is_some_and(|member| {
                member.announcement.incarnation == update.announcement.incarnation
                    && member.claim.alive
                    && member.had_contact(timeout, now)
            });
            let refutes = refutes && !update.claim.alive;
            let claim = if refutes {
                update.claim.next(true)
            } else {
                update.claim
            };
            let name = Arc::clone(&update.announcement.node);
            self.merge(update.announcement, claim, update.uptime, now);
            if refutes {
                self.mark_claimed_locally(&name);
            }
        }
    }

    /// Records a claim that an unknown node is dead, so that an outdated claim of another node does
    /// not make it count as alive.
    ///
    /// It is not passed on: nodes that pass such claims on to each other would never forget them.
    fn remember_dead(&mut self, update: MemberUpdate, now: Millis) {
        let name = Arc::clone(&update.announcement.node);
        self.merge(update.announcement, update.claim, update.uptime, now);
        if let Some(member) = self.members.get_mut(&name) {
            member.version = 0;
        }
    }

    /// Marks the claim on a member as made by this node.
    fn mark_claimed_locally(&mut self, node: &Arc<str>) {
        if let Some(member) = self.members.get_mut(node) {
            member.claimed_locally = true;
        }
    }

    /// Records news of a node. Other nodes have to learn of it if there was none since an isolation.
    fn hear_of(&mut self, node: &str) {
        if !self.isolation.clear(node) {
            return;
        }
        if let Some(member) = self.members.get_mut(node) {
            self.version += 1;
            member.version = self.version;
        }
    }

    /// Merges an announcement and a claim, each only if it is newer than the known one.
    fn merge(&mut self, announcement: Announcement, claim: Claim, uptime: Millis, now: Millis) {
        let name = Arc::clone(&announcement.node);
        let started = now.0 as i64 - uptime.0 as i64;
        let Some(known) = self
            .members
            .get_mut(&name)
            .filter(|known| known.announcement.incarnation >= announcement.incarnation)
        else {
            self.version += 1;
            // Earlier failed calls were to a previous run.
            self.unreachable.remove(&name);
            self.isolation.clear(&name);
            let earlier = self.members.get(&name);
            if earlier.is_some_and(|earlier| !earlier.announcement.leaving) {
                self.lost_at = Some(now);
            }
            let member = Member {
                announcement,
                claim,
                started,
                last_contact: None,
                called_at: None,
                announced_at: now,
                claimed_at: now,
                claimed_locally: false,
                version: self.version,
            };
            self.members.insert(name, member);
            return;
        };
        if known.announcement.incarnation > announcement.incarnation {
            return;
        }
        let mut changed = false;
        if announcement.sequence > known.announcement.sequence {
            known.announcement = announcement;
            known.announced_at = now;
            changed = true;
        }
        if claim > known.claim {
            if claim.alive {
                self.unreachable.remove(&name);
            }
            if !claim.alive && !known.announcement.leaving {
                self.lost_at = Some(now);
            }
            known.claim = claim;
            known.claimed_at = now;
            known.claimed_locally = false;
            changed = true;
        }
        if changed {
            self.isolation.clear(&name);
            self.version += 1;
            known.version = self.version;
        }
    }
}

/// Lookup.
impl Roster {
    /// Returns all members, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a member by its name.
    #[must_use]
    pub fn member(&self, node: &str) -> Option<&Member> {
        self.members.get(node)
    }

    /// Returns the nodes that are alive.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |m| self.is_alive(m, now))
    }

    /// Returns the nodes that count as alive although this node had no contact with them lately.
    pub fn alive_without_contact(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let period = self.failure_timeout();
        self.alive(now)
            .filter(move |member| !member.had_contact(period, now))
    }

    /// Returns whether a node counts as alive: it is claimed to be alive, this node can reach it and
    /// has heard of it since the last isolation, and it has not been without a watcher for too long.
    #[must_use]
    pub fn is_alive(&self, member: &Member, now: Millis) -> bool {
        let unwatched = || {
            let since = self.unwatched_since(member);
            since.is_some_and(|at| at.max(member.announced_at) + UNWATCHED_TIMEOUT <= now)
        };
        let name = &member.announcement.node;
        let is_heard = !self.is_unreachable(name) && !self.isolation.is_unheard(name);
        member.claim.alive && is_heard && !unwatched()
    }

    /// Returns whether the last call to a node failed.
    #[must_use]
    pub fn is_unreachable(&self, node: &str) -> bool {
        self.unreachable.contains_key(node)
    }

    /// Returns since when a member has had no watcher that is alive; none while it has one.
    fn unwatched_since(&self, member: &Member) -> Option<Millis> {
        let Some(watcher) = &member.announcement.watcher else {
            return Some(member.announced_at);
        };
        if *watcher == self.own {
            return None;
        }
        let Some(known) = self.members.get(watcher) else {
            return Some(member.announced_at);
        };
        let dead_since = (!known.claim.alive).then_some(known.claimed_at);
        dead_since.or(self.unreachable.get(watcher).map(|failures| failures.since))
    }

    /// Returns when a node was last found to have ended without a shutdown, or to be unreachable.
    #[must_use]
    pub fn lost_at(&self) -> Option<Millis> {
        self.lost_at
    }

    /// Returns whether the cluster is small.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.members.len() <= MAX_SMALL_CLUSTER_NODES
    }

    /// Returns the time without contact after which a node counts as dead.
    #[must_use]
    pub fn failure_timeout(&self) -> Millis {
        if self.is_small() {
            SMALL_CLUSTER_TIMEOUT
        } else {
            LARGE_CLUSTER_TIMEOUT
        }
    }

    /// Returns the node that holds the lease of the duties, if it is alive.
    #[must_use]
    pub fn holder(&self, now: Millis) -> Option<&Member> {
        self.alive(now)
            .filter(|member| member.announcement.duties_fence.is_some())
            .max_by_key(|member| member.announcement.duties_fence)
    }

    /// Returns the number of nodes that may be serving, this one included, and how many of them are
    /// not alive.
    #[must_use]
    pub fn count_serving(&self, now: Millis) -> (usize, usize) {
        let serving = self.members.values().filter(|m| !m.announcement.leaving);
        let (mut nodes, mut not_alive) = (1, 0);
        for member in serving {
            nodes += 1;
            not_alive += usize::from(!self.is_alive(member, now));
        }
        (nodes, not_alive)
    }
}

/// Choices on which all nodes with the same view of the cluster agree.
impl Roster {
    /// Returns the nodes that read the store on behalf of the others. `domain` is this node's
    /// failure domain, and `store_available` whether it can read the store.
    #[must_use]
    pub fn readers(&self, domain: &Arc<str>, store_available: bool, now: Millis) -> Vec<Arc<str>> {
        let serving = self.alive(now).map(|member| &member.announcement);
        let serving = serving.filter(|announcement| announcement.ready && !announcement.leaving);
        let candidates = serving.map(|announcement| Candidate {
            node: &announcement.node,
            domain: &announcement.domain,
            store_available: announcement.store_available,
        });
        let own = Candidate {
            node: &self.own,
            domain,
            store_available,
        };
        readers::choose(candidates.chain([own]).collect())
    }

    /// Returns up to `limit` nodes that may own the bucket of an account, in order of preference.
    ///
    /// The first one that responds is the owner. `None` stands for this node, whose phase is `phase`.
    /// Nodes that have just started own buckets only where none has been running for longer, and
    /// nodes that are shutting down only where there is no other one.
    #[must_use]
    pub fn owners(
        &self,
        phase: Phase,
        account: &str,
        now: Millis,
        limit: usize,
    ) -> Vec<Option<SocketAddr>> {
        let seed = xxh3_64(account.as_bytes());
        let others = self.alive(now).map(|member| {
            let announcement = &member.announcement;
            let phase = Phase::new(member.uptime(now), announcement.leaving);
            (&announcement.node, phase, Some(announcement.peer))
        });
        let mut owners: Vec<_> = others
            .chain([(&self.own, phase, None)])
            .map(|(name, phase, peer)| {
                let score = xxh3_64_with_seed(name.as_bytes(), seed);
                (phase, score, peer)
            })
            .collect();
        owners.sort_unstable_by_key(|(phase, score, _)| Reverse((*phase, *score)));
        owners.truncate(limit);
        owners.into_iter().map(|(_, _, peer)| peer).collect()
    }
}
