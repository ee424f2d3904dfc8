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
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Millis};
use crate::supervisor::Supervisor;
use crate::{peer, peer::Tokens};

use super::changelog::{Changelog, EntryState, Position};
use super::cluster::{
    Announcement, Clocks, Inflight, KnownNodes, OWNERSHIP_DELAY, Phase, Roster, Selector,
};
use super::fleet::{Fleet, Transition};
use super::quota::{OwnerBackoff, Quotas, Reachability};
use super::scaler::{Demand, DemandReports, Meter, Scaler};
use super::upstream::Upstream;
use super::usage::Usage;
use super::{
    Account, Body, Cloud, Config, Dialect, Documents, Lease, Prompt, Quarantine, RetryBudget, Run,
    Settings, Store, cluster, duties, follower, server,
};

/// Time within which another node has to respond to a call.
const PEER_TIMEOUT: Millis = Millis(800);

/// Interval at which endpoints are checked whose entries are missing.
const EXPIRY_INTERVAL: Millis = Millis(250);

/// Interval at which unused connections and outdated state are dropped.
const UPKEEP_INTERVAL: Millis = Millis(1_000);

/// Time after which an unused connection to an endpoint is closed.
const IDLE_CONNECTION_TIMEOUT: Millis = Millis(4_000);

/// Time after a failed read for which the store counts as unavailable.
const STORE_FAILURE_PERIOD: Millis = Millis(2_000);

/// Minimum time between two announcements that differ only in their counters.
const COUNTERS_INTERVAL: Millis = Millis(200);

/// Maximum number of addresses in a response to a caller.
const MAX_ADDRESSES: usize = 64;

/// Memory for large responses that are read before they are sent to the caller, in bytes; a node has
/// about 250 MB in all.
const RESPONSE_BUFFER_BYTES: usize = 64 * 1024 * 1024;

/// The adapters that connect the gateway to a platform.
pub struct Adapters {
    /// Interprets headers.
    pub dialect: Arc<dyn Dialect>,
    /// Parses documents of the store.
    pub documents: Arc<dyn Documents>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The platform's API for the duties.
    pub cloud: Arc<dyn Cloud>,
}

/// A configuration with the document it came from, for nodes that cannot read the store.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) config: Config,
    pub(super) document: Bytes,
}

/// The mutable state of a node, from which it makes its decisions.
pub(super) struct State {
    started: Millis,
    pub(super) fleet: Fleet,
    pub(super) quotas: Quotas,
    pub(super) quarantine: Quarantine,
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
    /// Changes of the endpoints' entries, for nodes that do not read the store.
    pub(super) changelog: Changelog,
    pub(super) meter: Meter,
    pub(super) scaler: Scaler,
    pub(super) known_nodes: KnownNodes,
    pub(super) owner_backoff: OwnerBackoff,
    /// The latest announcement of this node, and when it was made.
    announced: Option<(Millis, Announcement)>,
}

impl State {
    /// Returns whether this node can read the store, as far as it knows.
    pub(super) fn store_available(&self, now: Millis) -> bool {
        self.store_failed_at
            .is_none_or(|at| at + STORE_FAILURE_PERIOD <= now)
    }

    /// Returns the nodes that read the store on behalf of the others.
    pub(super) fn readers(&self, settings: &Settings, now: Millis) -> Vec<Arc<str>> {
        self.roster
            .readers(&settings.domain, self.store_available(now), now)
    }

    /// Returns how many nodes may be serving and how many of them are unreachable.
    pub(super) fn reachability(&self, now: Millis) -> Reachability {
        self.known_nodes
            .reachability(&self.roster, now - self.started, now)
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
    fn startup_grants(&self, now: Millis) -> Vec<(Arc<str>, u64)> {
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
    fn announce(&mut self, mut fresh: Announcement, now: Millis) -> Announcement {
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
    fn announced_inflight(&self) -> Vec<Inflight> {
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
    /// The active configuration; none until the first one has been installed.
    pub(super) active: ArcSwapOption<Active>,
    pub(super) upstream: Upstream,
    /// Wall time of the start of this node.
    pub(super) incarnation: u64,
    /// Steady time of the start of this node.
    pub(super) started: Millis,
    /// Handle for calls to other nodes, set once this node listens for theirs.
    pub(super) peer_handle: OnceLock<peer::Handle>,
    /// Number of callers' requests in flight.
    pub(super) requests: AtomicUsize,
    /// Free bytes of the memory for large responses.
    pub(super) response_buffer: Semaphore,
    /// Notified when grants have to be reported to the next owners of a bucket at once.
    pub(super) grants_unreported: Notify,
    /// Cancelled when the node begins to shut down.
    pub(super) leaving: CancellationToken,
    /// Cancelled when the node stops serving.
    pub(super) stopped: CancellationToken,
    metrics: PrometheusHandle,
    state: Mutex<State>,
}

/// Construction and lifecycle.
impl Node {
    /// Creates a node, which does not serve until [`Node::run`] is called.
    #[must_use]
    pub fn new(settings: Settings, adapters: Adapters, log: Logger) -> Arc<Self> {
        let clock = Clock::system();
        let incarnation = clock.wall().0;
        let boot = clock.since_boot();
        let started = clock.now();
        let state = State {
            started,
            fleet: Fleet::default(),
            quotas: Quotas::new(
                Run {
                    node: Arc::clone(&settings.node),
                    incarnation,
                },
                settings.quota_tolerance,
                started,
            ),
            quarantine: Quarantine::default(),
            retry_budgets: HashMap::new(),
            usage: Usage::new(settings.usage_window, settings.open_windows()),
            roster: Roster::new(Arc::clone(&settings.node)),
            selector: Selector::new(rand::rng().random()),
            clocks: Clocks::default(),
            latest_config_version: 0,
            demand_reports: DemandReports::default(),
            lease: Lease::new(
                Arc::clone(&settings.node),
                incarnation,
                settings.lease,
                boot,
            ),
            operator_position: Position::default(),
            endpoints_position: Position::default(),
            store_failed_at: None,
            changelog: Changelog::default(),
            meter: Meter::default(),
            scaler: Scaler::default(),
            known_nodes: KnownNodes::default(),
            owner_backoff: OwnerBackoff::default(),
            announced: None,
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
            response_buffer: Semaphore::new(RESPONSE_BUFFER_BYTES),
            grants_unreported: Notify::new(),
            leaving: CancellationToken::new(),
            stopped: CancellationToken::new(),
            metrics: metrics_handle(),
            state: Mutex::new(state),
        })
    }

    /// Serves until [`Node::leave`] has been called and all requests have ended.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        info!(self.log, "starting"; "node" => &*self.settings.node,
            "front" => %self.settings.front, "incarnation" => self.incarnation);
        let (_, tokens) = watch::channel(Arc::new(Tokens::default()));
        let handle = peer::spawn(
            self.settings.peer,
            Arc::new(cluster::Responder::new(Arc::clone(&self))),
            PEER_TIMEOUT,
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
        // Followers may be waiting in calls to the store; their work is no longer needed.
        drop(children);
        Ok(())
    }

    /// Begins a graceful shutdown: the node accepts no new requests and ends once it has answered
    /// the current ones.
    pub fn leave(&self) {
        if !self.leaving.is_cancelled() {
            info!(self.log, "leaving"; "requests" => self.requests.load(Ordering::Relaxed));
            self.leaving.cancel();
        }
    }

    /// Logs the outcome of a reload of the settings file.
    ///
    /// The new settings take effect only when the process restarts.
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
        let mut cleaned = Millis::ZERO;
        while !self.stopped.is_cancelled() {
            tokio::time::sleep(EXPIRY_INTERVAL.into()).await;
            let now = self.clock.now();
            let expired = self.state().fleet.expire_missing(now);
            for transition in expired {
                // The other nodes learned of the missing entry and reach the same conclusion.
                self.log_transition(Some(transition), "lapsed");
            }
            if now - cleaned < UPKEEP_INTERVAL {
                continue;
            }
            cleaned = now;
            self.upstream.prune(IDLE_CONNECTION_TIMEOUT);
            let state = &mut *self.state();
            state.fleet.prune(now);
            state.clocks.prune(now);
            state.demand_reports.prune(now);
            let fleet = &state.fleet;
            state.changelog.retain(|id| fleet.find(id).is_some());
            state.quotas.prune(now);
        }
        Ok(())
    }
}

/// State.
impl Node {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        // Each change leaves the state consistent, also if a later step panics.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the node accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving.is_cancelled()
            && self.active.load().is_some()
            && self.state().fleet.has_ready()
    }

    /// Returns where this node is between its start and its end.
    pub(super) fn phase(&self, now: Millis) -> Phase {
        Phase::new(now - self.started, self.leaving.is_cancelled())
    }

    /// Returns the wall time as the median of all nodes' clocks.
    pub(super) fn wall_time(&self) -> Millis {
        let now = self.clock.now();
        self.state().clocks.median(self.clock.wall(), now)
    }

    /// Returns the version of the active configuration; 0 if there is none.
    pub(super) fn config_version(&self) -> u64 {
        self.active.load().as_ref().map_or(0, |a| a.config.version)
    }

    /// Activates a configuration if it is newer than the active one; returns whether it was.
    pub(super) fn install(&self, document: &Bytes, source: &str) -> bool {
        let config = match self.documents.config(document) {
            Ok(config) => config,
            Err(error) => {
                slog::warn!(self.log, "invalid configuration document"; "source" => source,
                    "reason" => %error);
                return false;
            }
        };
        let current = self.active.load().as_ref().map(|a| a.config.version);
        if current.is_some_and(|version| version >= config.version) {
            return false;
        }
        info!(self.log, "configuration"; "version" => config.version, "before" => current,
            "source" => source, "routes" => config.routes().len());
        metrics::gauge!("almondpath_config_version").set(config.version as f64);
        self.active.store(Some(Arc::new(Active {
            config,
            document: document.clone(),
        })));
        true
    }

    /// Applies the new state of an endpoint's entry. If the entry may have expired, the store was
    /// unavailable until `outage_end`.
    pub(super) fn apply_entry(
        &self,
        id: &str,
        state: EntryState,
        outage_end: Millis,
        source: &str,
    ) {
        let now = self.clock.now();
        // An endpoint that leaves does not register again, so that its entry was removed.
        let state = match state {
            EntryState::Missing if self.state().fleet.is_leaving(id) => EntryState::Removed,
            state => state,
        };
        match &state {
            EntryState::Present(document) => {
                if !self.apply_registration(id, document, source) {
                    return;
                }
            }
            EntryState::Removed => {
                let transition = self.state().fleet.remove(id, now);
                self.log_transition(transition, source);
            }
            EntryState::Missing => {
                if !self.state().fleet.mark_missing(id, outage_end) {
                    return;
                }
            }
        }
        self.state().changelog.record(id, state);
    }

    /// Applies the registration of an endpoint; returns whether it has to be passed on to other
    /// nodes.
    fn apply_registration(&self, id: &str, document: &[u8], source: &str) -> bool {
        let registration = match self.documents.registration(id, document) {
            Ok(registration) => registration,
            Err(error) => {
                slog::warn!(self.log, "invalid endpoint registration"; "endpoint" => id,
                    "reason" => %error);
                return false;
            }
        };
        let active = self.active.load();
        let memory = active
            .as_ref()
            .and_then(|active| active.config.service(&registration.service)?.engine)
            .map_or(0, |engine| engine.memory_tokens);
        let outcome = self
            .state()
            .fleet
            .register(registration, memory, self.clock.now());
        self.log_transition(outcome.transition, source);
        outcome.is_new
    }

    pub(super) fn log_transition(&self, transition: Option<Transition>, source: &str) {
        if let Some(transition) = transition {
            info!(self.log, "endpoint"; "endpoint" => &*transition.identity.id,
                "born" => transition.identity.born, "service" => &*transition.service,
                "standing" => ?transition.lifecycle, "source" => source);
        }
    }

    /// Counts a request that has started to run.
    pub(super) fn record_start(&self, account: Option<&Arc<Account>>) {
        if let Some(account) = account {
            let wall = self.wall_time();
            self.state().usage.record_start(&account.name, wall);
        }
    }

    /// Returns the time for which requests with any of these prompt segments are refused.
    pub(super) fn quarantined_for(&self, prompt: Option<&Prompt>) -> Option<Millis> {
        let wall = self.wall_time();
        self.state()
            .quarantine
            .refused_for(prompt?.shared_ids(), wall)
    }

    /// Quarantines the prompt segments that crash endpoints.
    pub(super) fn review_crashes(&self) {
        let wall = self.wall_time();
        let findings = self.state().quarantine.review(wall);
        for finding in findings {
            slog::warn!(self.log, "prompt segment quarantined";
                "segment" => format!("{:x}", finding.segment),
                "endpoints" => finding.endpoints, "requests" => finding.requests);
        }
    }

    /// Returns whether this node reads the store on behalf of others.
    pub(super) fn is_reader(&self) -> bool {
        let readers = self.state().readers(&self.settings, self.clock.now());
        readers.contains(&self.settings.node)
    }

    /// Returns the addresses of the nodes that accept requests, this one included.
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

    /// Returns the metrics in the Prometheus text format.
    pub(super) fn metrics_page(&self, _: &Request<Incoming>) -> Response<Body> {
        server::text(StatusCode::OK, Bytes::from(self.metrics.render()))
    }

    /// Returns the current announcement of this node.
    pub(super) fn announcement(&self) -> Announcement {
        let ready = self.is_ready();
        let leaving = self.leaving.is_cancelled();
        let now = self.clock.now();
        let boot = self.clock.since_boot();
        let wall = self.wall_time();
        let state = &mut *self.state();
        let holder = state.lease.valid_holder(boot);
        let fresh = Announcement {
            node: Arc::clone(&self.settings.node),
            incarnation: self.incarnation,
            sequence: 0,
            peer: self.settings.peer,
            front: self.settings.front,
            domain: Arc::clone(&self.settings.domain),
            watcher: state.selector.watcher().cloned(),
            store_available: state.store_available(now),
            ready,
            leaving,
            duties_fence: holder.map(|holder| holder.fence),
            granted: state.startup_grants(now),
            inflight: state.announced_inflight(),
            evidence: state.quarantine.evidence(wall),
        };
        state.announce(fresh, now)
    }

    /// Returns the number of requests that started in a window on all nodes, by account.
    pub(super) fn usage_in(&self, window: u64) -> BTreeMap<Arc<str>, u64> {
        self.state().usage.sum(window)
    }
}

/// Installs the metrics recorder. Only the first node of a process records its metrics.
fn metrics_handle() -> PrometheusHandle {
    let builder = || PrometheusBuilder::new();
    builder()
        .install_recorder()
        .unwrap_or_else(|_| builder().build_recorder().handle())
}
