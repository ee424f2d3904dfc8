use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

use super::askers::Askers;
use super::quotas::Reachability;

/// Time after a takeover for which failure detection may not know yet which nodes are reachable, as a
/// multiple of the time without contact after which a node counts as dead.
const DOUBT_FACTOR: u64 = 2;

/// Time after contact with a node within which it counts as reachable while there is doubt.
const CONTACT_TIME: Millis = Millis(1_000);

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

    /// Returns the number of nodes that count as alive and have had contact with this one since a
    /// time.
    fn count_contacts_since(&self, time: Millis) -> usize;

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
        ownership.takeover.get_or_insert(first).latest = now;
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
    /// one.
    fn confirmed<P>(&self, peers: &P, since: Millis, now: Millis) -> usize
    where
        P: Peers,
    {
        let since = since.max(now - CONTACT_TIME);
        let askers = self.askers.since(since);
        let others = askers.filter(|node| !peers.had_contact_since(node, since));
        peers.count_contacts_since(since) + others.count()
    }

    /// Returns the number of nodes that count as alive, but stopped asking and had no contact since.
    fn suspects<P>(&self, peers: &P, now: Millis) -> usize
    where
        P: Peers,
    {
        let silent = self.askers.silent(now);
        let suspects = silent
            .filter(|(node, since)| peers.is_alive(node) && !peers.had_contact_since(node, *since));
        suspects.count()
    }
}
