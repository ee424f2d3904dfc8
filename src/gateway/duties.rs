use std::sync::Arc;

use serde::Serialize;
use slog::{info, warn};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::error::Error;

use super::lease::{DutyRecord, Totals};
use super::scaler::Scaler;
use super::{Append, Holder, Node, Order, OrderOutcome, Page, Scale, Topic};

/// Time between two steps of the holder.
const STEP: Millis = Millis(250);

/// Time between two reads of a node that does not hold the lease.
const FOLLOW: Millis = Millis(500);

/// As [`FOLLOW`], while a node that is heard performs the duties: its records are read then only so
/// that few are left to read when it is lost.
const FOLLOW_HOLDER: Millis = Millis(5_000);

/// Time between two renewals.
const RENEW: Millis = Millis(1_000);

/// Time after the end of a window until its counts have arrived from all nodes.
const COUNTS_SETTLE: Millis = Millis(2_500);

/// What the holder keeps beside the lease.
#[derive(Default)]
struct Work {
    /// When the last record was sent.
    sent: Option<Millis>,
    /// Whether it is unknown if that record was stored.
    unknown: bool,
    /// Windows whose report the platform has taken.
    reported: std::collections::BTreeSet<u64>,
    /// The fence that is held, and since when.
    fence: Option<u64>,
    since: Option<Millis>,
}

/// Takes part in the lease of the duties, and performs them while it holds it.
///
/// # Errors
///
/// Never fails; a store that is away is waited for.
pub(super) async fn run(node: Arc<Node>) -> eyre::Result<()> {
    let mut work = Work::default();
    loop {
        let own = node.state().lease.is_own();
        if node.leaving.is_cancelled() {
            if own && let Some(holder) = acting(&node) {
                let fence = holder.fence;
                append(&node, &mut work, |_| DutyRecord::Release { fence }).await;
            }
            return Ok(());
        }
        if !own && !node.is_reader() {
            sleep(FOLLOW.into()).await;
            continue;
        }
        if let Err(error) = read(&node, &mut work).await {
            slog::debug!(node.log, "duties not read"; "reason" => %error);
            sleep(STEP.into()).await;
            continue;
        }
        step(&node, &mut work).await;
        let own = node.state().lease.is_own();
        tokio::select! {
            () = pause(&node, own) => {}
            () = node.leaving.cancelled() => {}
        }
    }
}

/// Waits until the next step of a node that holds the lease (`own`) or not.
async fn pause(node: &Node, own: bool) {
    if own {
        return sleep(STEP.into()).await;
    }
    let begun = node.clock.now();
    loop {
        sleep(FOLLOW.into()).await;
        if is_vacant(node) || node.clock.now() - begun >= FOLLOW_HOLDER {
            return;
        }
    }
}

/// Returns whether no node that is heard performs the duties.
fn is_vacant(node: &Node) -> bool {
    node.state().roster.holder(node.clock.now()).is_none()
}

/// Returns the holder to act as, if this node may act right now.
fn acting(node: &Node) -> Option<Holder> {
    node.state().lease.acting(node.clock.boot())
}

async fn step(node: &Arc<Node>, work: &mut Work) {
    let now = node.clock.boot();
    let (own, free, held) = {
        let lease = &node.state().lease;
        (lease.is_own(), lease.is_free(now), lease.holder())
    };
    let fence = own.then(|| held.map(|(_, fence)| fence)).flatten();
    if work.fence != fence {
        info!(node.log, "duties"; "holding" => own, "fence" => fence, "before" => work.fence);
        work.fence = fence;
        work.since = fence.map(|_| now);
        node.state().scaler.reset();
    }
    if let Some(fence) = fence {
        let due = work.sent.is_none_or(|sent| sent + RENEW <= now);
        if due {
            append(node, work, |number| DutyRecord::Renew { fence, number }).await;
        }
        let wait = node.state().roster.failure_timeout();
        let told = work.since.is_some_and(|at| at + wait <= now);
        if node.settings.reports_usage && told {
            report(node, work).await;
        }
        if node.settings.orders_endpoints {
            order(node).await;
        }
    } else if free && node.is_ready() {
        let take = |number| DutyRecord::Take {
            node: Arc::clone(&node.settings.node),
            incarnation: node.incarnation,
            number,
        };
        append(node, work, take).await;
    }
}

/// Reads the records that were added, without waiting.
async fn read(node: &Node, work: &mut Work) -> Result<(), Error> {
    loop {
        // The holder alone appends, so that it only reads when it is unsure.
        let (own, next) = {
            let lease = &node.state().lease;
            (lease.is_own(), lease.next())
        };
        if own && !work.unknown {
            return Ok(());
        }
        match node.store.read(Topic::Duties, next, Millis::ZERO).await? {
            Page::Expired { first } => node.state().lease.skip_to(first),
            Page::Records { records, .. } => {
                let more = !records.is_empty();
                for record in records {
                    take_in(
                        node,
                        record.offset,
                        record.value.as_deref().unwrap_or_default(),
                    );
                }
                if !more {
                    node.state().lease.at_end();
                    work.unknown = false;
                    return Ok(());
                }
            }
        }
    }
}

fn take_in(node: &Node, offset: u64, value: &[u8]) {
    match serde_json::from_slice::<DutyRecord>(value) {
        Ok(entry) => node.state().lease.read(offset, entry, node.clock.boot()),
        Err(error) => {
            warn!(node.log, "duty record not readable"; "offset" => offset, "reason" => %error);
            node.state().lease.skip_to(offset + 1);
        }
    }
}

/// Appends the record that `make` returns for its number where the topic ends; returns whether it is
/// stored.
async fn append<F>(node: &Node, work: &mut Work, make: F) -> bool
where
    F: FnOnce(u64) -> DutyRecord,
{
    let sent = node.clock.boot();
    let (at, number) = {
        let lease = &mut node.state().lease;
        (lease.next(), lease.send(sent))
    };
    let entry = make(number);
    let value = encode(&entry);
    work.sent = Some(sent);
    match node.store.append(Topic::Duties, Some(at), &value).await {
        Ok(Append::Stored { offset }) => {
            node.state().lease.read(offset, entry, sent);
            true
        }
        Ok(Append::Conflict { end }) => {
            info!(node.log, "duty record refused"; "at" => at, "end" => end);
            work.unknown = true;
            false
        }
        Err(error) => {
            info!(node.log, "duty record not stored"; "at" => at, "reason" => %error);
            work.unknown = true;
            false
        }
    }
}

fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    serde_json::to_vec(value).expect("records have string keys only")
}

/// Reports the windows that are due.
async fn report(node: &Arc<Node>, work: &mut Work) {
    let length = node.settings.usage_window.0.max(1);
    let wall = node.wall().0;
    let settled = wall.saturating_sub(COUNTS_SETTLE.0) / length;
    let oldest = wall.saturating_sub(node.settings.usage_report_deadline.0) / length;
    for window in oldest..settled {
        if work.reported.contains(&window) {
            continue;
        }
        if !report_window(node, work, window).await {
            return;
        }
    }
    work.reported = work.reported.split_off(&oldest);
    node.state().usage.forget_before(oldest);
}

/// Fixes the counts of a window in the store, then sends them; returns whether the platform took
/// them.
async fn report_window(node: &Arc<Node>, work: &mut Work, window: u64) -> bool {
    let known = node.state().lease.fixed(window).cloned();
    let counts = match known {
        Some(counts) => counts,
        None => match fix(node, work, window).await {
            Some(counts) => counts,
            None => return false,
        },
    };
    let Some(holder) = acting(node) else {
        return false;
    };
    match node.cloud.usage(&holder, window, &counts).await {
        Ok(()) => {
            info!(node.log, "usage reported"; "window" => window, "fence" => holder.fence,
                "requests" => counts.values().sum::<u64>());
            work.reported.insert(window);
            true
        }
        Err(error) => {
            warn!(node.log, "usage not reported"; "window" => window, "reason" => %error);
            false
        }
    }
}

async fn fix(node: &Arc<Node>, work: &mut Work, window: u64) -> Option<Totals> {
    let holder = acting(node)?;
    let counts = node.usage_of(window);
    let usage = |number| DutyRecord::Usage {
        fence: holder.fence,
        window,
        counts: counts.clone(),
        number,
    };
    append(node, work, usage).await.then_some(counts)
}

/// Orders endpoints for each service whose number may be chosen.
async fn order(node: &Arc<Node>) {
    let Some(active) = node.active.load_full() else {
        return;
    };
    for service in active.config.services() {
        if let Some(scale) = &service.scale {
            for (order, count) in orders(node, &service.name, scale) {
                give(node, order, count).await;
            }
        }
    }
}

/// Decides on the orders for a service.
fn orders(node: &Node, service: &Arc<str>, scale: &Scale) -> Vec<(Order, u32)> {
    let now = node.clock.now();
    let state = &mut *node.state();
    let demand = state.demand_of(service, now);
    let slots = state
        .fleet
        .ready(service)
        .map(|(_, e)| e.registration.slots);
    let slots = slots.min().unwrap_or(1);
    let present = Scaler::ready_capacity(&state.fleet, service, scale);
    let orders = state
        .scaler
        .decide(service, scale, slots, &present, demand, now);
    if !orders.is_empty() {
        info!(node.log, "orders"; "service" => &**service, "busy" => demand.busy,
            "running" => demand.running, "speed" => state.meter.prefill_speed(service), "present" => ?present);
    }
    orders
}

/// Gives an order, if this node may act right now.
async fn give(node: &Node, order: Order, count: u32) {
    let Some(holder) = acting(node) else {
        return;
    };
    let given = node.cloud.scale(&holder, &order, count).await;
    let refused = !matches!(given, Ok(OrderOutcome::Accepted));
    info!(node.log, "order"; "service" => &*order.service, "domain" => &*order.domain,
        "spot" => order.spot, "count" => count, "fence" => holder.fence,
        "outcome" => given.map_or_else(|error| error.to_string(), |given| format!("{given:?}")));
    let now = node.clock.now();
    node.state().scaler.record_order(order, count, refused, now);
}
