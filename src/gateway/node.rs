use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use eyre::WrapErr;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rand::Rng;
use slog::{Logger, info};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Millis};
use crate::supervisor::Supervisor;
use crate::{peer, peer::Tokens};

use super::changelog::{Changelog, EntryState, Position};
use super::cluster::{
    Announcement, Clocks, Inflight, KnownNodes, OWNERSHIP_DELAY, Roster, Selector,
};
use super::fleet::{Change, Fleet};
use super::quota::{OwnerBackoff, Quotas, Reachability};
use super::scaler::{Demand, DemandReports, Meter, Scaler};
use super::upstream::Upstream;
use super::usage::Usage;
use super::{
    Account, Body, Cloud, Config, Dialect, Documents, Lease, RetryBudget, Settings, Store, cluster,
    duties, follower, server,
};

/// Time within which another node answers.
const PEER_BOUND: Millis = Millis(800);

/// Interval of the upkeep of connections and memories.
const UPKEEP: Millis = Millis(1_000);

/// Unused connections to endpoints are closed at this age.
const IDLE_CONNECTION: Millis = Millis(4_000);

/// Time after a failed read for which the store counts as away.
const STORE_AWAY: Millis = Millis(2_000);

/// Time for which numbers in a announcement hold.
const NUMBERS_STATED: Millis = Millis(200);

/// Most addresses in an answer to a caller.
const MAX_ADDRESSES: usize = 64;

/// What the gateway needs from an adapter.
pub struct Adapters {
    /// The meaning of heads.
    pub dialect: Arc<dyn Dialect>,
    /// The meaning of documents.
    pub documents: Arc<dyn Documents>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The platform's interface for duties.
    pub cloud: Arc<dyn Cloud>,
}

/// A configuration with the document it came from, for nodes that can't read the store.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) config: Config,
    pub(super) document: Bytes,
}

/// What decisions are made from.
pub(super) struct State {
    started: Millis,
    pub(super) fleet: Fleet,
    pub(super) quotas: Quotas,
    pub(super) budgets: HashMap<Arc<str>, RetryBudget>,
    pub(super) usage: Usage,
    pub(super) roster: Roster,
    pub(super) selector: Selector,
    pub(super) clocks: Clocks,
    /// Newest version of the configuration that any node is known to have.
    pub(super) newest_config: u64,
    /// What the other nodes tell the holder of the duties.
    pub(super) reports: DemandReports,
    pub(super) lease: Lease,
    /// How far the operator's records were read.
    pub(super) operator: Position,
    /// How far the entries of the endpoints were read.
    pub(super) endpoints: Position,
    /// When the store could last not be read.
    pub(super) store_failed: Option<Millis>,
    pub(super) changelog: Changelog,
    pub(super) meter: Meter,
    pub(super) scaler: Scaler,
    pub(super) known_nodes: KnownNodes,
    pub(super) owners: OwnerBackoff,
    /// The last announcement of this node, and when it was made.
    stated: Option<(Millis, Announcement)>,
}

impl State {
    /// Returns whether the store answered this node lately.
    pub(super) fn reads(&self, now: Millis) -> bool {
        self.store_failed.is_none_or(|at| at + STORE_AWAY <= now)
    }

    /// Returns the nodes that read the store for the others.
    pub(super) fn readers(&self, settings: &Settings, now: Millis) -> Vec<Arc<str>> {
        self.roster.readers(&settings.domain, self.reads(now), now)
    }

    /// Returns how many nodes may be serving and how many of them are not heard.
    pub(super) fn reachability(&self, now: Millis) -> Reachability {
        self.known_nodes
            .reachability(&self.roster, now - self.started, now)
    }

    /// Returns what the requests of this node ask of each service.
    pub(super) fn own_demand(&self, now: Millis) -> Vec<(Arc<str>, Demand)> {
        let busy = self.meter.busy_endpoints(now).into_iter();
        busy.map(|(service, busy)| {
            let endpoints = self.fleet.ready(&service);
            let running = endpoints.map(|(_, endpoint)| endpoint.inflight).sum();
            (service, Demand { busy, running })
        })
        .collect()
    }

    /// Returns what the requests of all nodes ask of a service, at the holder of the duties.
    pub(super) fn demand_of(&self, service: &str, now: Millis) -> Demand {
        let own = self.own_demand(now);
        let own = own.iter().filter(|(name, _)| &**name == service);
        own.fold(self.reports.demand(service, now), |sum, (_, demand)| {
            sum.plus(*demand)
        })
    }

    /// Returns what this node granted, in the first seconds after its start: other nodes that have
    /// just started may own the buckets next.
    fn first_grants(&self, now: Millis) -> Vec<(Arc<str>, u64)> {
        if now - self.started >= OWNERSHIP_DELAY {
            return Vec::new();
        }
        let granted = self.quotas.granted();
        granted
            .map(|(name, units)| (Arc::clone(name), units as u64))
            .collect()
    }

    /// Replaces this node's announcement, if that is due, and returns the present one.
    fn state(&mut self, mut fresh: Announcement, now: Millis) -> Announcement {
        let mut sequence = 1;
        if let Some((at, stated)) = &self.stated {
            let numbers_only = Announcement {
                granted: stated.granted.clone(),
                inflight: stated.inflight.clone(),
                ..fresh.clone()
            };
            let due = *at + NUMBERS_STATED <= now;
            if fresh.says_same(stated) || (!due && numbers_only.says_same(stated)) {
                return stated.clone();
            }
            sequence = stated.sequence + 1;
        }
        fresh.sequence = sequence;
        self.stated = Some((now, fresh.clone()));
        fresh
    }

    /// Returns what this node has at endpoints. With many nodes the news would be too old to be of
    /// use when they arrive.
    fn inflight(&self) -> Vec<Inflight> {
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

/// One node of the gateway.
pub struct Node {
    pub(super) settings: Settings,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) documents: Arc<dyn Documents>,
    pub(super) store: Arc<dyn Store>,
    pub(super) cloud: Arc<dyn Cloud>,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) active: ArcSwapOption<Active>,
    pub(super) upstream: Upstream,
    pub(super) incarnation: u64,
    pub(super) started: Millis,
    /// Calls of other nodes, once this node listens for them.
    pub(super) peer_handle: OnceLock<peer::Handle>,
    pub(super) requests: AtomicUsize,
    /// Cancelled when the node begins to shut down.
    pub(super) leaving: CancellationToken,
    /// Cancelled when the node stops serving.
    pub(super) stopped: CancellationToken,
    metrics: PrometheusHandle,
    state: Mutex<State>,
}

/// Construction and life.
impl Node {
    /// Creates a node that serves nothing yet.
    #[must_use]
    pub fn new(settings: Settings, adapters: Adapters, log: Logger) -> Arc<Self> {
        let clock = Clock::system();
        let incarnation = clock.wall().0;
        let boot = clock.boot();
        let started = clock.now();
        let state = State {
            started,
            fleet: Fleet::default(),
            quotas: Quotas::new(
                Arc::clone(&settings.node),
                settings.quota_tolerance,
                started,
            ),
            budgets: HashMap::new(),
            usage: Usage::new(settings.usage_window, settings.open_windows()),
            roster: Roster::new(Arc::clone(&settings.node)),
            selector: Selector::new(rand::rng().random()),
            clocks: Clocks::default(),
            newest_config: 0,
            reports: DemandReports::default(),
            lease: Lease::new(
                Arc::clone(&settings.node),
                incarnation,
                settings.lease,
                boot,
            ),
            operator: Position::default(),
            endpoints: Position::default(),
            store_failed: None,
            changelog: Changelog::default(),
            meter: Meter::default(),
            scaler: Scaler::default(),
            known_nodes: KnownNodes::default(),
            owners: OwnerBackoff::default(),
            stated: None,
        };
        Arc::new(Self {
            settings,
            dialect: adapters.dialect,
            documents: adapters.documents,
            store: adapters.store,
            cloud: adapters.cloud,
            upstream: Upstream::new(clock.clone()),
            clock,
            log,
            active: ArcSwapOption::empty(),
            incarnation,
            started,
            peer_handle: OnceLock::new(),
            requests: AtomicUsize::new(0),
            leaving: CancellationToken::new(),
            stopped: CancellationToken::new(),
            metrics: metrics_handle(),
            state: Mutex::new(state),
        })
    }

    /// Serves until the node was told to leave and its requests have ended.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        info!(self.log, "starting"; "node" => &*self.settings.node,
            "front" => %self.settings.front, "incarnation" => self.incarnation);
        let (_, tokens) = watch::channel(Arc::new(Tokens::default()));
        let handle = peer::spawn(
            self.settings.peer,
            Arc::new(cluster::Responder::new(Arc::clone(&self))),
            PEER_BOUND,
            tokens,
            self.stopped.clone(),
        )
        .wrap_err("listening for other nodes")?;
        let handle = self.peer_handle.get_or_init(|| handle).clone();
        let mut children =
            Supervisor::new(self.stopped.clone(), self.clock.clone(), self.log.clone());
        let node = Arc::clone(&self);
        children.spawn("gossip", move |_| {
            cluster::run(Arc::clone(&node), handle.clone())
        });
        let node = Arc::clone(&self);
        children.spawn("operator", move |_| follower::operator(Arc::clone(&node)));
        let node = Arc::clone(&self);
        children.spawn("endpoints", move |_| follower::endpoints(Arc::clone(&node)));
        let node = Arc::clone(&self);
        children.spawn("nodes", move |_| follower::nodes(Arc::clone(&node)));
        let node = Arc::clone(&self);
        children.spawn("duties", move |_| duties::run(Arc::clone(&node)));
        let node = Arc::clone(&self);
        children.spawn("upkeep", move |_| Arc::clone(&node).upkeep());
        server::run(Arc::clone(&self)).await?;
        info!(self.log, "stopped"; "requests" => self.requests.load(Ordering::Relaxed));
        self.stopped.cancel();
        // Followers of the store wait in calls; nothing that they could still do is needed.
        drop(children);
        Ok(())
    }

    /// Begins to shut down: the node takes no new work, answers what it has and ends.
    pub fn leave(&self) {
        if !self.leaving.is_cancelled() {
            info!(self.log, "leaving"; "requests" => self.requests.load(Ordering::Relaxed));
            self.leaving.cancel();
        }
    }

    /// Notes that the settings file was read again.
    ///
    /// The addresses, limits and bounds of a process hold until it starts again.
    pub fn reload(&self, settings: Result<Settings, String>) {
        match settings {
            Ok(settings) => {
                let same =
                    settings.node == self.settings.node && settings.front == self.settings.front;
                info!(self.log, "reload"; "outcome" => "read", "same_addresses" => same);
            }
            Err(reason) => {
                slog::warn!(self.log, "reload"; "outcome" => "kept", "reason" => reason);
            }
        }
    }

    async fn upkeep(self: Arc<Self>) -> eyre::Result<()> {
        while !self.stopped.is_cancelled() {
            tokio::time::sleep(UPKEEP.into()).await;
            let now = self.clock.now();
            self.upstream.prune(IDLE_CONNECTION);
            let settled = self.state().fleet.settle(now);
            for change in settled {
                // The other nodes heard of the lapse and come to the same.
                self.log_change(Some(change), "lapsed");
            }
            let state = &mut *self.state();
            state.fleet.prune(now);
            state.clocks.prune(now);
            state.reports.prune(now);
            let fleet = &state.fleet;
            state.changelog.retain(|id| fleet.find(id).is_some());
            let roster = &state.roster;
            state.quotas.retain_nodes(|name, incarnation| {
                roster.members().any(|m| {
                    &*m.announcement.node == name && m.announcement.incarnation == incarnation
                })
            });
        }
        Ok(())
    }
}

/// State.
impl Node {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        // Every change leaves the state usable, also when a later step panics.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the node takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving.is_cancelled()
            && self.active.load().is_some()
            && self.state().fleet.has_ready()
    }

    /// Returns the time of day that most nodes agree on.
    pub(super) fn wall(&self) -> Millis {
        let now = self.clock.now();
        self.state().clocks.median(self.clock.wall(), now)
    }

    /// Returns the version of the configuration in force; 0 without one.
    pub(super) fn config_version(&self) -> u64 {
        self.active.load().as_ref().map_or(0, |a| a.config.version)
    }

    /// Installs a configuration unless the present one is as new; returns whether it did.
    pub(super) fn install(&self, document: &Bytes, source: &str) -> bool {
        let config = match self.documents.config(document) {
            Ok(config) => config,
            Err(error) => {
                slog::warn!(self.log, "configuration not readable"; "source" => source,
                    "reason" => %error);
                return false;
            }
        };
        let present = self.active.load().as_ref().map(|a| a.config.version);
        if present.is_some_and(|version| version >= config.version) {
            return false;
        }
        info!(self.log, "configuration"; "version" => config.version, "before" => present,
            "source" => source, "routes" => config.routes().len());
        metrics::gauge!("almondpath_config_version").set(config.version as f64);
        self.active.store(Some(Arc::new(Active {
            config,
            document: document.clone(),
        })));
        true
    }

    /// Takes in what became of the entry of an endpoint.
    pub(super) fn entry(&self, id: &str, fate: EntryState, source: &str) {
        let now = self.clock.now();
        match &fate {
            EntryState::Present(document) => {
                if !self.listed(id, document, source) {
                    return;
                }
            }
            EntryState::Removed => {
                let change = self.state().fleet.removed(id, now);
                self.log_change(change, source);
            }
            EntryState::Missing => {
                if !self.state().fleet.lapsed(id, now) {
                    return;
                }
            }
        }
        self.state().changelog.note(id, fate);
    }

    /// Takes in what the endpoint with this id states about itself; returns whether other nodes
    /// should know it.
    fn listed(&self, id: &str, document: &[u8], source: &str) -> bool {
        let registration = match self.documents.registration(id, document) {
            Ok(registration) => registration,
            Err(error) => {
                slog::warn!(self.log, "endpoint entry not usable"; "endpoint" => id,
                    "reason" => %error);
                return false;
            }
        };
        let active = self.active.load();
        let memory = active
            .as_ref()
            .and_then(|active| active.config.service(&registration.service)?.engine)
            .map_or(0, |engine| engine.memory_tokens);
        let update = self
            .state()
            .fleet
            .listed(registration, memory, self.clock.now());
        self.log_change(update.change, source);
        update.is_new
    }

    pub(super) fn log_change(&self, change: Option<Change>, source: &str) {
        if let Some(change) = change {
            info!(self.log, "endpoint"; "endpoint" => &*change.identity.id,
                "born" => change.identity.born, "service" => &*change.service,
                "standing" => ?change.lifecycle, "source" => source);
        }
    }

    /// Counts a request that began to run.
    pub(super) fn record_start(&self, account: Option<&Arc<Account>>) {
        if let Some(account) = account {
            let wall = self.wall();
            self.state().usage.record_start(&account.name, wall);
        }
    }

    /// Returns whether this node reads the store for others.
    pub(super) fn is_reader(&self) -> bool {
        let readers = self.state().readers(&self.settings, self.clock.now());
        readers.contains(&self.settings.node)
    }

    /// Returns the addresses of the nodes that take requests, this one among them.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        if self.active.load().is_none() {
            return Vec::new();
        }
        let own = self.is_ready().then_some(self.settings.front);
        let now = self.clock.now();
        let state = self.state();
        let others = state.roster.alive(now).map(|member| &member.announcement);
        let others = others.filter(|announcement| announcement.ready && !announcement.leaving);
        own.into_iter()
            .chain(others.map(|announcement| announcement.front))
            .take(MAX_ADDRESSES)
            .collect()
    }

    /// Returns the metrics in the text format.
    pub(super) fn metrics_page(&self, _: &Request<Incoming>) -> Response<Body> {
        server::text(StatusCode::OK, Bytes::from(self.metrics.render()))
    }

    /// Returns the present announcement of this node. Numbers that change all the time make a new one
    /// only now and then.
    pub(super) fn announcement(&self) -> Announcement {
        let ready = self.is_ready();
        let leaving = self.leaving.is_cancelled();
        let now = self.clock.now();
        let boot = self.clock.boot();
        let state = &mut *self.state();
        let holder = state.lease.acting(boot);
        let fresh = Announcement {
            node: Arc::clone(&self.settings.node),
            incarnation: self.incarnation,
            sequence: 0,
            peer: self.settings.peer,
            front: self.settings.front,
            domain: Arc::clone(&self.settings.domain),
            watcher: state.selector.watcher().cloned(),
            reads: state.reads(now),
            ready,
            leaving,
            duties: holder.map(|holder| holder.fence),
            granted: state.first_grants(now),
            inflight: state.inflight(),
        };
        state.state(fresh, now)
    }

    /// Returns the requests of all nodes that began to run in a window, by account.
    pub(super) fn usage_of(&self, window: u64) -> BTreeMap<Arc<str>, u64> {
        self.state().usage.sum(window)
    }
}

/// Installs the recorder of metrics; a second node of the same process has none.
fn metrics_handle() -> PrometheusHandle {
    let builder = || PrometheusBuilder::new();
    builder()
        .install_recorder()
        .unwrap_or_else(|_| builder().build_recorder().handle())
}
