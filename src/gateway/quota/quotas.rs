use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::Quota;

use super::bucket::{Bucket, Denial, Limit};
use super::tolerance::Tolerance;

/// Share of the burst in a new bucket; a previous owner may have granted the rest.
const INITIAL_LEVEL_SHARE: f64 = 0.5;

/// Share of the rate that an account may have used recently for a new bucket to start at
/// [`INITIAL_LEVEL_SHARE`].
const INITIAL_RATE_SHARE: f64 = 0.5;

/// Time constant of the exponential decay of other nodes' grants.
const DECAY_TIME: Millis = Millis(4_000);

/// Idle time after which a bucket is replaced by a new one: another node may have owned it since.
const MAX_IDLE_TIME: Millis = Millis(2_000);

/// How many of the nodes this node can reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Nodes that may be serving, including this one.
    pub nodes: usize,
    /// Nodes among them that do not count as alive.
    pub unreachable: usize,
}

impl Reachability {
    /// Returns the share of a quota that belongs to the reachable nodes, this one included.
    fn reachable_share(self) -> f64 {
        1.0 - (self.unreachable as f64 / self.nodes.max(1) as f64).min(1.0)
    }

    /// Returns the share of a quota that belongs to this node alone.
    fn own_share(self) -> f64 {
        1.0 / self.nodes.max(1) as f64
    }
}

/// A sum of units that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    units: f64,
    updated: Millis,
}

impl DecayingSum {
    fn add(&mut self, units: f64, now: Millis) {
        self.units = self.at(now) + units;
        self.updated = now;
    }

    fn at(&self, now: Millis) -> f64 {
        self.units * (-(now - self.updated).as_f64() / DECAY_TIME.as_f64()).exp()
    }
}

/// The units that another node reports to have granted to an account since it started.
#[derive(Clone, Copy, Debug)]
pub struct GrantReport<'a> {
    /// Name of the node.
    pub node: &'a Arc<str>,
    /// Wall time of its start.
    pub incarnation: u64,
    /// Whether it started so recently that all its grants are recent.
    pub recently_started: bool,
    /// Units granted.
    pub units: u64,
}

/// Token buckets of the client accounts.
#[derive(Debug, Default)]
pub struct Quotas {
    node: Arc<str>,
    tolerance: Tolerance,
    started: Millis,
    /// Buckets that this node owns on behalf of all reachable nodes.
    owned: HashMap<Arc<str>, Bucket>,
    /// Buckets with this node's own share of each quota, used while no owner responds.
    local: HashMap<Arc<str>, Bucket>,
    /// Units that this node granted since it started.
    granted: HashMap<Arc<str>, f64>,
    /// Units granted by each other node to each account, as last reported; by node, incarnation and
    /// account.
    remote_grants: HashMap<(Arc<str>, u64, Arc<str>), f64>,
    /// Units recently granted by other nodes, by account.
    recent_remote_grants: HashMap<Arc<str>, DecayingSum>,
}

/// Decisions.
impl Quotas {
    /// Creates the quotas of a node that starts now.
    #[must_use]
    pub fn new(node: Arc<str>, tolerance: Tolerance, now: Millis) -> Self {
        Self {
            node,
            tolerance,
            started: now,
            ..Self::default()
        }
    }

    /// Grants a request of this cost as the owner of the account's bucket.
    ///
    /// # Errors
    ///
    /// Fails with the denial when the account is over its quota.
    pub fn take(
        &mut self,
        account: &Arc<str>,
        quota: &Quota,
        cost: f64,
        reachability: Reachability,
        now: Millis,
    ) -> Result<(), Denial> {
        if quota.rate <= 0.0 {
            return Ok(());
        }
        let limit = self.limit(quota, reachability.reachable_share());
        let unused = |bucket: &Bucket| bucket.updated() + MAX_IDLE_TIME <= now;
        if self.owned.get(account).is_none_or(unused) {
            let level = self.initial_level(account, &limit, now);
            self.owned
                .insert(Arc::clone(account), Bucket::new(level, now));
        }
        let bucket = self.owned.get_mut(account).expect("it was inserted");
        bucket.take(&limit, cost, now)?;
        self.record_grant(account, cost);
        Ok(())
    }

    /// Grants a request of this cost from this node's share of the quota, because no owner
    /// responds.
    ///
    /// # Errors
    ///
    /// As [`Quotas::take`].
    pub fn take_local(
        &mut self,
        account: &Arc<str>,
        quota: &Quota,
        cost: f64,
        reachability: Reachability,
        now: Millis,
    ) -> Result<(), Denial> {
        if quota.rate <= 0.0 {
            return Ok(());
        }
        let mut limit = self.limit(quota, reachability.own_share());
        // Many nodes may decide without an owner at the same time, and even without an allowance,
        // the bucket of each may be overdrawn by a whole request.
        limit.allowance = 0.0;
        let bucket = self.local.entry(Arc::clone(account));
        let bucket = bucket.or_insert_with(|| Bucket::new(limit.burst * INITIAL_LEVEL_SHARE, now));
        bucket.take(&limit, cost, now)?;
        self.record_grant(account, cost);
        Ok(())
    }

    /// Returns the limit of a bucket that holds this share of a quota.
    fn limit(&self, quota: &Quota, share: f64) -> Limit {
        Limit {
            rate: quota.rate * share,
            burst: quota.burst * share,
            allowance: self.tolerance.allowance(quota) * share,
        }
    }

    /// Returns the level of a bucket that this node starts to own: a share of the burst, less what
    /// other nodes recently granted beyond a share of the rate.
    fn initial_level(&self, account: &Arc<str>, limit: &Limit, now: Millis) -> f64 {
        let recent = self
            .recent_remote_grants
            .get(account)
            .map_or(0.0, |units| units.at(now));
        let passed = DECAY_TIME.min(now - self.started).as_f64();
        let expected = limit.rate * INITIAL_RATE_SHARE * passed / 1_000.0;
        let most = limit.burst * INITIAL_LEVEL_SHARE;
        (most - (recent - expected).max(0.0)).max(-limit.allowance)
    }

    fn record_grant(&mut self, account: &Arc<str>, cost: f64) {
        *self.granted.entry(Arc::clone(account)).or_default() += cost;
    }
}

/// Exchange with other nodes.
impl Quotas {
    /// Merges the report of another node's grants to an account; `quota` is the account's, if
    /// known.
    pub fn merge(
        &mut self,
        report: &GrantReport<'_>,
        account: &Arc<str>,
        quota: Option<&Quota>,
        now: Millis,
    ) {
        if *report.node == self.node {
            return;
        }
        let units = report.units as f64;
        let (node, incarnation) = (Arc::clone(report.node), report.incarnation);
        let entry = (node, incarnation, Arc::clone(account));
        // Grants from before the first report of a long-running node are not recent.
        let before = if report.recently_started { 0.0 } else { units };
        let known = self.remote_grants.entry(entry).or_insert(before);
        let new_units = units - *known;
        if new_units <= 0.0 {
            return;
        }
        *known = units;
        self.recent_remote_grants
            .entry(Arc::clone(account))
            .or_default()
            .add(new_units, now);
        let limit = quota.map(|quota| self.limit(quota, 1.0));
        if let (Some(bucket), Some(limit)) = (self.owned.get_mut(account), limit) {
            bucket.deduct(new_units, &limit);
        }
    }

    /// Returns the units that this node granted to each account since it started.
    pub fn granted(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.granted
            .iter()
            .map(|(account, units)| (account, *units))
    }

    /// Returns the units that this node granted since it started, for the accounts whose buckets it
    /// owns now.
    pub fn granted_as_owner(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let owned = self.owned.iter();
        let used = owned.filter(move |(_, bucket)| bucket.updated() + MAX_IDLE_TIME > now);
        used.filter_map(|(account, _)| Some((account, *self.granted.get(account)?)))
    }

    /// Drops the reports of nodes for which `keep` returns false, by name and incarnation.
    pub fn retain_nodes<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str, u64) -> bool,
    {
        self.remote_grants
            .retain(|(node, incarnation, _), _| keep(node, *incarnation));
    }
}
