use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use slog::info;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::clock::Millis;
use crate::config::Kind;
use crate::control::{self, Change, LEASE_DURATION, Lease, Phase, Reason, Record, Status};
use crate::log::{Offset, Service as _};
use crate::provider::{FencedOrder, HttpOrders, Order, Orders as _};
use crate::rollout::{Observation, Plan, Step};

use super::Node;
use super::tracker::Assessment;

/// Name of the task that a controller claims.
const TASK: &str = "rollouts";

/// Time between two checks of the rollouts.
const POLL_INTERVAL: Millis = Millis(200);

/// Maximum random delay of a node's first claim, so that the claims of several nodes rarely
/// collide.
const MAX_CLAIM_JITTER_MS: u64 = 400;

/// Time after which a record that has not appeared in the log is appended again.
const APPEND_RETRY_INTERVAL: Millis = Millis(2_000);

/// Time between two orders to the same host.
const ORDER_RETRY_INTERVAL: Millis = Millis(2_000);

/// Advances and rolls back rollouts while this node holds the claim.
///
/// The claim only decides which node usually does the work. Two controllers may be active at once:
/// of their conflicting records, preconditions let only the first take effect. A controller has no
/// state of its own that another would need after it stops: everything is in the log, in the
/// exchanged evidence and in the endpoints' load reports.
struct Controller {
    node: Arc<Node>,
    lease: Lease,
    /// When this node last appended a claim.
    claimed_at: Option<Millis>,
    /// When each record was last appended, by rollout and description.
    appended_at: HashMap<(Offset, String), Millis>,
    /// When each host was last sent an order.
    ordered_at: HashMap<Arc<str>, Millis>,
    order_client: HttpOrders,
}

/// Runs the controller until `token` is cancelled.
pub(super) async fn run(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let mut controller = Controller {
        node,
        lease: Lease::default(),
        claimed_at: None,
        appended_at: HashMap::new(),
        ordered_at: HashMap::new(),
        order_client: HttpOrders::default(),
    };
    while !token.is_cancelled() {
        let poll = async {
            controller.poll().await;
            tokio::time::sleep(POLL_INTERVAL.into()).await;
        };
        tokio::select! {
            () = token.cancelled() => {}
            () = poll => {}
        }
    }
    Ok(())
}

impl Controller {
    /// Appends the records and sends the orders that are due, if this node holds the claim.
    async fn poll(&mut self) {
        let now = self.node.clock.now();
        let recorded = self.node.rollouts.recorded();
        let claim = recorded.claim(TASK);
        self.lease.observe(claim, now);
        let changes = self.due_changes(&recorded);
        let orders = self.due_orders();
        if changes.is_empty() && orders.is_empty() && !self.has_rollout_in_progress() {
            return;
        }
        if self.lease.should_claim(claim, now) {
            self.claim(claim.map(|claim| claim.offset), now).await;
        }
        for (id, change) in changes {
            self.append(id, change, &recorded).await;
        }
        for (host, address, order) in orders {
            let now = self.node.clock.now();
            // Checked right before each order, because the lease may have ended in the meantime.
            let Some(fence) = self.lease.fencing_token(recorded.claim(TASK), now) else {
                return;
            };
            self.ordered_at.insert(host, now);
            // Whether the endpoint followed the order is read from its load reports.
            let _ = self
                .order_client
                .order(address, &FencedOrder { fence, order })
                .await;
        }
    }

    /// Returns whether a rollout is in progress, so that a claim should be held.
    fn has_rollout_in_progress(&self) -> bool {
        let rollouts = self.node.rollouts.assessments(self.node.clock.wall());
        rollouts.iter().any(|r| r.status == Status::InProgress)
    }

    /// Appends a claim, at most every 500 ms.
    async fn claim(&mut self, previous: Option<Offset>, now: Millis) {
        if self.claimed_at.is_some_and(|at| now < at + Millis(500)) {
            return;
        }
        if self.claimed_at.is_none() {
            let jitter = rand::rng().random_range(0..MAX_CLAIM_JITTER_MS);
            tokio::time::sleep(Millis(jitter).into()).await;
        }
        let now = self.node.clock.now();
        self.claimed_at = Some(now);
        let id = Uuid::new_v4();
        self.lease.record_append(id, now);
        let change = Change::Claim {
            id,
            task: TASK.into(),
            holder: Arc::clone(&self.node.settings.name),
            incarnation: self.node.rollouts.incarnation(),
            lease_ms: LEASE_DURATION,
            previous,
        };
        self.write(change).await;
    }

    /// Appends a record if this node holds the claim and has not appended the same one recently.
    async fn append(&mut self, id: Offset, change: Change, recorded: &control::Rollouts) {
        let now = self.node.clock.now();
        if self
            .lease
            .fencing_token(recorded.claim(TASK), now)
            .is_none()
        {
            return;
        }
        let description = describe(&change);
        let last = self.appended_at.get(&(id, description.clone()));
        if last.is_some_and(|at| now < *at + APPEND_RETRY_INTERVAL) {
            return;
        }
        self.appended_at
            .retain(|_, at| now < *at + APPEND_RETRY_INTERVAL);
        info!(self.node.log, "appending rollout record"; "record" => &description);
        self.appended_at.insert((id, description), now);
        self.write(change).await;
    }

    /// Appends a record to the `control` stream.
    async fn write(&self, change: Change) {
        if let Ok(text) = serde_json::to_string(&Record::Change(change)) {
            // Whether the record took effect is read from the log.
            let log = &self.node.log_service;
            let _ = log.append(control::STREAM, vec![text.into()]).await;
        }
    }
}

/// Describes a record, to recognize repeated records and for log lines.
fn describe(change: &Change) -> String {
    match change {
        Change::RolloutStart { service, to, .. } => format!("start {service} {to}"),
        Change::RolloutStage { stage, .. } => format!("stage {stage}"),
        Change::RolloutDone { .. } => "done".to_owned(),
        Change::RolloutRollback { why, .. } => format!("rollback: {why}"),
        Change::Claim { .. } => "claim".to_owned(),
    }
}

/// Decisions.
impl Controller {
    /// Returns the records that are due, each with the id of its rollout.
    fn due_changes(&self, recorded: &control::Rollouts) -> Vec<(Offset, Change)> {
        let at = self.node.clock.wall();
        let plan = self.node.rollouts.plan();
        let mut changes = Vec::new();
        for assessment in self.node.rollouts.assessments(at) {
            let id = assessment.rollout.id;
            changes.extend(next_change(&plan, &assessment, at).map(|change| (id, change)));
        }
        let Some(config) = self.node.rollouts.config() else {
            return changes;
        };
        for service in &config.services {
            let (Some(to), Some(from)) = (
                recorded.pending_target(&config, &service.name),
                recorded.serving(&service.name),
            ) else {
                continue;
            };
            let change = Change::RolloutStart {
                id: Uuid::new_v4(),
                service: Arc::clone(&service.name),
                from: Arc::clone(from),
                to,
                at,
                deadline: at + service.rollout_deadline_ms,
                limits: self.node.rollouts.thresholds(&service.name),
            };
            changes.push((Offset::default(), change));
        }
        changes
    }

    /// Returns the orders for endpoints that report another version than they should serve.
    ///
    /// Endpoints of the old version keep it until the bake time ends.
    fn due_orders(&self) -> Vec<(Arc<str>, std::net::SocketAddr, Order)> {
        let (now, wall) = (self.node.clock.now(), self.node.clock.wall());
        let Some(config) = self.node.rollouts.config() else {
            return Vec::new();
        };
        let endpoints = self.node.endpoints.lock().expect("endpoints lock");
        let mut orders = Vec::new();
        for assessment in self.node.rollouts.assessments(wall) {
            let rollout = &assessment.rollout;
            // Only model engines accept orders.
            let service = config.service(&rollout.service);
            if service.is_none_or(|service| service.kind != Kind::Model) {
                continue;
            }
            let target = match (&assessment.status, &rollout.phase) {
                (Status::Done, _) => &rollout.to,
                // Only a rollback that is recorded in the log is final: after a local trip, a
                // `done` record may still take effect first.
                (Status::RolledBack(_), Phase::RolledBack(_)) => &rollout.from,
                _ => continue,
            };
            let other = if *target == rollout.to {
                &rollout.from
            } else {
                &rollout.to
            };
            let stale = endpoints.iter().filter(|(_, e)| {
                e.host.service == rollout.service && e.version() == other && !e.leaving
            });
            for (_, endpoint) in stale {
                let host = &endpoint.host.host;
                let last = self.ordered_at.get(host);
                if last.is_none_or(|at| now >= *at + ORDER_RETRY_INTERVAL) {
                    let order = Order::Serve(Arc::clone(target));
                    orders.push((Arc::clone(host), endpoint.host.address, order));
                }
            }
        }
        orders
    }
}

/// Returns the next record of a rollout, if one is due.
fn next_change(plan: &Plan, assessment: &Assessment, at: Millis) -> Option<Change> {
    let rollout = &assessment.rollout;
    let (id, of) = (Uuid::new_v4(), rollout.id);
    match (&assessment.status, &rollout.phase) {
        (Status::RolledBack(why), Phase::InProgress | Phase::Done(_)) => {
            let why: Reason = why.clone();
            Some(Change::RolloutRollback {
                id,
                rollout: of,
                why,
                at,
            })
        }
        (Status::InProgress, _) => {
            let observation = Observation {
                now: at,
                stage: rollout.stage,
                stage_since: assessment.stage_since,
                deadline: rollout.deadline,
                window: rollout.deadline - rollout.started_at,
                routes: &assessment.routes,
                suspicion: assessment.suspicion,
            };
            match plan.next(&observation) {
                Step::Stay => None,
                Step::Advance(stage) => Some(Change::RolloutStage {
                    id,
                    rollout: of,
                    stage,
                    at,
                }),
                Step::Done => Some(Change::RolloutDone {
                    id,
                    rollout: of,
                    at,
                }),
            }
        }
        _ => None,
    }
}
