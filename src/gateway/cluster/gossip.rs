use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::clock::Millis;
use crate::error::Error;
use crate::gateway::entries::Position;
use crate::gateway::state::State;
use crate::gateway::{GrantReport, Node, Quotas, Topic};
use crate::peer::{Handle, Method};

use super::liveness::Liveness;
use super::merge::{apply_header, header};
use super::message::{
    Delta, Message, Progress, Report, Request, Response, Versions, decode, encode,
};
use super::rounds::interval;
use super::selector::{Target, View};
use super::speeds;

/// Rounds between two reports to the holder of the duties.
const ROUNDS_PER_REPORT: u64 = 2;

/// Maximum number of reports of other runs that a node passes on at a time.
const MAX_RELAYED_REPORTS: usize = 16;

/// Minimum time between two reports of grants that have to be reported at once.
const GRANT_REPORT_PAUSE: Millis = Millis(25);

/// Number of nodes that may own a bucket next to which its grants are reported.
const GRANT_REPORT_TARGETS: usize = 2;

/// The state of the exchanges with other nodes, by address.
#[derive(Default)]
struct Exchanges {
    /// Versions of the other nodes' state that this node has received.
    received: HashMap<SocketAddr, Versions>,
    /// Incarnation of each node, and the version up to which it received this node's claims.
    claims_sent: HashMap<SocketAddr, (u64, u64)>,
    /// Nodes with an exchange in progress.
    in_progress: HashSet<SocketAddr>,
}

/// Runs the gossip rounds of a node.
struct Gossip {
    node: Arc<Node>,
    handle: Handle,
    exchanges: Mutex<Exchanges>,
}

/// Exchanges state with other nodes until the process ends.
///
/// # Errors
///
/// Never fails; nodes that do not respond are contacted again.
pub(in crate::gateway) async fn run(node: Arc<Node>, handle: Handle) -> eyre::Result<()> {
    let gossip = Arc::new(Gossip {
        node,
        handle,
        exchanges: Mutex::default(),
    });
    let node = &gossip.node;
    let _reporting = AbortOnDropHandle::new(tokio::spawn(report_grants(Arc::clone(&gossip))));
    let mut round = 0_u64;
    let mut holder = None;
    let mut liveness = Liveness::default();
    while !node.stopped.is_cancelled() {
        round += 1;
        node.review_crashes();
        node.review_rollouts();
        gossip.start_round();
        liveness.log_changes(&node.state().roster, &node.log, node.clock.now());
        let current = gossip.duties_holder();
        if current != holder || is_report_due(node, round) {
            gossip.send_report(current);
        }
        holder = current;
        tokio::spawn(speeds::exchange(Arc::clone(node), gossip.handle.clone()));
        gossip.send_grants(|_, _| true);
        let leaving = node.leaving.is_cancelled();
        tokio::select! {
            () = sleep(interval(node).into()) => {}
            // The other nodes have to learn at once that this one accepts no more requests.
            () = node.leaving.cancelled(), if !leaving => {}
        }
    }
    Ok(())
}

/// Returns whether a node reports to the holder of the duties in this round. A small cluster reports in
/// each round while a version may be found worse.
fn is_report_due(node: &Node, round: u64) -> bool {
    let state = node.state();
    let is_urgent = state.roster.is_small() && state.rollouts.is_any_open();
    is_urgent || round.is_multiple_of(ROUNDS_PER_REPORT)
}

/// Reports grants that the next owners of a bucket have to learn of at once.
async fn report_grants(gossip: Arc<Gossip>) {
    let node = &gossip.node;
    while !node.stopped.is_cancelled() {
        node.grants_unreported.notified().await;
        let active = node.active.load_full();
        gossip.send_grants(|quotas, account| {
            let account = active
                .as_ref()
                .and_then(|a| a.config.account_by_name(account));
            let quota = account.and_then(|account| Some((&account.name, account.quota.as_ref()?)));
            quota.is_some_and(|(name, quota)| quotas.has_to_report(name, quota))
        });
        sleep(GRANT_REPORT_PAUSE.into()).await;
    }
}

impl Gossip {
    fn exchanges(&self) -> MutexGuard<'_, Exchanges> {
        // Each change leaves the data consistent, also if a later step panics.
        self.exchanges
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the exchanges of one round.
    fn start_round(self: &Arc<Self>) {
        for target in self.targets() {
            if !self.exchanges().in_progress.insert(target.peer) {
                continue;
            }
            let gossip = Arc::clone(self);
            tokio::spawn(async move {
                let outcome = gossip.exchange(&target).await;
                gossip.exchanges().in_progress.remove(&target.peer);
                if let Err(error) = outcome {
                    gossip.record_failure(&target, &error);
                }
            });
        }
    }

    fn targets(&self) -> Vec<Target> {
        let node = &self.node;
        let now = node.clock.now();
        let state = &mut *node.state();
        state.roster.tick(now);
        let readers = state.readers(&node.settings, now);
        let view = View {
            own: &node.settings.node,
            domain: &node.settings.domain,
            peer: node.settings.peer,
            roster: &state.roster,
            readers: &readers,
            known_nodes: &[],
            seeds: &node.settings.seeds,
        };
        let view = view.with_known_nodes(&state.known_nodes);
        let targets = state.selector.next(&view, now);
        for name in targets.iter().filter_map(|target| target.node.as_ref()) {
            state.roster.record_call(name, now);
        }
        targets
    }

    fn record_failure(&self, target: &Target, error: &Error) {
        let node = &self.node;
        metrics::counter!("almondpath_peer_failures_total").increment(1);
        slog::debug!(node.log, "gossip exchange failed"; "to" => %target.peer, "reason" => %error);
        let Some(name) = &target.node else {
            return;
        };
        let state = &mut *node.state();
        if state.roster.record_failure(name, node.clock.now()) {
            state.selector.record_loss();
        }
    }

    async fn exchange(&self, target: &Target) -> Result<(), Error> {
        let node = &self.node;
        let (known, claims_sent) = {
            let exchanges = self.exchanges();
            let claims_sent = exchanges.claims_sent.get(&target.peer).copied();
            (exchanges.received.get(&target.peer).copied(), claims_sent)
        };
        let sent = node.clock.now();
        let (version, claims) = if target.wants_delta {
            let since = claims_sent.map_or(0, |(_, version)| version);
            node.state().roster.own_claims_since(since, sent)
        } else {
            Default::default()
        };
        let request = Request {
            header: header(node, false),
            have: target.wants_delta.then(|| known.unwrap_or_default()),
            claims,
            evacuations: node.known_evacuations(),
        };
        let payload = encode(&Message::Exchange(Box::new(request)))?;
        let response = self.handle.call_bytes(target.peer, Method::Gossip, payload);
        let response: Response = decode(&response.await?)?;
        let config = response.header.config;
        let incarnation = response.header.announcement.incarnation;
        if target.wants_delta {
            // A node that has restarted since has not received the earlier claims.
            let restarted = claims_sent.filter(|(known, _)| *known != incarnation);
            let version = if restarted.is_some() { 0 } else { version };
            self.exchanges()
                .claims_sent
                .insert(target.peer, (incarnation, version));
        }
        apply_header(node, response.header);
        node.merge_evacuations(response.evacuations);
        if let Some(document) = response.document {
            node.install(&Bytes::from(document), "node");
        }
        if let Some(delta) = response.delta {
            self.apply_delta(target.peer, delta, config, sent);
        }
        Ok(())
    }

    /// Applies the changes of another node, whose configuration has the version `config`. The node
    /// responded after `sent`.
    fn apply_delta(&self, peer: SocketAddr, delta: Delta, config: u64, sent: Millis) {
        let node = &self.node;
        for update in delta.entries {
            let id = Arc::clone(&update.id);
            let outage_end = sent - update.missing_for.unwrap_or_default();
            node.apply_entry(&id, update.into_entry(), outage_end, "node");
        }
        for update in &delta.members {
            node.merge_rollouts(&update.announcement);
        }
        for (topic, progress) in [
            (Topic::Endpoints, delta.endpoints),
            (Topic::Operator, delta.operator),
        ] {
            if let Some(progress) = progress {
                node.note_era(progress.era, topic);
            }
        }
        // The operator's position is adopted only once this node has the configuration as well.
        let has_config = config <= node.config_version();
        let now = node.clock.now();
        let wall = node.wall_time();
        let state = &mut *node.state();
        state.merge_announced_grants(
            delta
                .members
                .iter()
                .map(|update| (&update.announcement, update.uptime)),
            node.active.load().as_ref().map(|active| &active.config),
            now,
        );
        for update in &delta.members {
            state.quarantine.merge(&update.announcement.evidence, wall);
        }
        state.roster.apply(delta.members, now);
        state.update_remote_inflight(now);
        let position = &mut state.endpoints_position;
        // Otherwise the other node may not know of removals that this one has not read.
        let has_no_gap = delta
            .entries_from
            .is_some_and(|from| position.is_continued_by(from));
        if has_no_gap {
            adopt_position(position, sent, delta.endpoints);
        }
        if has_config {
            adopt_position(&mut state.operator_position, sent, delta.operator);
        }
        self.exchanges().received.insert(peer, delta.versions);
    }

    /// Returns the address of the node that holds the duties, if it is another one.
    fn duties_holder(&self) -> Option<SocketAddr> {
        let node = &self.node;
        let state = node.state();
        let holder = state.roster.holder(node.clock.now())?;
        Some(holder.announcement.peer)
    }

    /// Reports started requests and demand to the holder of the duties.
    ///
    /// The holder itself reports to the readers, which may become its successors, so that its own
    /// counters survive its loss.
    ///
    /// What earlier holders reported to this node before they were lost is passed on, since they cannot
    /// report it to the new holder.
    fn send_report(self: &Arc<Self>, holder: Option<SocketAddr>) {
        let node = &self.node;
        let now = node.clock.now();
        let (report, relayed, readers) = {
            let state = node.state();
            let report = Report {
                node: Arc::clone(&node.settings.node),
                incarnation: node.incarnation,
                usage: state.usage.counts().clone(),
                demand: state.own_demand(now),
                rollouts: state.rollouts.reports(),
                totals: state.lease.own_totals(),
            };
            let readers = state.readers(&node.settings, now);
            let readers = readers.iter().filter_map(|name| state.roster.member(name));
            let readers: Vec<_> = readers.map(|member| member.announcement.peer).collect();
            (report, relayed_reports(&state, now), readers)
        };
        let recipients = holder.map_or(readers, |holder| vec![holder]);
        for to in recipients {
            self.send(to, Message::Report(report.clone()), "report");
            for relayed in &relayed {
                self.send(to, Message::Report(relayed.clone()), "relayed report");
            }
        }
    }

    /// Reports the grants of the buckets that this node owns to their next owners.
    fn send_grants<F>(self: &Arc<Self>, wanted: F)
    where
        F: Fn(&Quotas, &str) -> bool,
    {
        let node = &self.node;
        let now = node.clock.now();
        let phase = node.phase(now);
        let mut by_owner: HashMap<SocketAddr, Vec<GrantReport>> = HashMap::new();
        {
            let state = &mut *node.state();
            for report in state.quotas.reports(wanted, now) {
                let account = &report.account;
                let owners = state
                    .roster
                    .owners(phase, account, now, GRANT_REPORT_TARGETS);
                for owner in owners.into_iter().flatten() {
                    by_owner.entry(owner).or_default().push(report.clone());
                }
            }
        }
        for (to, reports) in by_owner {
            self.send(to, Message::Grants(reports), "grants");
        }
    }

    /// Sends a message without waiting for the outcome. A lost message is not sent again, because
    /// the next one replaces it.
    fn send(self: &Arc<Self>, to: SocketAddr, message: Message, what: &'static str) {
        let gossip = Arc::clone(self);
        tokio::spawn(async move {
            let sent = async {
                let payload = encode(&message)?;
                gossip.handle.call_bytes(to, Method::Gossip, payload).await
            };
            if let Err(error) = sent.await {
                slog::debug!(gossip.node.log, "gossip message not delivered"; "to" => %to,
                    "what" => what, "reason" => %error);
            }
        });
    }
}

/// Returns the reports of runs that have ended, as far as this node received them.
fn relayed_reports(state: &State, now: Millis) -> Vec<Report> {
    let is_live = |name: &Arc<str>, incarnation: u64| {
        let member = state.roster.member(name);
        member.is_some_and(|member| {
            member.announcement.incarnation == incarnation && state.roster.is_alive(member, now)
        })
    };
    let lost = state.usage.of_lost_runs(is_live);
    let reports = lost.map(|(name, incarnation, counts)| Report {
        node: Arc::clone(name),
        incarnation,
        usage: counts.clone(),
        demand: Vec::new(),
        rollouts: Vec::new(),
        totals: Vec::new(),
    });
    reports.take(MAX_RELAYED_REPORTS).collect()
}

/// Adopts the position of another node after its changes have been applied. The node responded
/// after `sent`.
fn adopt_position(position: &mut Position, sent: Millis, progress: Option<Progress>) {
    if let Some(progress) = progress {
        position.advance(Position {
            era: progress.era,
            next: Some(progress.next),
            as_of: Some(sent - progress.age),
        });
    }
}
