use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;

use crate::clock::Millis;

use super::capacity::Speeds;
use super::cluster::{
    Announcement, Clocks, Inflight, KnownNodes, OWNERSHIP_DELAY, Roster, Selector,
};
use super::entries::{Changelog, Position};
use super::fleet::Fleet;
use super::quota::{OwnerBackoff, Quotas, Reachability};
use super::restore::Restores;
use super::rollout::Rollouts;
use super::scaler::{Demand, DemandReports, Meter, Scaler};
use super::usage::Usage;
use super::{Lease, Partition, Place, Quarantine, Quota, RetryBudget, Run, Settings, Topic};

/// Time after a failed read for which the store counts as unavailable.
const STORE_FAILURE_PERIOD: Millis = Millis(2_000);

/// Minimum time between two announcements that differ only in their counters.
const COUNTERS_INTERVAL: Millis = Millis(200);

/// The mutable state of a node, from which it makes its decisions.
pub(super) struct State {
    started: Millis,
    pub(super) fleet: Fleet,
    pub(super) quotas: Quotas,
    pub(super) partition: Partition,
    pub(super) quarantine: Quarantine,
    pub(super) rollouts: Rollouts,
    /// Retry budgets, by service.
    pub(super) retry_budgets: HashMap<Arc<str>, RetryBudget>,
    /// Requests started by each account, for the usage reports.
    pub(super) usage: Usage,
    pub(super) roster: Roster,
    pub(super) selector: Selector,
    pub(super) clocks: Clocks,
    /// Newest version of the configuration that any node is known to have.
    pub(super) latest_config_version: u64,
    /// Demand that other nodes reported to this one as the holder of the duties.
    pub(super) demand_reports: DemandReports,
    pub(super) lease: Lease,
    /// Position in the operator's topic.
    pub(super) operator_position: Position,
    /// Position in the topic of endpoints.
    pub(super) endpoints_position: Position,
    /// When a read of the store last failed.
    pub(super) store_failed_at: Option<Millis>,
    pub(super) restores: Restores,
    /// The latest known entries of the endpoints, and their changes for nodes that do not read the
    /// store.
    pub(super) changelog: Changelog,
    pub(super) meter: Meter,
    /// Speeds of the endpoints, as the nodes measure them together.
    pub(super) speeds: Speeds,
    pub(super) scaler: Scaler,
    pub(super) known_nodes: KnownNodes,
    pub(super) owner_backoff: OwnerBackoff,
    /// The latest announcement of this node, and when it was made.
    announced: Option<(Millis, Announcement)>,
}

impl State {
    /// Creates the state of a node that starts now, `boot` after the host's boot.
    pub(super) fn new(settings: &Settings, run: Run, started: Millis, boot: Millis) -> Self {
        Self {
            started,
            fleet: Fleet::default(),
            quotas: Quotas::new(run.clone(), settings.quota_tolerance, started),
            partition: Partition::default(),
            quarantine: Quarantine::default(),
            rollouts: Rollouts::new(settings.exposure_limit, rand::rng().random()),
            retry_budgets: HashMap::new(),
            usage: Usage::new(settings.usage_window, settings.open_windows()),
            roster: Roster::new(Arc::clone(&settings.node)),
            selector: Selector::new(rand::rng().random()),
            clocks: Clocks::default(),
            latest_config_version: 0,
            demand_reports: DemandReports::default(),
            lease: Lease::new(
                Arc::clone(&settings.node),
                run.incarnation,
                settings.lease,
                boot,
            ),
            operator_position: Position::default(),
            endpoints_position: Position::default(),
            store_failed_at: None,
            restores: Restores::default(),
            changelog: Changelog::default(),
            meter: Meter::default(),
            speeds: Speeds::default(),
            scaler: Scaler::default(),
            known_nodes: KnownNodes::default(),
            owner_backoff: OwnerBackoff::default(),
            announced: None,
        }
    }

    /// Returns whether this node can read the store, as far as it knows.
    pub(super) fn store_available(&self, now: Millis) -> bool {
        self.store_failed_at
            .is_none_or(|at| at + STORE_FAILURE_PERIOD <= now)
    }

    /// Returns the offset of the next record to read in a topic whose records are read in order.
    pub(super) fn next_in(&self, topic: Topic) -> Option<u64> {
        match topic {
            Topic::Operator => self.operator_position.next,
            Topic::Endpoints => self.endpoints_position.next,
            Topic::Duties => Some(self.lease.next()),
            Topic::Nodes | Topic::Status => None,
        }
    }

    /// Returns the nodes that read the store on behalf of the others.
    pub(super) fn readers(&self, settings: &Settings, now: Millis) -> Vec<Arc<str>> {
        self.roster
            .readers(&settings.domain, self.store_available(now), now)
    }

    /// Returns the place of this node among those that may be serving, also if it can't reach them.
    pub(super) fn place(&self, settings: &Settings) -> Place {
        let others = self.roster.members().map(|member| &member.announcement);
        let others = others.filter(|announcement| !announcement.leaving);
        Place::among(&settings.node, others.map(|other| &*other.node))
    }

    /// Returns how many nodes may be serving and how many of them are unreachable.
    pub(super) fn reachability(&self, now: Millis) -> Reachability {
        self.known_nodes
            .reachability(&self.roster, now - self.started, now)
    }

    /// Returns as [`State::reachability`] what this node may count on as the owner of an account's
    /// bucket.
    ///
    /// Also returns whether to report a change of the number of nodes without evidence. They are
    /// contacted in the next round.
    pub(super) fn owner_reachability(
        &mut self,
        account: &Arc<str>,
        quota: &Quota,
        now: Millis,
    ) -> (Reachability, bool) {
        if let Some(counted) = self.partition.recent_count(account, now) {
            return (counted, false);
        }
        let known = self.reachability(now);
        let usage = self.quotas.usage(account, quota, now);
        let peers = self.roster.peers(now);
        let confirmed = self
            .partition
            .reachability(account, usage, known, &peers, now);
        self.partition.record_count(account, confirmed, now);
        let unconfirmed = confirmed.unreachable - known.unreachable;
        if unconfirmed > 0 {
            self.selector.record_loss();
        }
        let is_new = self.partition.has_to_report(account, unconfirmed, now);
        (confirmed, is_new)
    }

    /// Returns the demand of this node's requests on each service.
    pub(super) fn own_demand(&self, now: Millis) -> Vec<(Arc<str>, Demand)> {
        let busy = self.meter.busy_endpoints(now).into_iter();
        busy.map(|(service, busy)| {
            let endpoints = self.fleet.ready(&service);
            let running = endpoints.map(|(_, endpoint)| endpoint.inflight).sum();
            (service, Demand { busy, running })
        })
        .collect()
    }

    /// Returns the demand of all nodes' requests on a service, as known to the holder of the
    /// duties.
    pub(super) fn demand_of(&self, service: &str, now: Millis) -> Demand {
        let own = self.own_demand(now);
        let own = own.iter().filter(|(name, _)| &**name == service);
        own.fold(
            self.demand_reports.demand(service, now),
            |sum, (_, demand)| sum.plus(*demand),
        )
    }

    /// Returns the units that this node has granted, during the first seconds after its start.
    ///
    /// Other nodes that have just started too may become the next owners of the buckets.
    pub(super) fn startup_grants(&self, now: Millis) -> Vec<(Arc<str>, u64)> {
        if now - self.started >= OWNERSHIP_DELAY {
            return Vec::new();
        }
        let granted = self.quotas.granted();
        granted
            .map(|(name, units)| (Arc::clone(name), units as u64))
            .collect()
    }

    /// Replaces this node's announcement if it has changed, and returns the current one.
    ///
    /// A change of counters alone replaces it only after [`COUNTERS_INTERVAL`].
    pub(super) fn announce(&mut self, mut fresh: Announcement, now: Millis) -> Announcement {
        let mut sequence = 1;
        if let Some((at, announced)) = &self.announced {
            let counters_only = Announcement {
                granted: announced.granted.clone(),
                inflight: announced.inflight.clone(),
                evidence: announced.evidence.clone(),
                ..fresh.clone()
            };
            let due = *at + COUNTERS_INTERVAL <= now;
            if fresh.same_content(announced) || (!due && counters_only.same_content(announced)) {
                return announced.clone();
            }
            sequence = announced.sequence + 1;
        }
        fresh.sequence = sequence;
        self.announced = Some((now, fresh.clone()));
        fresh
    }

    /// Returns the requests of this node in flight at each endpoint.
    ///
    /// Empty in a large cluster, where the numbers would be outdated by the time they arrive.
    pub(super) fn announced_inflight(&self) -> Vec<Inflight> {
        if !self.roster.is_small() {
            return Vec::new();
        }
        let busy = self.fleet.iter().filter(|(_, e)| e.inflight > 0);
        busy.map(|(_, endpoint)| Inflight {
            endpoint: Arc::clone(&endpoint.registration.identity.id),
            requests: endpoint.inflight,
            tokens: endpoint.pending_tokens,
        })
        .collect()
    }
}
