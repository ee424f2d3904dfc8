use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::gateway::Quota;

use super::ask::Ask;
use super::bucket::{Bucket, Denial, Limit};
use super::history::{Grant, History, Run, Slot};
use super::partition::Consumption;
use super::tolerance::Tolerance;
use super::window_limit::WindowLimit;

/// Share of the burst in a new bucket; a previous owner may have granted the rest.
const INITIAL_LEVEL_SHARE: f64 = 0.5;

/// Share of the rate that an account may have used recently for a new bucket to start at
/// [`INITIAL_LEVEL_SHARE`].
const INITIAL_RATE_SHARE: f64 = 0.5;

/// Time within which grants reduce the initial level of a bucket.
const RECENT_TIME: Millis = Millis(4_000);

/// Units granted since the last report, as a share of the allowance, from which the next owners of an
/// overdrawn bucket are told at once.
const PROMPT_REPORT_SHARE: f64 = 0.1;

/// Idle time after which a bucket is replaced by a new one: another node may have owned it since.
const MAX_IDLE_TIME: Millis = Millis(2_000);

/// Idle time after which a bucket is dropped, with the requests that were denied and promised room.
const BUCKET_RETENTION: Millis = Millis::from_secs(30);

/// How many of the nodes this node can reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Nodes that may be serving, including this one.
    pub nodes: usize,
    /// Nodes among them that do not count as alive.
    pub unreachable: usize,
    /// When a node was last found to have ended without a shutdown, or to be unreachable, on the steady
    /// clock.
    pub lost_at: Option<Millis>,
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

/// What a node that owns or owned an account's bucket reports to the next owners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantReport {
    /// The account.
    pub account: Arc<str>,
    /// State of the sender's bucket; none if the sender does not own it.
    pub level: Option<Level>,
    /// Grants of the sender and of the owners before it.
    pub grants: Vec<Grant>,
}

/// The level of a bucket some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Level {
    /// Units in the bucket.
    pub units: f64,
    /// Time since then.
    pub age: Millis,
}

/// Token buckets of the client accounts.
#[derive(Debug, Default)]
pub struct Quotas {
    /// This run of this node.
    run: Run,
    tolerance: Tolerance,
    started: Millis,
    /// Buckets that this node owns on behalf of all reachable nodes, or may own next.
    owned: HashMap<Arc<str>, Bucket>,
    /// Buckets with this node's own share of each quota, used while no owner responds.
    local: HashMap<Arc<str>, Bucket>,
    /// Units that this node granted since it started.
    granted: HashMap<Arc<str>, f64>,
    /// Units granted when each account was last reported.
    reported: HashMap<Arc<str>, f64>,
    /// Recent grants of all nodes.
    histories: HashMap<Arc<str>, History>,
    /// Units that all nodes together may grant in a window.
    window_limits: HashMap<Arc<str>, WindowLimit>,
}

/// Decisions.
impl Quotas {
    /// Creates the quotas of a node that starts now.
    #[must_use]
    pub fn new(run: Run, tolerance: Tolerance, now: Millis) -> Self {
        Self {
            run,
            tolerance,
            started: now,
            ..Self::default()
        }
    }

    /// Grants a request as the owner of the account's bucket.
    ///
    /// # Errors
    ///
    /// Fails with the denial when the account is over its quota.
    pub fn take<A>(
        &mut self,
        account: &Arc<str>,
        quota: &Quota,
        ask: A,
        reachability: Reachability,
        now: Millis,
    ) -> Result<(), Denial>
    where
        A: Into<Ask>,
    {
        let ask = ask.into();
        if quota.rate <= 0.0 {
            return Ok(());
        }
        let limit = self.limit(quota, reachability.reachable_share());
        let headroom = self.headroom(account, quota, now);
        if self.outdated_bucket(account, now) {
            let level = self.initial_level(account, &limit, reachability, now);
            self.owned
                .insert(Arc::clone(account), Bucket::new(level, now));
        }
        let bucket = self.owned.get_mut(account).expect("it was inserted");
        bucket.take(&limit, headroom, &ask, now)?;
        self.record_grant(account, ask.units, now);
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
        let headroom = self.headroom(account, quota, now);
        let bucket = self.local.entry(Arc::clone(account));
        let bucket = bucket.or_insert_with(|| Bucket::new(limit.burst * INITIAL_LEVEL_SHARE, now));
        bucket.take(&limit, headroom, &cost.into(), now)?;
        self.record_grant(account, cost, now);
        Ok(())
    }

    /// Returns what this node knows of an account's use of its quota in the current window.
    #[must_use]
    pub fn usage(&self, account: &str, quota: &Quota, now: Millis) -> Consumption {
        let window = self.tolerance.window;
        let history = self.histories.get(account);
        let (all, of_others) = history.map_or((0.0, 0.0), |history| {
            let of_others = history.recent_of_others(&self.run, window, now);
            (history.recent(window, now), of_others)
        });
        Consumption {
            share: all / self.tolerance.units_in_window(quota).max(1.0),
            is_reported: of_others > 0.0,
        }
    }

    /// Returns the limit of a bucket that holds this share of a quota.
    fn limit(&self, quota: &Quota, share: f64) -> Limit {
        Limit {
            rate: quota.rate * share,
            burst: quota.burst * share,
            allowance: self.tolerance.allowance(quota) * share,
        }
    }

    /// Returns the units that all nodes together may still grant in the current window, as far as
    /// this node knows their grants.
    ///
    /// A new owner's bucket is an estimate, and every change of the owner adds its error. The window
    /// bounds the sum of these errors.
    fn headroom(&mut self, account: &Arc<str>, quota: &Quota, now: Millis) -> f64 {
        let window = self.tolerance.window;
        if window == Millis::ZERO {
            return f64::INFINITY;
        }
        let units = self.tolerance.units_in_window(quota) + self.tolerance.allowance(quota);
        let limit = self.window_limits.entry(Arc::clone(account)).or_default();
        let history = self.histories.get(account);
        let recent = history.map_or(0.0, |history| history.recent(window, now));
        limit.update(units, window, now) - recent
    }

    /// Returns whether there is no bucket for an account whose level is known.
    fn outdated_bucket(&self, account: &Arc<str>, now: Millis) -> bool {
        let outdated = |bucket: &Bucket| bucket.updated() + MAX_IDLE_TIME <= now;
        self.owned.get(account).is_none_or(outdated)
    }

    /// Returns the level of a bucket that this node starts to own without knowing the previous
    /// owner's: a share of the burst, less what others recently granted beyond a share of the rate.
    ///
    /// After a loss of nodes, the previous owner may be among them together with those that knew of its
    /// grants. The bucket is empty then, and what it may be overdrawn by is all that is granted twice.
    fn initial_level(
        &self,
        account: &Arc<str>,
        limit: &Limit,
        reachability: Reachability,
        now: Millis,
    ) -> f64 {
        let history = self.histories.get(account);
        let recent = history.map_or(0.0, |history| {
            history.recent_of_others(&self.run, RECENT_TIME, now)
        });
        let passed = RECENT_TIME.min(now - self.started).as_f64();
        let expected = limit.rate * INITIAL_RATE_SHARE * passed / 1_000.0;
        let window = self.tolerance.window;
        let most = match reachability.lost_at {
            Some(at) if at + window > now => 0.0,
            _ => limit.burst * INITIAL_LEVEL_SHARE,
        };
        (most - (recent - expected).max(0.0)).max(-limit.allowance)
    }

    fn record_grant(&mut self, account: &Arc<str>, cost: f64, now: Millis) {
        *self.granted.entry(Arc::clone(account)).or_default() += cost;
        let history = self.histories.entry(Arc::clone(account)).or_default();
        history.add(&self.run, cost, self.tolerance.window, now);
    }
}

/// Exchange with other nodes.
impl Quotas {
    /// Merges another node's report; `quota` is the account's, if known.
    pub fn merge(&mut self, report: &GrantReport, quota: Option<&Quota>, now: Millis) {
        let account = &report.account;
        let history = self.histories.entry(Arc::clone(account)).or_default();
        let others = report.grants.iter().filter(|grant| grant.run != self.run);
        let window = self.tolerance.window;
        let added = others.flat_map(|grant| history.merge(grant, window, now));
        let added: Vec<Slot> = added.collect();
        let Some(limit) = quota.map(|quota| self.limit(quota, 1.0)) else {
            return;
        };
        if let Some(bucket) = self.owned.get_mut(account) {
            bucket.deduct(&added, &limit, now);
        }
        let Some(level) = report.level else {
            return;
        };
        let refilled = level.units + limit.rate * level.age.as_f64() / 1_000.0;
        let level = refilled.min(limit.burst);
        if self.outdated_bucket(account, now) {
            self.owned
                .insert(Arc::clone(account), Bucket::new(level, now));
        } else if let Some(bucket) = self.owned.get_mut(account) {
            bucket.lower(level, &limit, now);
        }
    }

    /// Returns the units that this node granted to each account since it started.
    pub fn granted(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.granted
            .iter()
            .map(|(account, units)| (account, *units))
    }

    /// Returns whether the next owners of an account's bucket have to learn at once of what this node
    /// granted: the account exhausts its quota, so that grants that get lost would exceed it.
    #[must_use]
    pub fn has_to_report(&self, account: &str, quota: &Quota) -> bool {
        let is_overdrawn = |bucket: &Bucket| bucket.level() < 0.0;
        let most = self.tolerance.allowance(quota) * PROMPT_REPORT_SHARE;
        self.owned.get(account).is_some_and(is_overdrawn) && self.unreported(account) > most
    }

    fn unreported(&self, account: &str) -> f64 {
        let granted = self.granted.get(account).copied().unwrap_or(0.0);
        granted - self.reported.get(account).copied().unwrap_or(0.0)
    }

    /// Returns the reports for the next owners of the buckets that this node decided on lately.
    pub fn reports<F>(&mut self, wanted: F, now: Millis) -> Vec<GrantReport>
    where
        F: Fn(&Self, &str) -> bool,
    {
        let used = self.owned.iter();
        let used = used.filter(|(_, bucket)| bucket.was_used(MAX_IDLE_TIME, now));
        let wanted = used.filter(|(account, _)| wanted(self, account));
        let reports: Vec<GrantReport> = wanted
            .filter_map(|(account, bucket)| self.report(account, bucket, now))
            .collect();
        for GrantReport { account, .. } in &reports {
            let granted = self.granted.get(account).copied().unwrap_or(0.0);
            self.reported.insert(Arc::clone(account), granted);
        }
        reports
    }

    fn report(&self, account: &Arc<str>, bucket: &Bucket, now: Millis) -> Option<GrantReport> {
        let history = self.histories.get(account)?;
        Some(GrantReport {
            account: Arc::clone(account),
            level: Some(Level {
                units: bucket.level(),
                age: now - bucket.updated(),
            }),
            grants: history.grants(self.tolerance.window, now),
        })
    }

    /// Forgets grants of other nodes that are too old to matter, and buckets that were not used for long.
    pub fn prune(&mut self, now: Millis) {
        self.owned
            .retain(|_, bucket| bucket.updated() + BUCKET_RETENTION > now);
        let run = &self.run;
        self.histories.retain(|_, history| history.prune(run, now));
    }
}
