//! Cost of non-idempotent calls: appends, added latency, and the fold of the calls stream.
//!
//! `cargo bench --bench calls` prints tables in Markdown. The argument `fold` or `log` runs one
//! part only.

use std::sync::Arc;
use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::ledger::{Action, Blob, Digest, Fold, Key, Order, Outcome, Part, horizon};
use almondpath::log::Offset;
use almondpath::log::writer::{self, Stamp};
use almondpath::standin::LogStats;
use hdrhistogram::Histogram;

#[allow(dead_code, reason = "written for the tests")]
#[path = "../tests/integration/call_harness.rs"]
mod call_harness;
#[allow(dead_code, reason = "written for the tests")]
#[path = "../tests/integration/harness.rs"]
mod harness;

use call_harness::{fresh, post};
use harness::{ACCOUNT_TOKEN, Cluster};

/// Length of one run.
const RUN: Duration = Duration::from_secs(5);

const NODES: [usize; 3] = [1, 3, 8];
const CALLS_PER_S: [u32; 3] = [20, 100, 400];
const ENTRIES: [u64; 3] = [10_000, 50_000, 125_000];

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Size of a small stored response in bytes.
const RESPONSE: usize = 64;

fn main() {
    let skipped = |part| std::env::args().any(|arg| arg == part);
    if !skipped("log") {
        fold();
    }
    if !skipped("fold") {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(log());
    }
}

/// Prints cost per record and memory per entry of finished calls.
fn fold() {
    println!(
        "| entries | apply, ns/record | RSS, bytes/entry | checkpoint, ns/entry | checkpoint, bytes/entry | restore, ns/entry |"
    );
    println!("|---|---|---|---|---|---|");
    let mut kept = Vec::new();
    for entries in ENTRIES {
        let texts: Vec<Arc<str>> = (0..entries).flat_map(records).collect();
        let before = resident();
        let started = Instant::now();
        let mut fold = Fold::default();
        for (offset, text) in (0..).zip(&texts) {
            fold.apply(Offset(offset), text);
        }
        let applied = started.elapsed();
        let bytes = resident().saturating_sub(before);
        assert_eq!(fold.len() as u64, entries);
        let started = Instant::now();
        let parts: Vec<Arc<str>> = Part::split(&fold)
            .into_iter()
            .map(|part| Action::Checkpoint(Box::new(part)).stamp(key(1), Millis(1)))
            .collect();
        let split = started.elapsed();
        let size: usize = parts.iter().map(|text| text.len()).sum();
        let started = Instant::now();
        let restored = parts.iter().map(|text| {
            match serde_json::from_str::<almondpath::ledger::Record>(text).map(|r| r.action) {
                Ok(Action::Checkpoint(part)) => *part,
                other => panic!("not a checkpoint: {other:?}"),
            }
        });
        let restored = Fold::restore(restored);
        let restore = started.elapsed();
        assert_eq!(restored, fold);
        println!(
            "| {entries} | {} | {} | {} | {} | {} |",
            applied.as_nanos() / texts.len() as u128,
            bytes / entries,
            split.as_nanos() / u128::from(entries),
            size as u64 / entries,
            restore.as_nanos() / u128::from(entries),
        );
        // Kept, so that the memory of one size is not reused for the next.
        kept.push((fold, texts));
    }
}

fn key(sequence: u64) -> writer::Key {
    let incarnation = 1;
    writer::Key {
        incarnation,
        sequence,
    }
}

/// The three records of one finished call.
fn records(index: u64) -> [Arc<str>; 3] {
    let now = Millis(1_900_000_000_000);
    let id = Key::new(now, index << 2);
    let digest = Digest::of("demo", "payout", &index.to_be_bytes());
    let order = Order {
        account: "demo".into(),
        route: "payout".into(),
        deadline: now,
        body: Some(Blob(vec![7; RESPONSE].into())),
    };
    let accept = Action::Accept {
        key: id,
        digest,
        order: Box::new(order),
        horizon: horizon(now, Millis(600_000)),
    };
    let endpoint = "host-0".into();
    let dispatch = Action::Dispatch {
        key: id,
        digest,
        endpoint,
    };
    let finish = Action::Finish {
        key: id,
        dispatch: 3 * index + 2,
        outcome: Outcome::Answered {
            status: 200,
            content_type: Some("application/json".into()),
            body: Some(Blob(vec![7; RESPONSE].into())),
        },
    };
    let first = 3 * index + 1;
    [
        accept.stamp(key(first), now),
        dispatch.stamp(key(first + 1), now),
        finish.stamp(key(first + 2), now),
    ]
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("procfs");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("a number of pages") * 4_096
}

/// Prints appends and latency for each number of nodes and each rate.
async fn log() {
    println!(
        "| nodes | offered calls/s | done | appends/s | records/append | call p50/p95/p99, ms | idempotent p50/p95/p99, ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for nodes in NODES {
        let cluster = Arc::new(Cluster::start(nodes, 0, 2).await);
        cluster.await_calls().await;
        for rate in CALLS_PER_S {
            let before = stats(&cluster).await;
            let (done, calls) = offer(&cluster, rate, true).await;
            let after = stats(&cluster).await;
            let (_, plain) = offer(&cluster, rate, false).await;
            let appends = after.appends - before.appends;
            let records = after.records - before.records;
            println!(
                "| {nodes} | {rate} | {done} | {:.0} | {:.1} | {} | {} |",
                appends as f64 / RUN.as_secs_f64(),
                records as f64 / appends.max(1) as f64,
                quantiles(&calls),
                quantiles(&plain),
            );
        }
    }
}

async fn stats(cluster: &Cluster) -> LogStats {
    let read = cluster.http.get_json(cluster.log.address, "/stats");
    read.await.expect("the log service answers")
}

/// Offers calls at a fixed rate to the nodes in turn; returns how many were answered and the
/// times in microseconds.
async fn offer(cluster: &Arc<Cluster>, rate: u32, call: bool) -> (usize, Histogram<u64>) {
    let mut interval = tokio::time::interval(Duration::from_secs(1) / rate);
    let count = rate as usize * RUN.as_secs() as usize;
    let mut tasks = Vec::with_capacity(count);
    for index in 0..count {
        interval.tick().await;
        let cluster = Arc::clone(cluster);
        let node = index % cluster.nodes.len();
        tasks.push(tokio::spawn(async move {
            let started = Instant::now();
            let ran = if call {
                fresh().send(&cluster, node).await.ran()
            } else {
                let address = cluster.nodes[node].listen;
                let headers = [("authorization", format!("Bearer {ACCOUNT_TOKEN}"))];
                post(&cluster, address, "balance", &headers, "{}")
                    .await
                    .ran()
            };
            ran.then(|| started.elapsed().as_micros())
        }));
    }
    let mut times = Histogram::new_with_max(MAX_MICROS, 3).expect("valid bounds");
    let mut done = 0;
    for task in tasks {
        if let Some(micros) = task.await.expect("the task ends") {
            times.saturating_record(u64::try_from(micros).unwrap_or(u64::MAX));
            done += 1;
        }
    }
    (done, times)
}

fn quantiles(times: &Histogram<u64>) -> String {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    format!("{:.1} / {:.1} / {:.1}", at(0.5), at(0.95), at(0.99))
}
