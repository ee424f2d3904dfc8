use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::Quota;

use super::bucket::{Bucket, Denial, Limit};
use super::tolerance::Tolerance;

/// Part of the burst in a bucket that is new: another owner may have granted the rest.
const START_LEVEL: f64 = 0.5;

/// Part of the rate that an account may use for a bucket to start with its part of the burst.
const START_RATE: f64 = 0.5;

/// Time over which grants of other nodes are added up.
const AVERAGED: Millis = Millis(4_000);

/// Age at which a bucket starts anew: another node has owned it since.
const UNUSED: Millis = Millis(2_000);

/// The other nodes, for those that say nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Nodes that may be serving, this one included.
    pub nodes: usize,
    /// Those of them that are not heard.
    pub unreachable: usize,
}

impl Reachability {
    /// Returns the part of a quota that this node may decide on for those that it hears.
    fn heard_part(self) -> f64 {
        1.0 - (self.unreachable as f64 / self.nodes.max(1) as f64).min(1.0)
    }

    /// Returns the part of a quota that belongs to this node alone.
    fn own_part(self) -> f64 {
        1.0 / self.nodes.max(1) as f64
    }
}

/// Units that fade.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    units: f64,
    updated: Millis,
}

impl Fading {
    fn add(&mut self, units: f64, now: Millis) {
        self.units = self.at(now) + units;
        self.updated = now;
    }

    fn at(&self, now: Millis) -> f64 {
        self.units * (-(now - self.updated).as_f64() / AVERAGED.as_f64()).exp()
    }
}

/// What another node says that it granted to an account since it started.
#[derive(Clone, Copy, Debug)]
pub struct GrantReport<'a> {
    /// Name of the node.
    pub node: &'a Arc<str>,
    /// Wall time of its start.
    pub incarnation: u64,
    /// Whether it started a moment ago, so that all of it was granted lately.
    pub recently_started: bool,
    /// Units.
    pub units: u64,
}

/// Token buckets of the client accounts.
#[derive(Debug, Default)]
pub struct Quotas {
    own: Arc<str>,
    tolerance: Tolerance,
    started: Millis,
    /// Buckets that this node owns, of all nodes that it hears.
    owned: HashMap<Arc<str>, Bucket>,
    /// This node's own part, for the time in which no owner answers.
    alone: HashMap<Arc<str>, Bucket>,
    /// Units that this node granted since it started.
    granted: HashMap<Arc<str>, f64>,
    /// Units granted by each node, as it said last, with its incarnation.
    elsewhere: HashMap<(Arc<str>, u64, Arc<str>), f64>,
    /// Units granted by other nodes lately.
    lately: HashMap<Arc<str>, Fading>,
}

/// Decisions.
impl Quotas {
    /// Creates the quotas of the node `own`, which starts now, to be kept this exactly.
    #[must_use]
    pub fn new(own: Arc<str>, tolerance: Tolerance, now: Millis) -> Self {
        Self {
            own,
            tolerance,
            started: now,
            ..Self::default()
        }
    }

    /// Grants a request of this cost as the owner of the account's bucket.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the request may be granted, and what decided it.
    pub fn take(
        &mut self,
        account: &Arc<str>,
        quota: &Quota,
        cost: f64,
        silence: Reachability,
        now: Millis,
    ) -> Result<(), Denial> {
        if quota.rate <= 0.0 {
            return Ok(());
        }
        let limit = self.limit(quota, silence.heard_part());
        let unused = |bucket: &Bucket| bucket.updated() + UNUSED <= now;
        if self.owned.get(account).is_none_or(unused) {
            let level = self.first_level(account, &limit, now);
            self.owned
                .insert(Arc::clone(account), Bucket::new(level, now));
        }
        let bucket = self.owned.get_mut(account).expect("it was inserted");
        bucket.take(&limit, cost, now)?;
        self.count(account, cost);
        Ok(())
    }

    /// Grants a request from this node's own part, because no owner answers.
    ///
    /// # Errors
    ///
    /// As [`Quotas::take`].
    pub fn take_local(
        &mut self,
        account: &Arc<str>,
        quota: &Quota,
        cost: f64,
        silence: Reachability,
        now: Millis,
    ) -> Result<(), Denial> {
        if quota.rate <= 0.0 {
            return Ok(());
        }
        let mut limit = self.limit(quota, silence.own_part());
        // Many nodes may be alone at the same time, and each may owe a whole request.
        limit.allowance = 0.0;
        let bucket = self.alone.entry(Arc::clone(account));
        let bucket = bucket.or_insert_with(|| Bucket::new(limit.burst * START_LEVEL, now));
        bucket.take(&limit, cost, now)?;
        self.count(account, cost);
        Ok(())
    }

    fn limit(&self, quota: &Quota, part: f64) -> Limit {
        Limit {
            rate: quota.rate * part,
            burst: quota.burst * part,
            allowance: self.tolerance.allowance(quota) * part,
        }
    }

    /// Returns the level of a bucket that this node begins to own: less than a part of the burst by
    /// what others granted lately beyond a part of the rate.
    fn first_level(&self, account: &Arc<str>, limit: &Limit, now: Millis) -> f64 {
        let lately = self.lately.get(account).map_or(0.0, |units| units.at(now));
        let passed = AVERAGED.min(now - self.started).as_f64();
        let expected = limit.rate * START_RATE * passed / 1_000.0;
        let most = limit.burst * START_LEVEL;
        (most - (lately - expected).max(0.0)).max(-limit.allowance)
    }

    fn count(&mut self, account: &Arc<str>, cost: f64) {
        *self.granted.entry(Arc::clone(account)).or_default() += cost;
    }
}

/// Exchange with other nodes.
impl Quotas {
    /// Takes in what another node granted to an account, whose quota is given if it is known.
    pub fn merge(
        &mut self,
        granted: &GrantReport<'_>,
        account: &Arc<str>,
        quota: Option<&Quota>,
        now: Millis,
    ) {
        if *granted.node == self.own {
            return;
        }
        let units = granted.units as f64;
        let (node, incarnation) = (Arc::clone(granted.node), granted.incarnation);
        let entry = (node, incarnation, Arc::clone(account));
        // What a node granted long before this one first heard of it is no news.
        let before = if granted.recently_started { 0.0 } else { units };
        let known = self.elsewhere.entry(entry).or_insert(before);
        let news = units - *known;
        if news <= 0.0 {
            return;
        }
        *known = units;
        self.lately
            .entry(Arc::clone(account))
            .or_default()
            .add(news, now);
        let limit = quota.map(|quota| self.limit(quota, 1.0));
        if let (Some(bucket), Some(limit)) = (self.owned.get_mut(account), limit) {
            bucket.granted_elsewhere(news, &limit);
        }
    }

    /// Returns what this node granted to each account since it started.
    pub fn granted(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.granted
            .iter()
            .map(|(account, units)| (account, *units))
    }

    /// Returns what this node granted since it started to the accounts whose buckets it owns now.
    pub fn granted_as_owner(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let owned = self.owned.iter();
        let used = owned.filter(move |(_, bucket)| bucket.updated() + UNUSED > now);
        used.filter_map(|(account, _)| Some((account, *self.granted.get(account)?)))
    }

    /// Forgets what nodes that are gone said.
    pub fn retain_nodes<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str, u64) -> bool,
    {
        self.elsewhere
            .retain(|(node, incarnation, _), _| keep(node, *incarnation));
    }
}
