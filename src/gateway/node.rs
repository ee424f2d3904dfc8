use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use eyre::WrapErr;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{Logger, info};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Millis};
use crate::supervisor::Supervisor;
use crate::{peer, peer::Tokens};

use super::cluster::{Announcement, Phase};
use super::intake::Intake;
use super::state::State;
use super::upstream::Upstream;
use super::{
    Account, Body, Cloud, Config, Departure, Dialect, Documents, Prompt, Run, Settings, Store,
    cluster, duties, follower, server,
};

/// Time within which another node has to respond to a call.
const PEER_TIMEOUT: Millis = Millis(800);

/// Interval at which endpoints are checked whose entries are missing.
const EXPIRY_INTERVAL: Millis = Millis(250);

/// Interval at which unused connections and outdated state are dropped.
const UPKEEP_INTERVAL: Millis = Millis(1_000);

/// Time after which an unused connection to an endpoint is closed.
const IDLE_CONNECTION_TIMEOUT: Millis = Millis(4_000);

/// Maximum number of addresses in a response to a caller.
const MAX_ADDRESSES: usize = 64;

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
    /// What callers may take of this process.
    pub(super) intake: Arc<Intake>,
    /// Notified when grants have to be reported to the next owners of a bucket at once.
    pub(super) grants_unreported: Notify,
    /// Cancelled when the node begins to shut down.
    pub(super) leaving: CancellationToken,
    /// The course of the shutdown, set when it begins.
    departure: OnceLock<Departure>,
    /// Cancelled when the requests that still run have to be answered, since the process ends.
    pub(super) ending: CancellationToken,
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
        let started = clock.now();
        let run = Run {
            node: Arc::clone(&settings.node),
            incarnation,
        };
        let state = State::new(&settings, run, started, clock.since_boot());
        let intake = Intake::new(settings.memory, settings.descriptors, &clock, &log);
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
            intake,
            grants_unreported: Notify::new(),
            leaving: CancellationToken::new(),
            departure: OnceLock::new(),
            ending: CancellationToken::new(),
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

    /// Begins a graceful shutdown: other nodes stop listing this one, which ends once it has answered
    /// its requests. It takes only those that it can answer before then.
    pub fn leave(&self) {
        let departure = Departure::new(self.clock.now(), self.settings.grace);
        if self.departure.set(departure).is_ok() {
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
            let oldest = self.settings.oldest_open_window(self.wall_time());
            self.upstream.prune(IDLE_CONNECTION_TIMEOUT);
            let state = &mut *self.state();
            state.fleet.prune(now);
            state.clocks.prune(now);
            state.usage.forget_before(oldest);
            state.demand_reports.prune(now);
            state.changelog.prune(now);
            state.quotas.prune(now);
            state.partition.prune(state.roster.failure_timeout(), now);
            if let Some(active) = self.active.load().as_ref() {
                let routes = active.config.routes();
                let is_route = |name: &str| routes.iter().any(|route| *route.name == *name);
                state.rollouts.retain(is_route);
            }
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

    /// Returns the course of the shutdown; `None` until it begins.
    pub(super) fn departure(&self) -> Option<Departure> {
        self.departure.get().copied()
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
        let uptime = self.clock.now() - self.started;
        let findings = {
            let state = &mut *self.state();
            let objection_time = cluster::answer_time(state.roster.is_small(), uptime);
            state.quarantine.review(wall, objection_time)
        };
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
            rollouts: state.rollouts.progress(),
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
