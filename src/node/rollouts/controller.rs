use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use slog::info;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::clock::Millis;
use crate::config::Kind;
use crate::control::{self, Change, LEASE, Lease, Phase, Reason, Record, Status};
use crate::log::{Offset, Service as _};
use crate::provider::{FencedOrder, HttpOrders, Order, Orders as _};
use crate::rollout::{Observation, Plan, Step};

use super::Node;
use super::tracker::Progress;

/// The task that is claimed.
const TASK: &str = "rollouts";

/// Time between two looks at the rollouts.
const LOOK: Millis = Millis(200);

/// Spread of the first attempt to claim a free task, so that nodes rarely collide.
const CLAIM_SPREAD_MS: u64 = 400;

/// Time after which a record that hasn't appeared in the log is appended again.
const REPEAT: Millis = Millis(2_000);

/// Time between two equal orders to an endpoint.
const ORDER_REPEAT: Millis = Millis(2_000);

/// Drives the rollouts while this node holds the claim.
///
/// The claim only decides who usually does the work. Two controllers at once append records whose
/// preconditions let the first one win, and one that stops leaves nothing that another has to
/// know: everything is in the log, in the exchanged evidence and in the endpoints' load reports.
struct Controller {
    node: Arc<Node>,
    lease: Lease,
    claimed_at: Option<Millis>,
    /// When each record was last appended.
    appended: HashMap<(Offset, String), Millis>,
    ordered: HashMap<Arc<str>, Millis>,
    orders: HttpOrders,
}

pub(super) async fn run(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let mut controller = Controller {
        node,
        lease: Lease::default(),
        claimed_at: None,
        appended: HashMap::new(),
        ordered: HashMap::new(),
        orders: HttpOrders::default(),
    };
    while !token.is_cancelled() {
        let look = async {
            controller.look().await;
            tokio::time::sleep(LOOK.into()).await;
        };
        tokio::select! {
            () = token.cancelled() => {}
            () = look => {}
        }
    }
    Ok(())
}

impl Controller {
    async fn look(&mut self) {
        let now = self.node.clock.now();
        let fold = self.node.rollouts.fold();
        let claim = fold.claim(TASK);
        self.lease.observe(claim, now);
        let changes = self.changes(&fold);
        let orders = self.orders();
        if changes.is_empty() && orders.is_empty() && !self.is_busy() {
            return;
        }
        if self.lease.should_claim(claim, now) {
            self.claim(claim.map(|claim| claim.offset), now).await;
        }
        for (id, change) in changes {
            self.append(id, change, &fold).await;
        }
        for (host, address, order) in orders {
            let now = self.node.clock.now();
            // Checked right before each order: the claim may have ended meanwhile.
            let Some(fence) = self.lease.fencing_token(fold.claim(TASK), now) else {
                return;
            };
            self.ordered.insert(host, now);
            // What the endpoint made of the order is read back from its load reports.
            let _ = self
                .orders
                .order(address, &FencedOrder { fence, order })
                .await;
        }
    }

    /// Returns whether a rollout is in progress, so that a claim should be held.
    fn is_busy(&self) -> bool {
        let rollouts = self.node.rollouts.progress(self.node.clock.wall());
        rollouts.iter().any(|p| p.standing == Status::InProgress)
    }

    async fn claim(&mut self, previous: Option<Offset>, now: Millis) {
        if self.claimed_at.is_some_and(|at| now < at + Millis(500)) {
            return;
        }
        if self.claimed_at.is_none() {
            let spread = rand::rng().random_range(0..CLAIM_SPREAD_MS);
            tokio::time::sleep(Millis(spread).into()).await;
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
            lease_ms: LEASE,
            previous,
        };
        self.write(change).await;
    }

    /// Appends a record, at most once in a while and only under the claim.
    async fn append(&mut self, id: Offset, change: Change, fold: &control::Rollouts) {
        let now = self.node.clock.now();
        if self.lease.fencing_token(fold.claim(TASK), now).is_none() {
            return;
        }
        let name = name(&change);
        let last = self.appended.get(&(id, name.clone()));
        if last.is_some_and(|at| now < *at + REPEAT) {
            return;
        }
        self.appended.retain(|_, at| now < *at + REPEAT);
        info!(self.node.log, "rollout step"; "record" => &name);
        self.appended.insert((id, name), now);
        self.write(change).await;
    }

    async fn write(&self, change: Change) {
        if let Ok(text) = serde_json::to_string(&Record::Change(change)) {
            // Whether the record took effect is read from the log.
            let log = &self.node.log_service;
            let _ = log.append(control::STREAM, vec![text.into()]).await;
        }
    }
}

/// Names a record for the bound on repetitions and for the log line.
fn name(change: &Change) -> String {
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
    /// Returns the records that are due, each with its rollout.
    fn changes(&self, fold: &control::Rollouts) -> Vec<(Offset, Change)> {
        let at = self.node.clock.wall();
        let plan = self.node.rollouts.plan();
        let mut changes = Vec::new();
        for progress in self.node.rollouts.progress(at) {
            let id = progress.rollout.id;
            changes.extend(step(&plan, &progress, at).map(|change| (id, change)));
        }
        let Some(config) = self.node.rollouts.config() else {
            return changes;
        };
        for service in &config.services {
            let (Some(to), Some(from)) = (
                fold.pending_target(&config, &service.name),
                fold.serving(&service.name),
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
                limits: self.node.rollouts.limits(&service.name),
            };
            changes.push((Offset::default(), change));
        }
        changes
    }

    /// Returns the orders for endpoints that should serve another version than they report.
    ///
    /// The old version's endpoints stay as they are until the bake time ends.
    fn orders(&self) -> Vec<(Arc<str>, std::net::SocketAddr, Order)> {
        let (now, wall) = (self.node.clock.now(), self.node.clock.wall());
        let Some(config) = self.node.rollouts.config() else {
            return Vec::new();
        };
        let endpoints = self.node.endpoints.lock().expect("endpoints lock");
        let mut orders = Vec::new();
        for progress in self.node.rollouts.progress(wall) {
            let rollout = &progress.rollout;
            // Only model engines take orders.
            let service = config.service(&rollout.service);
            if service.is_none_or(|service| service.kind != Kind::Model) {
                continue;
            }
            let target = match (&progress.standing, &rollout.phase) {
                (Status::Done, _) => &rollout.to,
                // Only what the log says is final; a local trip may still meet a `done`.
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
                let last = self.ordered.get(host);
                if last.is_none_or(|at| now >= *at + ORDER_REPEAT) {
                    let order = Order::Serve(Arc::clone(target));
                    orders.push((Arc::clone(host), endpoint.host.address, order));
                }
            }
        }
        orders
    }
}

/// Returns the record that a rollout needs next.
fn step(plan: &Plan, progress: &Progress, at: Millis) -> Option<Change> {
    let rollout = &progress.rollout;
    let (id, of) = (Uuid::new_v4(), rollout.id);
    match (&progress.standing, &rollout.phase) {
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
                stage_since: progress.stage_since,
                deadline: rollout.deadline,
                window: rollout.deadline - rollout.started_at,
                routes: &progress.routes,
                suspicion: progress.suspicion,
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
