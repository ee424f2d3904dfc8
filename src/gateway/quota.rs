use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

use super::Quota;

/// Part of the burst that a node that has just started grants: its predecessors may have used the
/// rest.
const START_LEVEL: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    updated: Millis,
    /// Units that this node granted since it started.
    granted: f64,
}

/// Token buckets of the client accounts.
///
/// Each node keeps the bucket of all nodes together: it takes off what it grants itself, what the
/// other nodes say they granted, and an equal share of the rate for each node that is not heard.
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
        if bucket.level >= needed {
            bucket.level -= cost;
            bucket.granted += cost;
            return Ok(());
        }
        let missing = needed - bucket.level;
        Err(Millis((missing / quota.rate * 1_000.0).ceil() as u64))
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
            });
        let unheard = silence.unheard as f64 / silence.nodes.max(1) as f64;
        let rate = quota.rate * (1.0 - unheard.min(1.0));
        let elapsed = (now - bucket.updated).as_f64() / 1_000.0;
        bucket.level = (bucket.level + rate * elapsed).min(quota.burst);
        bucket.updated = now;
        bucket
    }
}
