use std::sync::Arc;

use serde::Serialize;
use slog::{info, warn};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::lease::{DutyEntry, DutyRecord, Totals};
use super::rollout::Control;
use super::scaler::{Placement, Scaler};
use super::{Append, Holder, Node, OrderOutcome, Page, Scale, Topic};

/// Time between two steps of the holder.
const STEP_INTERVAL: Millis = Millis(250);

/// Time between two reads of the topic by a node that does not hold the lease.
const STANDBY_INTERVAL: Millis = Millis(500);

/// As [`STANDBY_INTERVAL`], while the holder is alive. Its records are then read only to keep the
/// backlog short for a takeover.
const LIVE_HOLDER_INTERVAL: Millis = Millis(5_000);

/// Time between two renewals of the lease.
const RENEW_INTERVAL: Millis = Millis(1_000);

/// Time after the end of a window within which the counts of all nodes arrive.
const COUNTS_DELAY: Millis = Millis(2_500);

/// Time by which the wall times of two holders may differ, when one commits the totals of a window
/// and the other finds that the store was restored.
const WALL_TOLERANCE: Millis = Millis(1_000);

/// The state of the duties besides the lease.
#[derive(Default)]
struct DutyState {
    /// When the latest record was sent.
    sent_at: Option<Millis>,
    /// Whether it is unknown if that record was stored.
    outcome_unknown: bool,
    /// Windows whose report the platform has accepted.
    reported: std::collections::BTreeSet<u64>,
    /// The fence of the lease, while this node holds it.
    fence: Option<u64>,
    /// When this node acquired the lease.
    held_since: Option<Millis>,
    rollouts: Control,
}

/// Takes part in the lease of the duties, and performs them while this node holds it.
///
/// # Errors
///
/// Never fails; waits while the store is unavailable.
pub(super) async fn run(node: Arc<Node>) -> eyre::Result<()> {
    let mut duty = DutyState::default();
    loop {
        let (held, resumes) = {
            let lease = &node.state().lease;
            (lease.is_held(), lease.resumes())
        };
        if node.leaving.is_cancelled() {
            if held && let Some(holder) = valid_holder(&node) {
                let fence = holder.fence;
                append(&node, &mut duty, |_| DutyRecord::Release { fence }).await;
            }
            return Ok(());
        }
        if !held && !resumes && !node.is_reader() {
            sleep(STANDBY_INTERVAL.into()).await;
            continue;
        }
        if let Err(error) = catch_up(&node, &mut duty).await {
            slog::debug!(node.log, "reading the topic of duties failed"; "reason" => %error);
            sleep(STEP_INTERVAL.into()).await;
            continue;
        }
        step(&node, &mut duty).await;
        tokio::select! {
            () = pause(&node) => {}
            () = node.leaving.cancelled() => {}
        }
    }
}

/// Waits until the next step.
async fn pause(node: &Node) {
    let is_holder = {
        let lease = &node.state().lease;
        lease.is_held() || lease.resumes()
    };
    if is_holder {
        return sleep(STEP_INTERVAL.into()).await;
    }
    let started = node.clock.now();
    loop {
        sleep(STANDBY_INTERVAL.into()).await;
        if has_no_live_holder(node) || node.clock.now() - started >= LIVE_HOLDER_INTERVAL {
            return;
        }
    }
}

/// Returns whether no other node that is alive holds the lease.
fn has_no_live_holder(node: &Node) -> bool {
    node.state().roster.holder(node.clock.now()).is_none()
}

/// Returns this node as the holder, while its lease is valid.
fn valid_holder(node: &Node) -> Option<Holder> {
    node.state().lease.valid_holder(node.clock.since_boot())
}

async fn step(node: &Arc<Node>, duty: &mut DutyState) {
    let now = node.clock.since_boot();
    let (held, available, holder) = {
        let lease = &node.state().lease;
        (lease.is_held(), lease.is_available(now), lease.holder())
    };
    let fence = held.then(|| holder.map(|(_, fence)| fence)).flatten();
    if duty.fence != fence {
        info!(node.log, "duties"; "holding" => held, "fence" => fence, "before" => duty.fence);
        duty.fence = fence;
        duty.held_since = fence.map(|_| now);
        node.state().scaler.reset();
    }
    if let Some(fence) = fence {
        let due = duty.sent_at.is_none_or(|sent| sent + RENEW_INTERVAL <= now);
        if due {
            append(node, duty, |number| DutyRecord::Renew { fence, number }).await;
        }
        let timeout = node.state().roster.failure_timeout();
        // Gives the other nodes time to report their counts to the new holder.
        let reports_received = duty.held_since.is_some_and(|at| at + timeout <= now);
        if node.settings.reports_usage && reports_received {
            report_usage(node, duty).await;
        }
        if reports_received {
            duty.rollouts
                .step(node, || valid_holder(node).is_some())
                .await;
        }
        if node.settings.orders_endpoints {
            order_endpoints(node).await;
        }
    } else if available && node.is_ready() {
        let wall = node.wall_time();
        let lost_before = node.state().lease.lost_before(wall);
        let take = |number| DutyRecord::Take {
            node: Arc::clone(&node.settings.node),
            incarnation: node.incarnation,
            number,
            lost_before,
        };
        append(node, duty, take).await;
    }
}

/// Reads new records of the topic, without waiting for any.
async fn catch_up(node: &Node, duty: &mut DutyState) -> Result<(), Error> {
    loop {
        // Only the holder appends, so it reads only when the outcome of an append is unknown.
        let (held, era, next) = {
            let lease = &node.state().lease;
            (lease.is_held(), lease.era(), lease.next())
        };
        if held && !duty.outcome_unknown {
            return Ok(());
        }
        let reply = node.store.read(Topic::Duties, next, Millis::ZERO).await?;
        let page = node.accept(Topic::Duties, reply)?;
        if node.state().lease.era() != era {
            // The offset belongs to the earlier era.
            continue;
        }
        match page {
            // The topic ends before this offset. Another read would not get any further.
            Page::Expired { first } if first <= next => {
                return Err(Error::not_run(
                    ErrorKind::Unavailable,
                    format!("the topic has no record {next}, but earlier ones"),
                ));
            }
            Page::Expired { first } => node.state().lease.skip_to(first),
            Page::Records { records, .. } => {
                let more = !records.is_empty();
                for record in records {
                    apply_record(
                        node,
                        record.offset,
                        record.value.as_deref().unwrap_or_default(),
                    );
                }
                if !more {
                    node.state().lease.mark_caught_up();
                    duty.outcome_unknown = false;
                    return Ok(());
                }
            }
        }
    }
}

fn apply_record(node: &Node, offset: u64, value: &[u8]) {
    match serde_json::from_slice::<DutyEntry>(value) {
        Ok(entry) => node
            .state()
            .lease
            .apply(offset, entry, node.clock.since_boot()),
        Err(error) => {
            warn!(node.log, "invalid duty record"; "offset" => offset, "reason" => %error);
            node.state().lease.skip_to(offset + 1);
        }
    }
}

/// Appends the record that `make_record` returns for its number at the end of the topic; returns
/// whether it was stored.
async fn append<F>(node: &Node, duty: &mut DutyState, make_record: F) -> bool
where
    F: FnOnce(u64) -> DutyRecord,
{
    let sent_at = node.clock.since_boot();
    let (era, at, number) = {
        let lease = &mut node.state().lease;
        (lease.era(), lease.next(), lease.begin_append(sent_at))
    };
    let entry = DutyEntry {
        era: Some(era),
        record: make_record(number),
    };
    let value = encode(&entry);
    duty.sent_at = Some(sent_at);
    let reply = node.store.append(Topic::Duties, Some(at), &value).await;
    match reply.and_then(|reply| node.accept(Topic::Duties, reply)) {
        Ok(Append::Stored { offset }) => {
            let lease = &mut node.state().lease;
            let counts = lease.era() == era;
            if counts {
                lease.apply(offset, entry, sent_at);
            }
            duty.outcome_unknown |= !counts;
            counts
        }
        Ok(Append::Conflict { end }) => {
            info!(node.log, "duty record rejected: unexpected end of topic"; "at" => at,
                "end" => end);
            duty.outcome_unknown = true;
            false
        }
        Err(error) => {
            info!(node.log, "appending a duty record failed"; "at" => at, "reason" => %error);
            duty.outcome_unknown = true;
            false
        }
    }
}

fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    serde_json::to_vec(value).expect("duty records have string keys only")
}

/// Reports the windows that are due.
async fn report_usage(node: &Arc<Node>, duty: &mut DutyState) {
    let length = node.settings.usage_window.0.max(1);
    let wall = node.wall_time();
    let first_open = (wall - COUNTS_DELAY).0 / length;
    let oldest = node.settings.oldest_open_window(wall);
    for window in oldest..first_open {
        if duty.reported.contains(&window) || is_skipped(node, duty, window, length) {
            continue;
        }
        if !report_window(node, duty, window).await {
            return;
        }
    }
    duty.reported = duty.reported.split_off(&oldest);
}

/// Returns whether a window is not reported. An earlier holder may have reported it, with totals that
/// were lost with a restore of the store, and a second report must not differ.
fn is_skipped(node: &Node, duty: &mut DutyState, window: u64, length: u64) -> bool {
    let committed_at = Millis((window + 1) * length) + COUNTS_DELAY;
    let earliest = Millis(committed_at.0.saturating_sub(WALL_TOLERANCE.0));
    let skipped = node.state().lease.has_unknown_totals(window, earliest);
    if skipped {
        warn!(node.log, "usage not reported: totals may be lost"; "window" => window);
        duty.reported.insert(window);
    }
    skipped
}

/// Commits the totals of a window to the store, then reports them; returns whether the platform
/// accepted the report.
async fn report_window(node: &Arc<Node>, duty: &mut DutyState, window: u64) -> bool {
    let committed = node.state().lease.totals(window).cloned();
    let totals = match committed {
        Some(totals) => totals,
        None => match commit_totals(node, duty, window).await {
            Some(totals) => totals,
            None => return false,
        },
    };
    let Some(holder) = valid_holder(node) else {
        return false;
    };
    match node.cloud.usage(&holder, window, &totals).await {
        Ok(()) => {
            info!(node.log, "usage reported"; "window" => window, "fence" => holder.fence,
                "requests" => totals.values().sum::<u64>());
            duty.reported.insert(window);
            true
        }
        Err(error) => {
            warn!(node.log, "usage report failed"; "window" => window, "reason" => %error);
            false
        }
    }
}

async fn commit_totals(node: &Arc<Node>, duty: &mut DutyState, window: u64) -> Option<Totals> {
    let holder = valid_holder(node)?;
    let totals = node.usage_in(window);
    let usage = |number| DutyRecord::Usage {
        fence: holder.fence,
        window,
        counts: totals.clone(),
        number,
    };
    append(node, duty, usage).await.then_some(totals)
}

/// Orders endpoints for each service that is scaled.
async fn order_endpoints(node: &Arc<Node>) {
    let Some(active) = node.active.load_full() else {
        return;
    };
    for service in active.config.services() {
        if let Some(scale) = &service.scale {
            for placement in decide_orders(node, &service.name, scale) {
                place_order(node, placement).await;
            }
        }
    }
}

/// Decides on the orders for a service.
fn decide_orders(node: &Node, service: &Arc<str>, scale: &Scale) -> Vec<Placement> {
    let now = node.clock.now();
    let wall = node.wall_time();
    let state = &mut *node.state();
    let scale = &scale.without(|domain| state.fleet.evacuations.is_evacuated(domain));
    let demand = state.demand_of(service, now);
    let slots = state
        .fleet
        .ready(service)
        .map(|(_, e)| e.registration.slots);
    let slots = slots.min().unwrap_or(1);
    let (versions, on_trial) = state.rollouts.capacity_versions(service, wall);
    let capacity = |versions| Scaler::ready_capacity(&state.fleet, service, versions, scale);
    let present = capacity(&versions);
    let on_trial = on_trial.as_ref().map(capacity).unwrap_or_default();
    let orders = state
        .scaler
        .decide(service, scale, slots, &present, demand, now);
    let orders = Scaler::beside_trial(orders, scale, &present, &on_trial);
    if !orders.is_empty() {
        info!(node.log, "orders"; "service" => &**service, "busy" => demand.busy,
            "running" => demand.running, "prefill_ms" => state.fleet.profiles.get(service).prefill_ms(1_000),
            "present" => ?present);
    }
    orders
}

/// Places an order with the cloud, if the lease of this node is valid.
async fn place_order(node: &Node, placement: Placement) {
    let Some(holder) = valid_holder(node) else {
        return;
    };
    let count = placement.total();
    let order = placement.order;
    let outcome = node.cloud.scale(&holder, &order, count).await;
    let refused = !matches!(outcome, Ok(OrderOutcome::Accepted));
    info!(node.log, "order"; "service" => &*order.service, "domain" => &*order.domain,
    "spot" => order.spot, "count" => count, "fence" => holder.fence,
    "outcome" => outcome.map_or_else(|error| error.to_string(), |outcome| {
        format!("{outcome:?}")
    }));
    let now = node.clock.now();
    node.state()
        .scaler
        .record_order(order, placement.count, refused, now);
}
