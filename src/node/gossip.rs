//! Drives [`membership`](crate::membership): sends and answers probes, and applies what they
//! report.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use slog::{info, warn};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;
use crate::config::FORMAT;
use crate::control::{Active, Projection};
use crate::log::Offset;
use crate::membership::{Header, Message, Received, TICK_INTERVAL, Target};
use crate::peer;

use super::Node;
use super::lifecycle::Stage;

/// Maximum number of probes that wait for a response; a stalled node can delay one for up to 2 s.
const MAX_PENDING_PROBES: usize = 16;

/// Time that a stopping node waits so that other nodes learn that it is leaving.
const DEPARTURE_DELAY: Millis = Millis(300);

/// Probes other nodes until the process stops, and then announces that it is leaving.
pub(super) async fn run(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let mut ticks = tokio::time::interval(TICK_INTERVAL.into());
    // Probes missed while the process was paused are not sent later.
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut probes = JoinSet::new();
    loop {
        tokio::select! {
            () = token.cancelled() => break,
            Some(_) = probes.join_next() => continue,
            _ = ticks.tick() => {}
        }
        let target = node.cluster.view().tick(node.clock.now());
        if let Some(target) = target
            && probes.len() < MAX_PENDING_PROBES
        {
            probes.spawn(probe(Arc::clone(&node), target));
        }
    }
    node.announce_departure();
    tokio::time::sleep(DEPARTURE_DELAY.into()).await;
    Ok(())
}

/// Sends a probe and applies the response.
async fn probe(node: Arc<Node>, target: Target) {
    let Some(handle) = node.cluster.handle() else {
        return;
    };
    let header = node.local_header();
    let message = {
        let mut view = node.cluster.view();
        view.build_message(node.clock.now(), target.name.as_deref(), header)
    };
    match handle.probe(target.address, message).await {
        Ok(response) => {
            let position = ControlPosition::of(&response);
            let received = {
                let mut view = node.cluster.view();
                view.receive_response(node.clock.now(), response)
            };
            node.apply_received(received, position);
        }
        Err(_) => {
            metrics::counter!("almondpath_probe_failures_total").increment(1);
            node.cluster.view().probe_failed(node.clock.now(), &target);
        }
    }
}

/// What a message header says about the `control` stream.
#[derive(Clone, Copy)]
struct ControlPosition {
    config: Option<Offset>,
    control_end: Offset,
}

impl ControlPosition {
    fn of(message: &Message) -> Self {
        Self {
            config: message.header.config,
            control_end: message.header.control_end,
        }
    }
}

/// Messages.
impl Node {
    /// Applies a probe of another node and returns the response.
    pub(super) fn handle_probe(self: &Arc<Self>, message: Message) -> Message {
        let position = ControlPosition::of(&message);
        let (from, joining) = (message.header.incarnation, message.header.joining);
        let header = self.local_header();
        let now = self.clock.now();
        let (received, response) = {
            let mut view = self.cluster.view();
            let received = view.receive(now, message);
            (received, view.build_response(now, from, joining, header))
        };
        self.apply_received(received, position);
        response
    }

    /// Returns the header of this node's messages.
    fn local_header(&self) -> Header {
        let now = self.clock.now();
        let control_end = self.control_end();
        Header {
            protocol: peer::PROTOCOL_VERSION,
            format: u16::try_from(FORMAT).unwrap_or(u16::MAX),
            // The view sets the fields that it knows.
            incarnation: 0,
            joining: false,
            digest: 0,
            config: self.active.load().as_ref().map(|active| active.version),
            control_end,
            weight: self.weight(),
            draining: self.lifecycle.stage() != Stage::Serving,
            demand: self.cluster.rates.lock().expect("rates lock").demand(now),
        }
    }

    /// Counts a request in the demand of a client account.
    pub(super) fn count_demand(&self, account: &Arc<str>) {
        let mut rates = self.cluster.rates.lock().expect("rates lock");
        rates.count(account, 1.0, self.clock.now());
    }

    /// Returns this node's weight in address responses, in a few steps, so that sessions stay at
    /// their nodes.
    pub(super) fn weight(&self) -> u8 {
        let limit = self.settings.request_limit.max(1);
        match self.permits.available_permits() * 100 / limit {
            50.. => 255,
            25..50 => 128,
            5..25 => 64,
            _ => 0,
        }
    }

    /// Applies what a message reported.
    fn apply_received(self: &Arc<Self>, received: Received, position: ControlPosition) {
        let now = self.clock.now();
        {
            let mut endpoints = self.endpoints.lock().expect("endpoints lock");
            for notice in &received.notices {
                if endpoints.apply_notice(notice) {
                    info!(self.log, "endpoint is leaving"; "host" => notice.host.to_string());
                }
            }
            let mut unknown = self
                .cluster
                .unknown_endpoints
                .lock()
                .expect("unknown endpoints lock");
            for load in &received.loads {
                if !endpoints.apply_relayed_load(load, now) {
                    unknown.entry(load.host).or_insert(now);
                }
            }
        }
        if received.urgent {
            self.relay();
        }
        if position.control_end.0 > self.cluster.control_read_to.load(Ordering::SeqCst) {
            self.cluster.control_grown.notify_one();
        }
        if let Some(sender) = received.sender
            && self.is_behind(position)
        {
            self.fetch_control(sender);
        }
    }

    /// Sends an urgent update to a node in each failure domain.
    pub(super) fn relay(self: &Arc<Self>) {
        let targets = self.cluster.view().relay_targets(self.clock.now());
        for target in targets {
            tokio::spawn(probe(Arc::clone(self), target));
        }
    }

    /// Announces to the other nodes that this process is leaving.
    pub(super) fn announce_departure(self: &Arc<Self>) {
        self.cluster.view().leave();
        self.relay();
    }
}

/// The `control` stream, compared with what other nodes know of it.
impl Node {
    /// Returns the offset after the newest known record of the `control` stream.
    fn control_end(&self) -> Offset {
        self.cluster
            .control
            .lock()
            .expect("control lock")
            .next_offset()
    }

    /// Returns whether the control state should be fetched from a node with this position.
    fn is_behind(&self, position: ControlPosition) -> bool {
        if self.cluster.control_gap.load(Ordering::SeqCst) {
            // The log has dropped the records.
            return position.control_end > self.control_end();
        }
        let active = self.active.load().as_ref().map(|active| active.version);
        if position.config <= active {
            return false;
        }
        // A node that reads the log because of this probe gets the record sooner than the whole
        // state.
        !self.cluster.log_reachable.load(Ordering::SeqCst) || self.is_direct_reader()
    }

    /// Fetches the control state from another node in the background, unless a fetch is running.
    fn fetch_control(self: &Arc<Self>, from: std::net::SocketAddr) {
        let Some(handle) = self.cluster.handle().cloned() else {
            return;
        };
        if self.cluster.fetching_control.swap(true, Ordering::SeqCst) {
            return;
        }
        let node = Arc::clone(self);
        tokio::spawn(async move {
            match handle.fetch_config::<_, Projection>(from, &()).await {
                Ok(projection) => node.adopt(&projection),
                Err(error) => {
                    warn!(node.log, "fetching the configuration failed"; "reason" => %error);
                }
            }
            node.cluster.fetching_control.store(false, Ordering::SeqCst);
        });
    }

    /// Adopts a state of the `control` stream if it is newer than the known one.
    ///
    /// Two states of the stream agree up to the end of the shorter one, so the version of the
    /// active configuration only increases.
    pub(super) fn adopt(self: &Arc<Self>, projection: &Projection) {
        let mut control = self.cluster.control.lock().expect("control lock");
        if projection.next_offset() <= control.next_offset() {
            return;
        }
        if let Some(active) = projection.active()
            && let Err(reason) = self.validate(active)
        {
            // The known configuration stays active.
            self.last_rejection.store(Some(Arc::new(reason)));
            return;
        }
        *control = projection.clone();
        self.rollouts.update(projection);
        let Some(active) = projection.active() else {
            return;
        };
        let known = self.active.load().as_ref().map(|known| known.version);
        if Some(active.version) <= known {
            return;
        }
        info!(self.log, "configuration active"; "version" => active.version.0);
        self.dispatch.configure(&active.config);
        // Done before requests are accepted, which would otherwise wait for the next periodic
        // refresh.
        self.refresh_policy();
        self.active.store(Some(Arc::new(active.clone())));
        drop(control);
        self.relay();
    }

    /// Checks that this node supports the configuration and that it is valid.
    fn validate(&self, active: &Active) -> Result<(), String> {
        if active.config.format > FORMAT {
            return Err(format!("format {} is not supported", active.config.format));
        }
        match active.config.validate().first() {
            Some(issue) => Err(format!("{}: {}", issue.path, issue.message)),
            None => Ok(()),
        }
    }
}
