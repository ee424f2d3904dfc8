use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

use super::askers::Askers;
use super::contacts::Contacts;
use super::quotas::Reachability;

/// Time after a takeover for which failure detection may not know yet which nodes are reachable, as a
/// multiple of the time without contact after which a node counts as dead.
const DOUBT_FACTOR: u64 = 2;

/// Time after contact with a node within which it counts as reachable while there is doubt.
const CONTACT_TIME: Millis = Millis(1_000);

/// Time for which the nodes are not counted again for an account; short against the times of failure
/// detection.
const COUNT_LIFETIME: Millis = Millis(20);

/// Minimum time between two reports of one account.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Share of what an account may use in a window below which two owners side by side cannot grant more
/// than the window allows before failure detection tells them apart.
const LOW_USAGE_SHARE: f64 = 0.2;

/// What this node knows of an account's use of its quota in the current window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Consumption {
    /// Units granted, as a share of what the quota allows.
    pub share: f64,
    /// Whether other nodes have reported grants.
    pub is_reported: bool,
}

impl Consumption {
    /// Returns whether the account has surely used little. Without a report, a node that takes a bucket
    /// over does not know what the owner before it granted.
    fn is_low(self, has_taken_over: bool) -> bool {
        self.share < LOW_USAGE_SHARE && (self.is_reported || !has_taken_over)
    }
}

/// What an owner knows of the nodes that ask for decisions on one account.
#[derive(Debug, Default)]
struct Ownership {
    askers: Askers,
    takeover: Option<Takeover>,
    /// How many nodes were counted as reachable, and when.
    counted: Option<(Reachability, Millis)>,
    /// Unreachable nodes beyond those that failure detection knew of, when that was last reported.
    reported: Option<(usize, Millis)>,
}

/// A time in which this node decides because the preferred owners do not respond.
#[derive(Clone, Copy, Debug)]
struct Takeover {
    started: Millis,
    latest: Millis,
}

/// Signs that this node can reach a part of the cluster only.
///
/// Until failure detection notices a partition, each part has an owner of an account's bucket that
/// counts the nodes of the other parts as its own. An owner therefore counts only nodes for which there
/// is evidence, once nodes that asked it have stopped, or it has taken the bucket over.
#[derive(Debug, Default)]
pub struct Partition {
    accounts: HashMap<Arc<str>, Ownership>,
}

/// The other nodes, as failure detection sees them.
pub trait Peers {
    /// Returns whether a node counts as alive.
    fn is_alive(&self, node: &str) -> bool;

    /// Returns whether a node counts as alive and has had contact with this one since a time.
    fn had_contact_since(&self, node: &str, time: Millis) -> bool;

    /// Returns whether a node that was called since a time has responded, or one that was called earlier
    /// still has not; none if it was not called.
    fn has_responded(&self, node: &str, since: Millis) -> Option<bool>;

    /// Returns what contact since a time shows of the nodes; those that are known to reach this one count
    /// as confirmed, whether they had contact or not.
    fn contacts_since<F>(&self, time: Millis, is_known: F) -> Contacts
    where
        F: Fn(&str) -> bool;

    /// Returns the time without contact after which a node counts as dead.
    fn failure_timeout(&self) -> Millis;
}

impl Partition {
    /// Records that a node asked for a decision on an account.
    pub fn record_question(&mut self, account: &Arc<str>, node: &Arc<str>, now: Millis) {
        let ownership = self.accounts.entry(Arc::clone(account)).or_default();
        ownership.askers.record(node, now);
    }

    /// Records that this node decides because the preferred owners did not respond.
    pub fn record_takeover(&mut self, account: &Arc<str>, now: Millis) {
        let ownership = self.accounts.entry(Arc::clone(account)).or_default();
        let first = Takeover {
            started: now,
            latest: now,
        };
        if ownership.takeover.is_none() {
            ownership.counted = None;
        }
        ownership.takeover.get_or_insert(first).latest = now;
    }

    /// Records how many nodes were counted as reachable for decisions on an account.
    pub fn record_count(&mut self, account: &Arc<str>, counted: Reachability, now: Millis) {
        let ownership = self.accounts.entry(Arc::clone(account)).or_default();
        ownership.counted = Some((counted, now));
    }

    /// Returns how many nodes were counted as reachable just now, if they were.
    #[must_use]
    pub fn recent_count(&self, account: &str, now: Millis) -> Option<Reachability> {
        let (counted, at) = self.accounts.get(account)?.counted?;
        (at + COUNT_LIFETIME > now).then_some(counted)
    }

    /// Returns whether to report how many nodes a decision counted as unreachable beyond those that
    /// failure detection knows of: it has changed, and was not reported just now.
    pub fn has_to_report(&mut self, account: &str, unconfirmed: usize, now: Millis) -> bool {
        let Some(ownership) = self.accounts.get_mut(account) else {
            return false;
        };
        let is_due = match ownership.reported {
            Some((count, at)) => count != unconfirmed && at + REPORT_INTERVAL <= now,
            None => unconfirmed > 0,
        };
        if is_due {
            ownership.reported = Some((unconfirmed, now));
        }
        is_due
    }

    /// Returns how many nodes count as reachable for a decision on an account, which may be fewer than
    /// are `known` to failure detection.
    #[must_use]
    pub fn reachability<P>(
        &self,
        account: &str,
        usage: Consumption,
        known: Reachability,
        peers: &P,
        now: Millis,
    ) -> Reachability
    where
        P: Peers,
    {
        let Some(ownership) = self.accounts.get(account) else {
            return known;
        };
        let doubtful_since = ownership.doubtful_since(peers.failure_timeout(), now);
        if usage.is_low(doubtful_since.is_some()) {
            return known;
        }
        let unconfirmed = match doubtful_since {
            Some(since) => {
                let confirmed = 1 + ownership.confirmed(peers, since, now);
                known.nodes.saturating_sub(confirmed)
            }
            None => known.unreachable + ownership.suspects(peers, now),
        };
        Reachability {
            unreachable: known.unreachable.max(unconfirmed).min(known.nodes),
            ..known
        }
    }

    /// Forgets accounts on which no node has asked for long.
    pub fn prune(&mut self, failure_timeout: Millis, now: Millis) {
        self.accounts.retain(|_, ownership| {
            let is_doubtful = ownership.doubtful_since(failure_timeout, now).is_some();
            if !is_doubtful {
                ownership.takeover = None;
            }
            ownership.askers.prune(now) || is_doubtful
        });
    }
}

impl Ownership {
    /// Returns since when failure detection may not know which nodes are reachable; none if it does.
    fn doubtful_since(&self, failure_timeout: Millis, now: Millis) -> Option<Millis> {
        let period = Millis(failure_timeout.0 * DOUBT_FACTOR);
        let takeover = self.takeover.filter(|t| t.latest + period > now)?;
        Some(takeover.started)
    }

    /// Returns the number of other nodes that have shown lately, and since a time, that they reach this
    /// one, and of those that would.
    fn confirmed<P>(&self, peers: &P, since: Millis, now: Millis) -> usize
    where
        P: Peers,
    {
        let contacts_within = |period| {
            let since = since.max(now - period);
            peers.contacts_since(since, |node| self.askers.has_asked(node, since))
        };
        let contacts = contacts_within(CONTACT_TIME);
        let share = contacts
            .response_share()
            .or_else(|| contacts_within(peers.failure_timeout()).response_share());
        contacts.confirmed + contacts.estimated(share)
    }

    /// Returns the number of nodes that count as alive, but stopped asking and had no contact since, less
    /// those that would respond to a call, judged by the ones of them that were called.
    fn suspects<P>(&self, peers: &P, now: Millis) -> usize
    where
        P: Peers,
    {
        let (mut calls, mut lost) = (Contacts::default(), 0);
        for (node, since) in self.askers.silent(now) {
            let is_alive = peers.is_alive(node);
            match peers.has_responded(node, since) {
                Some(true) => calls.answered += 1,
                Some(false) => {
                    calls.unanswered += 1;
                    lost += usize::from(is_alive);
                }
                None if peers.had_contact_since(node, since) => {}
                None => calls.uncalled += usize::from(is_alive),
            }
        }
        lost + calls.uncalled - calls.estimated(calls.response_share())
    }
}
