use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arc_swap::{ArcSwap, ArcSwapOption};
use eyre::WrapErr;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{Logger, info, o, warn};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::access::Tokens;
use crate::clock::{Clock, Millis};
use crate::control::Active;
use crate::endpoint::Table;
use crate::log;
use crate::peer;
use crate::settings;
use crate::stream::Store;
use crate::supervisor::Supervisor;
use crate::transport;

use super::backup::{Owners, Replication};
use super::calls::{self, Calls};
use super::cluster::Cluster;
use super::dispatch::Dispatch;
use super::handler::Handler;
use super::lifecycle::Lifecycle;
use super::rollouts::{self, Tracker};
use super::{admin, api, background, drain};

/// Timeout for the response headers of an endpoint.
const ENDPOINT_TIMEOUT: Millis = Millis(10_000);

/// Time for which open connections can delay the exit of the process: a caller that does not read
/// would delay it forever, and can resume at another node.
const STOP_TIMEOUT: Millis = Millis(2_000);

/// The state that the tasks of one node process share.
#[derive(Debug)]
pub struct Node {
    pub(super) settings: settings::Node,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) access: ArcSwap<Tokens>,
    pub(super) peer_tokens: watch::Sender<Arc<peer::Tokens>>,
    pub(super) active: ArcSwapOption<Active>,
    /// Reason for the last rejection of a record or state of the `control` stream.
    pub(super) last_rejection: ArcSwapOption<String>,
    pub(super) endpoints: Mutex<Table>,
    pub(super) rollouts: Tracker,
    pub(super) dispatch: Dispatch,
    pub(super) streams: Store,
    pub(super) lifecycle: Lifecycle,
    /// Cancelled during a drain, once callers can no longer hold this node's address.
    pub(super) address_expired: CancellationToken,
    pub(super) replication: Replication,
    pub(super) backup_owners: Owners,
    pub(super) permits: Arc<Semaphore>,
    pub(super) http: transport::Client,
    pub(super) log_service: log::Client,
    pub(super) calls: Calls,
    pub(super) metrics: PrometheusHandle,
    pub(super) shutdown: CancellationToken,
    pub(super) cluster: Cluster,
}

impl Node {
    /// Creates a node from its settings.
    ///
    /// # Errors
    ///
    /// Fails when a token file can't be read or the metrics recorder can't be installed.
    pub fn new(
        settings: settings::Node,
        log: Logger,
        shutdown: CancellationToken,
    ) -> eyre::Result<Arc<Self>> {
        let access = Tokens::load(&settings.token_file)?;
        let peer_tokens = match &settings.peer_token_file {
            Some(file) => peer::Tokens::load(file)?,
            None => peer::Tokens::default(),
        };
        let metrics = PrometheusBuilder::new()
            .install_recorder()
            .wrap_err("installing the metrics recorder")?;
        let clock = Clock::system();
        let dispatch = Dispatch::new(&settings, clock.now())?;
        Ok(Arc::new(Self {
            cluster: Cluster::new(&settings, &clock),
            dispatch,
            clock,
            log: log.new(o!("node" => settings.name.to_string())),
            access: ArcSwap::from_pointee(access),
            peer_tokens: watch::Sender::new(Arc::new(peer_tokens)),
            active: ArcSwapOption::empty(),
            last_rejection: ArcSwapOption::empty(),
            endpoints: Mutex::default(),
            streams: Store::new(settings.streams),
            lifecycle: Lifecycle::default(),
            address_expired: CancellationToken::new(),
            replication: Replication::default(),
            backup_owners: Owners::default(),
            rollouts: Tracker::new(rand::random()),
            permits: Arc::new(Semaphore::new(settings.request_limit)),
            http: transport::Client::new(ENDPOINT_TIMEOUT),
            log_service: log::Client::new(settings.log_service),
            calls: Calls::new(&settings),
            metrics,
            shutdown,
            settings,
        }))
    }

    /// Serves until the node's shutdown token is cancelled and open requests are answered.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let callers = bind(self.settings.listen).await?;
        let operators = bind(self.settings.admin).await?;
        self.listen_to_peers()?;
        let mut supervisor =
            Supervisor::new(self.shutdown.clone(), self.clock.clone(), self.log.clone());
        background::spawn(&self, &mut supervisor);
        calls::spawn(&self, &mut supervisor);
        rollouts::spawn(&self, &mut supervisor);
        info!(self.log, "serving"; "listen" => self.settings.listen.to_string());
        let admin = transport::Server::new(operators)
            .run(admin::filter(Arc::clone(&self)), self.shutdown.clone());
        let api = transport::Server::new(callers)
            .run(api::filter(Arc::clone(&self)), self.shutdown.clone());
        let serving = async {
            tokio::join!(admin, api, supervisor.join());
        };
        let stopping = async {
            self.shutdown.cancelled().await;
            tokio::time::sleep(STOP_TIMEOUT.into()).await;
        };
        tokio::spawn(drain::run(Arc::clone(&self)));
        tokio::select! {
            () = serving => {}
            () = stopping => info!(self.log, "open connections dropped"),
        }
        self.cluster.shutdown.cancel();
        info!(self.log, "stopped");
        Ok(())
    }

    /// Starts the server for other nodes and the connections to them.
    fn listen_to_peers(self: &Arc<Self>) -> eyre::Result<()> {
        if self.settings.peer_token_file.is_none() {
            warn!(self.log, "peers are not authenticated"; "missing" => "peer_token_file");
        }
        let handler = Handler {
            node: Arc::clone(self),
        };
        let handle = peer::spawn(
            self.settings.peer,
            Arc::new(handler),
            self.settings.stall_ms,
            self.peer_tokens.subscribe(),
            self.cluster.shutdown.clone(),
        )?;
        self.cluster.connect(handle);
        Ok(())
    }
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("binding {address}"))
}
