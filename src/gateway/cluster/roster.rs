use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::clock::Millis;

use super::announcement::Announcement;
use super::member::{Claim, Member, News};
use super::readers::{self, Candidate};

/// Time without contact after which a node counts as lost, with few nodes.
const SILENCE: Millis = Millis(1_500);

/// As [`SILENCE`], with many nodes, whose rounds are longer.
const SILENCE_OF_MANY: Millis = Millis(2_500);

/// Time after the loss of a node that watched others within which these find another one.
const ORPHANED: Millis = Millis(3_000);

/// Time without any contact after which a node takes itself for cut off.
const CUT_OFF: Millis = Millis(1_200);

/// Time after which a lost node is forgotten. Longer than a restart takes.
const FORGET: Millis = Millis::from_secs(30);

/// Time since its start after which a node owns the buckets of accounts: it has heard of the others,
/// and of what they granted.
pub(in crate::gateway) const OWNERSHIP_DELAY: Millis = Millis(5_000);

/// Nodes beyond which rounds are longer, and loads at endpoints are not passed on.
const FEW_NODES: usize = 16;

/// Most changes that are passed on at once; about 100 bytes each.
const MOST_NEWS: usize = 256;

/// The other nodes.
///
/// Each node states by which other one it is watched. Only that one, or one that reaches neither of
/// them, claims that a node is lost; a node that was in contact with it objects.
#[derive(Debug)]
pub struct Roster {
    own: Arc<str>,
    members: BTreeMap<Arc<str>, Member>,
    /// Number of the last change.
    version: u64,
    /// Nodes that can't be reached from here, and since when. A call is made twice before it fails.
    unreachable: HashMap<Arc<str>, Millis>,
    last_contact: Millis,
    /// Since when there was contact without a long pause.
    in_contact: Millis,
}

/// Contact.
impl Roster {
    /// Creates the roster of a node that knows no other one.
    #[must_use]
    pub fn new(own: Arc<str>) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            version: 0,
            unreachable: HashMap::new(),
            last_contact: Millis::ZERO,
            in_contact: Millis::ZERO,
        }
    }

    /// Notes that a node called or answered; returns whether it counted as lost, or was not known,
    /// before.
    pub fn contact(&mut self, announcement: Announcement, uptime: Millis, now: Millis) -> bool {
        if announcement.node == self.own {
            return false;
        }
        if self.is_cut_off(now) {
            self.in_contact = now;
            // It was this node that could not be reached.
            self.unreachable.clear();
        }
        self.last_contact = now;
        self.unreachable.remove(&announcement.node);
        let name = Arc::clone(&announcement.node);
        let known = self.members.get(&name);
        let known = known.filter(|m| m.announcement.incarnation >= announcement.incarnation);
        let was_heard = known.is_some_and(|member| self.is_alive(member, now));
        let claim = match known {
            Some(known) if known.claim.alive => known.claim,
            Some(known) => known.claim.next(true),
            None => Claim::first(),
        };
        let changes = known.is_some_and(|known| known.claim != claim);
        self.merge(announcement, claim, uptime, now);
        if changes {
            self.claimed_here(&name);
        }
        if let Some(member) = self.members.get_mut(&name) {
            member.contact = Some(now);
        }
        !was_heard
    }

    /// Notes that a call to a node failed.
    pub fn failed(&mut self, node: &Arc<str>, now: Millis) {
        self.unreachable.entry(Arc::clone(node)).or_insert(now);
    }

    /// Claims nodes as lost that were silent for too long, and forgets those lost long ago.
    pub fn tick(&mut self, now: Millis) {
        // After it was cut off, a node waits until the others had time to call.
        let blind = self.is_cut_off(now) || self.in_contact + self.failure_timeout() > now;
        let lost: Vec<Arc<str>> = if blind {
            Vec::new()
        } else {
            let members = self.members.iter();
            let lost = members.filter(|(_, member)| self.is_lost(member, now));
            lost.map(|(name, _)| Arc::clone(name)).collect()
        };
        for name in lost {
            let Some(member) = self.members.get(&name) else {
                continue;
            };
            let claim = member.claim.next(false);
            let (announcement, uptime) = (member.announcement.clone(), member.uptime(now));
            self.merge(announcement, claim, uptime, now);
            self.claimed_here(&name);
        }
        let gone: Vec<Arc<str>> = self
            .members
            .iter()
            .filter(|(_, member)| !self.is_alive(member, now) && member.claimed + FORGET <= now)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in gone {
            self.members.remove(&name);
            self.unreachable.remove(&name);
        }
    }

    /// Returns whether this node has to claim that another one is lost.
    fn is_lost(&self, member: &Member, now: Millis) -> bool {
        let silence = self.failure_timeout();
        if !member.claim.alive {
            return false;
        }
        if member.announcement.watcher.as_ref() == Some(&self.own) {
            return member.stated + silence <= now && !member.had_contact(silence, now);
        }
        let since = self.unreachable.get(&member.announcement.node);
        let unreachable = since.is_some_and(|since| *since + silence <= now);
        unreachable && self.watcher_lost(member).is_some()
    }

    /// Returns whether there was no contact with any node for a while.
    fn is_cut_off(&self, now: Millis) -> bool {
        self.last_contact + CUT_OFF <= now
    }
}

/// News.
impl Roster {
    /// Returns the changes after a version, oldest first, and the version that they lead to.
    #[must_use]
    pub fn news(&self, since: u64, now: Millis) -> (u64, Vec<News>) {
        self.changes(since, now, |_| true)
    }

    /// Returns the claims of this node itself after a version, as [`Roster::news`]: nobody may ask
    /// for them, so that the node that is asked for news is told.
    #[must_use]
    pub fn own_claims(&self, since: u64, now: Millis) -> (u64, Vec<News>) {
        self.changes(since, now, |member| member.claimed_here)
    }

    fn changes<F>(&self, since: u64, now: Millis, wanted: F) -> (u64, Vec<News>)
    where
        F: Fn(&Member) -> bool,
    {
        let members = self.members.values();
        let mut changed: Vec<&Member> = members
            .filter(|member| member.version > since && wanted(member))
            .collect();
        changed.sort_unstable_by_key(|member| member.version);
        let complete = changed.len() <= MOST_NEWS;
        changed.truncate(MOST_NEWS);
        let last = changed.last().map_or(since, |member| member.version);
        let version = if complete { self.version } else { last };
        let news = changed.into_iter().map(|member| News {
            announcement: member.announcement.clone(),
            claim: member.claim,
            uptime: member.uptime(now),
        });
        (version, news.collect())
    }

    /// Takes in changes that another node passed on.
    pub fn take_in(&mut self, news: Vec<News>, now: Millis) {
        for one in news {
            let known = self.members.get(&one.announcement.node);
            if one.announcement.node == self.own || known.is_none() && !one.claim.alive {
                continue;
            }
            let silence = self.failure_timeout();
            let objects = known.is_some_and(|member| {
                member.announcement.incarnation == one.announcement.incarnation
                    && member.claim.alive
                    && member.had_contact(silence, now)
            });
            let objects = objects && !one.claim.alive;
            let claim = if objects {
                one.claim.next(true)
            } else {
                one.claim
            };
            let name = Arc::clone(&one.announcement.node);
            self.merge(one.announcement, claim, one.uptime, now);
            if objects {
                self.claimed_here(&name);
            }
        }
    }

    /// Notes that the claim on a member is this node's own.
    fn claimed_here(&mut self, node: &Arc<str>) {
        if let Some(member) = self.members.get_mut(node) {
            member.claimed_here = true;
        }
    }

    /// Takes in a announcement and a claim, each if it is newer.
    fn merge(&mut self, announcement: Announcement, claim: Claim, uptime: Millis, now: Millis) {
        let name = Arc::clone(&announcement.node);
        let started = now.0 as i64 - uptime.0 as i64;
        let Some(known) = self
            .members
            .get_mut(&name)
            .filter(|known| known.announcement.incarnation >= announcement.incarnation)
        else {
            self.version += 1;
            // Calls that failed before were to an earlier run.
            self.unreachable.remove(&name);
            let member = Member {
                announcement,
                claim,
                started,
                contact: None,
                stated: now,
                claimed: now,
                claimed_here: false,
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
            known.stated = now;
            changed = true;
        }
        if claim > known.claim {
            if claim.alive {
                self.unreachable.remove(&name);
            }
            known.claim = claim;
            known.claimed = now;
            known.claimed_here = false;
            changed = true;
        }
        if changed {
            self.version += 1;
            known.version = self.version;
        }
    }
}

/// Lookup.
impl Roster {
    /// Returns all nodes that are remembered.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a node by its name.
    #[must_use]
    pub fn member(&self, node: &str) -> Option<&Member> {
        self.members.get(node)
    }

    /// Returns the nodes that are heard.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |m| self.is_alive(m, now))
    }

    /// Returns whether a node is heard, by its watcher, and not found unreachable from here.
    #[must_use]
    pub fn is_alive(&self, member: &Member, now: Millis) -> bool {
        let orphaned = || {
            let lost = self.watcher_lost(member);
            lost.is_some_and(|at| at.max(member.stated) + ORPHANED <= now)
        };
        member.claim.alive && !self.is_unreachable(&member.announcement.node) && !orphaned()
    }

    /// Returns whether the last call to a node failed.
    #[must_use]
    pub fn is_unreachable(&self, node: &str) -> bool {
        self.unreachable.contains_key(node)
    }

    /// Returns since when no node that is heard has watched a member, if so.
    fn watcher_lost(&self, member: &Member) -> Option<Millis> {
        let Some(watcher) = &member.announcement.watcher else {
            return Some(member.stated);
        };
        if *watcher == self.own {
            return None;
        }
        let Some(known) = self.members.get(watcher) else {
            return Some(member.stated);
        };
        let lost = (!known.claim.alive).then_some(known.claimed);
        lost.or(self.unreachable.get(watcher).copied())
    }

    /// Returns whether the nodes are few.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.members.len() <= FEW_NODES
    }

    /// Returns the time without contact after which a node counts as lost.
    #[must_use]
    pub fn failure_timeout(&self) -> Millis {
        if self.is_small() {
            SILENCE
        } else {
            SILENCE_OF_MANY
        }
    }

    /// Returns the node that performs the duties, if it is heard.
    #[must_use]
    pub fn holder(&self, now: Millis) -> Option<&Member> {
        self.alive(now)
            .filter(|member| member.announcement.duties.is_some())
            .max_by_key(|member| member.announcement.duties)
    }

    /// Returns the number of nodes that may be serving, this one included, and how many of them
    /// are not heard.
    #[must_use]
    pub fn count_serving(&self, now: Millis) -> (usize, usize) {
        let serving = self.members.values().filter(|m| !m.announcement.leaving);
        let (mut nodes, mut unheard) = (1, 0);
        for member in serving {
            nodes += 1;
            unheard += usize::from(!self.is_alive(member, now));
        }
        (nodes, unheard)
    }
}

/// Choices that all nodes that hear each other make alike.
impl Roster {
    /// Returns the nodes that read the store for the others. `domain` is this node's failure domain,
    /// and `reads` whether the store answers it.
    #[must_use]
    pub fn readers(&self, domain: &Arc<str>, reads: bool, now: Millis) -> Vec<Arc<str>> {
        let serving = self.alive(now).map(|member| &member.announcement);
        let serving = serving.filter(|announcement| announcement.ready && !announcement.leaving);
        let candidates = serving.map(|announcement| Candidate {
            node: &announcement.node,
            domain: &announcement.domain,
            reads: announcement.reads,
        });
        let own = Candidate {
            node: &self.own,
            domain,
            reads,
        };
        readers::choose(candidates.chain([own]).collect())
    }

    /// Returns the nodes that own the bucket of an account, the first one that answers; none stands
    /// for this node, which has been running for `uptime`.
    ///
    /// Nodes that have just started own buckets only where all have.
    #[must_use]
    pub fn owners(
        &self,
        uptime: Millis,
        account: &str,
        now: Millis,
        most: usize,
    ) -> Vec<Option<SocketAddr>> {
        let seed = xxh3_64(account.as_bytes());
        let others = self
            .alive(now)
            .filter(|member| !member.announcement.leaving);
        let others = others.map(|member| {
            let announcement = &member.announcement;
            (
                &announcement.node,
                member.uptime(now),
                Some(announcement.peer),
            )
        });
        let mut owners: Vec<_> = others
            .chain([(&self.own, uptime, None)])
            .map(|(name, uptime, peer)| {
                let score = xxh3_64_with_seed(name.as_bytes(), seed);
                (uptime >= OWNERSHIP_DELAY, score, peer)
            })
            .collect();
        owners.sort_unstable_by_key(|(settled, score, _)| Reverse((*settled, *score)));
        owners.truncate(most);
        owners.into_iter().map(|(_, _, peer)| peer).collect()
    }
}
