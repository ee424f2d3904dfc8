use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

use super::Quota;

/// Part of the burst that a node that has just started grants: its predecessors may have used the
/// rest.
const START_LEVEL: f64 = 0.5;

/// Factor of the part of the rate that a node may grant by itself, over its part of what is granted:
/// until others have heard of it, all nodes together stay within as much of the rate.
const OWN_PART: f64 = 1.25;

/// Time over which grants are averaged.
const AVERAGED: Millis = Millis(4_000);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    updated: Millis,
    /// Units that this node granted since it started.
    granted: f64,
    /// What this node may grant before the others hear of it.
    own_level: f64,
    /// Units granted by this node and by the others lately; both fade alike.
    own_lately: f64,
    others_lately: f64,
}

impl Bucket {
    /// Returns this node's part of the rate. The others are taken to use all of the rest, so that a
    /// node that has not heard of them yet takes no more than its even part.
    fn part(&self, rate: f64, nodes: usize) -> f64 {
        let even = 1.0 / nodes.max(1) as f64;
        let rest = rate * AVERAGED.as_f64() / 1_000.0 * (1.0 - even);
        let own = self.own_lately / (self.own_lately + self.others_lately.max(rest)).max(1.0);
        (own.max(even) * OWN_PART).min(1.0)
    }
}

/// Token buckets of the client accounts.
///
/// Each node keeps the bucket of all nodes together: it takes off what it grants itself, what the
/// other nodes say they granted, and an equal share of the rate for each node that is not heard.
/// Among many nodes, whose news are late, a node grants besides no more than its own part of the
/// rate, so that an account that floods all nodes at once gets no more than its quota.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<Arc<str>, Bucket>,
    /// Units granted by each node, as it said last, with its incarnation.
    elsewhere: HashMap<(Arc<str>, u64, Arc<str>), f64>,
}

/// The other nodes, for those that say nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    /// Nodes that may be serving.
    pub nodes: usize,
    /// Those of them that are not heard.
    pub unheard: usize,
    /// Whether news of the others take longer than a moment.
    pub late: bool,
}

impl Quotas {
    /// Grants a request of this cost, or returns the time after which it would be granted.
    ///
    /// # Errors
    ///
    /// Fails with the time until the bucket holds enough.
    pub fn take(
        &mut self,
        account: &Arc<str>,
        quota: &Quota,
        cost: f64,
        silence: Silence,
        now: Millis,
    ) -> Result<(), Millis> {
        if quota.rate <= 0.0 {
            return Ok(());
        }
        let bucket = self.refill(account, quota, silence, now);
        // A request larger than the burst is granted from a full bucket, which then owes the rest.
        let needed = cost.min(quota.burst);
        let part = bucket.part(quota.rate, silence.nodes);
        // A request may be larger than a node's own part, which then owes the rest.
        let own_missing = if silence.late && bucket.own_level <= 0.0 {
            (1.0 - bucket.own_level) / part
        } else {
            0.0
        };
        let missing = (needed - bucket.level).max(own_missing);
        if missing > 0.0 {
            return Err(Millis((missing / quota.rate * 1_000.0).ceil() as u64));
        }
        bucket.level -= cost;
        bucket.own_level -= cost;
        bucket.granted += cost;
        bucket.own_lately += cost;
        Ok(())
    }

    /// Takes in what another node granted to an account since it started.
    pub fn absorb(&mut self, node: &Arc<str>, incarnation: u64, account: &Arc<str>, granted: u64) {
        let granted = granted as f64;
        let entry = (Arc::clone(node), incarnation, Arc::clone(account));
        let known = self.elsewhere.entry(entry).or_insert(0.0);
        let news = granted - *known;
        if news > 0.0 {
            *known = granted;
            if let Some(bucket) = self.buckets.get_mut(account) {
                bucket.level -= news;
                bucket.others_lately += news;
            }
        }
    }

    /// Returns what this node granted to each account since it started.
    pub fn granted(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.buckets
            .iter()
            .map(|(account, bucket)| (account, bucket.granted))
    }

    /// Forgets what nodes that are gone said.
    pub fn retain_nodes<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str, u64) -> bool,
    {
        self.elsewhere
            .retain(|(node, incarnation, _), _| keep(node, *incarnation));
    }

    fn refill(
        &mut self,
        account: &Arc<str>,
        quota: &Quota,
        silence: Silence,
        now: Millis,
    ) -> &mut Bucket {
        let bucket = self
            .buckets
            .entry(Arc::clone(account))
            .or_insert_with(|| Bucket {
                level: quota.burst * START_LEVEL,
                updated: now,
                granted: 0.0,
                own_level: quota.burst / silence.nodes.max(1) as f64,
                own_lately: 0.0,
                others_lately: 0.0,
            });
        let unheard = silence.unheard as f64 / silence.nodes.max(1) as f64;
        let rate = quota.rate * (1.0 - unheard.min(1.0));
        let elapsed = (now - bucket.updated).as_f64() / 1_000.0;
        bucket.level = (bucket.level + rate * elapsed).min(quota.burst);
        let part = bucket.part(quota.rate, silence.nodes);
        let own_most = quota.burst * part;
        bucket.own_level = (bucket.own_level + quota.rate * part * elapsed).min(own_most);
        let left = (-elapsed * 1_000.0 / AVERAGED.as_f64()).exp();
        bucket.own_lately *= left;
        bucket.others_lately *= left;
        bucket.updated = now;
        bucket
    }
}
