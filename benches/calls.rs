//! Cost of calls to plain services: log appends and added latency of non-idempotent calls, applying
//! the records of the calls stream, throughput of a node, and selection of a version's endpoints.
//!
//! `cargo bench --bench calls` prints tables in Markdown. The arguments `fold`, `log`, `throughput`
//! and `versions` select parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::endpoint::{Host, Split, State, Table};
use almondpath::ledger::{Action, Blob, Call, Digest, Key, Outcome, Part, Projection, horizon};
use almondpath::log::Offset;
use almondpath::log::writer::{self, Encode};
use almondpath::rollout::{Exposure, Stage};
use almondpath::standin::LogStats;
use almondpath::transport::Client;
use hdrhistogram::Histogram;
use hyper::Method;

#[allow(dead_code, reason = "written for the tests")]
#[path = "../tests/integration/call_harness.rs"]
mod call_harness;
#[allow(dead_code, reason = "written for the tests")]
#[path = "../tests/integration/harness.rs"]
mod harness;

use call_harness::{new_contribution, post};
use harness::{ACCOUNT_TOKEN, Cluster};

/// Duration of one run of calls at a fixed rate.
const RUN_DURATION: Duration = Duration::from_secs(5);

const NODE_COUNTS: [usize; 3] = [1, 3, 8];
const CALLS_PER_S: [u32; 3] = [20, 100, 400];
const ENTRY_COUNTS: [u64; 3] = [10_000, 50_000, 125_000];

/// Maximum recorded latency in microseconds; longer ones count as this.
const MAX_MICROS: u64 = 60_000_000;

/// Size of a small stored response in bytes.
const RESPONSE_BYTES: usize = 64;

/// Parts that can be selected by arguments; all of them run by default.
const PARTS: [&str; 4] = ["fold", "log", "throughput", "versions"];

/// Numbers of concurrent callers, each with one open call, while the throughput is measured.
const CALLER_COUNTS: [usize; 4] = [1, 8, 32, 128];

/// Number of endpoints of the service whose throughput is measured.
const PLAIN_ENDPOINTS: usize = 4;

/// Duration of one throughput measurement, and number of measurements of each target; the targets
/// alternate.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(2);
const MEASUREMENTS_PER_TARGET: usize = 2;

const ENDPOINT_COUNTS: [usize; 3] = [10, 100, 600];

/// Number of selections that are timed for each number of endpoints.
const SELECTIONS: u32 = 20_000;

fn main() {
    let named: Vec<String> = std::env::args()
        .filter(|arg| PARTS.contains(&arg.as_str()))
        .collect();
    let wanted = |part: &str| named.is_empty() || named.iter().any(|name| name == part);
    if wanted("fold") {
        apply_records();
    }
    if wanted("versions") {
        versions();
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    if wanted("throughput") {
        runtime.block_on(throughput());
    }
    if wanted("log") {
        runtime.block_on(log());
    }
}

/// Prints the time to determine the endpoints that are excluded for a request.
fn versions() {
    println!("| endpoints | no rollout, ns | rollout, ns |");
    println!("|---|---|---|");
    for endpoints in ENDPOINT_COUNTS {
        let mut table = Table::default();
        let hosts = (0..endpoints).map(|index| Host {
            host: format!("host-{index}").into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            domain: "a".into(),
            service: "ledger".into(),
            version: if index % 10 == 0 { "v2" } else { "v1" }.into(),
            state: State::Live,
            price: 1.0,
        });
        table.update(hosts.collect());
        let service = "ledger".into();
        let mut time = |new| {
            let old = "v1".into();
            table.set_split(&service, Split { old, new });
            let started = Instant::now();
            for index in 0..SELECTIONS {
                let draw = f64::from(index) / f64::from(SELECTIONS);
                std::hint::black_box(table.excluded(&service, draw));
            }
            started.elapsed().as_nanos() / u128::from(SELECTIONS)
        };
        let exposure = Exposure {
            stage: Some(Stage {
                share: 0.5,
                budget: None,
            }),
            sent: 0,
            suspicion: 0.0,
            nodes: 1,
        };
        let (no_rollout, rollout) = (time(None), time(Some(("v2".into(), exposure))));
        println!("| {endpoints} | {no_rollout} | {rollout} |");
    }
}

/// Prints the throughput of one node for calls to a plain service that responds immediately.
async fn throughput() {
    println!(
        "| callers | way | calls/s | p50 us | p99 us | node, % of a core | node, us of a core/call |"
    );
    println!("|---|---|---|---|---|---|---|");
    let cluster = Arc::new(Cluster::start(1, 0, PLAIN_ENDPOINTS).await);
    for callers in CALLER_COUNTS {
        let mut rows = [Throughput::new("direct"), Throughput::new("node")];
        for _ in 0..MEASUREMENTS_PER_TARGET {
            for row in &mut rows {
                row.measure(&cluster, callers).await;
            }
        }
        for row in rows {
            row.print(callers);
        }
    }
}

/// Throughput and latency of back-to-back calls by several callers.
struct Throughput {
    target: &'static str,
    times: Histogram<u64>,
    elapsed: Duration,
    cpu_time: Duration,
}

impl Throughput {
    fn new(target: &'static str) -> Self {
        Self {
            target,
            times: Histogram::new_with_max(MAX_MICROS, 3).expect("valid bounds"),
            elapsed: Duration::ZERO,
            cpu_time: Duration::ZERO,
        }
    }

    /// Adds one measurement.
    async fn measure(&mut self, cluster: &Arc<Cluster>, callers: usize) {
        let node = &cluster.nodes[0];
        let direct = self.target == "direct";
        let before = cpu_time(node.process.id());
        let started = Instant::now();
        let tasks: Vec<_> = (0..callers)
            .map(|index| {
                let (address, path) = if direct {
                    (
                        cluster.plains[index % PLAIN_ENDPOINTS].address,
                        "/call/balance",
                    )
                } else {
                    (node.listen, "/v1/routes/balance")
                };
                let http = cluster.http.clone();
                tokio::spawn(async move {
                    let mut times = Vec::new();
                    while started.elapsed() < MEASUREMENT_DURATION {
                        let sent = Instant::now();
                        short_call(&http, address, path).await;
                        times.push(sent.elapsed().as_micros());
                    }
                    times
                })
            })
            .collect();
        for task in tasks {
            for micros in task.await.expect("the task ends") {
                self.times
                    .saturating_record(u64::try_from(micros).unwrap_or(u64::MAX));
            }
        }
        self.elapsed += started.elapsed();
        self.cpu_time += cpu_time(node.process.id()) - before;
    }

    fn print(&self, callers: usize) {
        let calls = self.times.len() as f64;
        let seconds = self.elapsed.as_secs_f64();
        let cpu_seconds = self.cpu_time.as_secs_f64();
        println!(
            "| {callers} | {} | {:.0} | {} | {} | {:.1} | {:.0} |",
            self.target,
            calls / seconds,
            self.times.value_at_quantile(0.5),
            self.times.value_at_quantile(0.99),
            cpu_seconds / seconds * 100.0,
            cpu_seconds / calls * 1e6,
        );
    }
}

async fn short_call(http: &Client, address: SocketAddr, path: &str) {
    let mut request = http
        .request(Method::POST, address, path, "{}".into())
        .expect("a valid request");
    let token = format!("Bearer {ACCOUNT_TOKEN}").parse().expect("a header");
    request.headers_mut().insert("authorization", token);
    let response = http.send(request).await.expect("a response");
    assert!(response.status().is_success(), "{}", response.status());
    http.body(response).await.expect("a complete response");
}

/// Returns the CPU time of the threads of a process.
fn cpu_time(process: u32) -> Duration {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).expect("procfs");
    let nanos = threads
        .flatten()
        .filter_map(|thread| std::fs::read_to_string(thread.path().join("schedstat")).ok())
        .filter_map(|text| text.split(' ').next()?.parse::<u64>().ok());
    Duration::from_nanos(nanos.sum())
}

/// Prints the cost per record and the memory per entry of finished calls.
fn apply_records() {
    println!(
        "| entries | apply, ns/record | RSS, bytes/entry | checkpoint, ns/entry | checkpoint, bytes/entry | restore, ns/entry |"
    );
    println!("|---|---|---|---|---|---|");
    let mut kept = Vec::new();
    for entries in ENTRY_COUNTS {
        let texts: Vec<Arc<str>> = (0..entries).flat_map(records).collect();
        let before = resident();
        let started = Instant::now();
        let mut projection = Projection::default();
        for (offset, text) in (0..).zip(&texts) {
            projection.apply(Offset(offset), text);
        }
        let applied = started.elapsed();
        let bytes = resident().saturating_sub(before);
        assert_eq!(projection.len() as u64, entries);
        let started = Instant::now();
        let parts: Vec<Arc<str>> = Part::split(&projection)
            .into_iter()
            .map(|part| Action::Checkpoint(Box::new(part)).encode(key(1), Millis(1)))
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
        let restored = Projection::restore(restored);
        let restore = started.elapsed();
        assert_eq!(restored, projection);
        println!(
            "| {entries} | {} | {} | {} | {} | {} |",
            applied.as_nanos() / texts.len() as u128,
            bytes / entries,
            split.as_nanos() / u128::from(entries),
            size as u64 / entries,
            restore.as_nanos() / u128::from(entries),
        );
        // Not dropped, so that the memory of one size is not reused for the next.
        kept.push((projection, texts));
    }
}

fn key(sequence: u64) -> writer::Key {
    let incarnation = 1;
    writer::Key {
        incarnation,
        sequence,
    }
}

/// Returns the three records of one finished call.
fn records(index: u64) -> [Arc<str>; 3] {
    let now = Millis(1_900_000_000_000);
    let id = Key::new(now, index << 2);
    let digest = Digest::of("demo", "payout", &index.to_be_bytes());
    let call = Call {
        account: "demo".into(),
        route: "payout".into(),
        deadline: now,
        body: Some(Blob(vec![7; RESPONSE_BYTES].into())),
    };
    let accept = Action::Accept {
        key: id,
        digest,
        call: Box::new(call),
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
            body: Some(Blob(vec![7; RESPONSE_BYTES].into())),
        },
    };
    let first = 3 * index + 1;
    [
        accept.encode(key(first), now),
        dispatch.encode(key(first + 1), now),
        finish.encode(key(first + 2), now),
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
    for nodes in NODE_COUNTS {
        let cluster = Arc::new(Cluster::start(nodes, 0, 2).await);
        cluster.await_calls_ready().await;
        for rate in CALLS_PER_S {
            let before = stats(&cluster).await;
            let (done, calls) = offer(&cluster, rate, true).await;
            let after = stats(&cluster).await;
            let (_, idempotent) = offer(&cluster, rate, false).await;
            let appends = after.appends - before.appends;
            let records = after.records - before.records;
            println!(
                "| {nodes} | {rate} | {done} | {:.0} | {:.1} | {} | {} |",
                appends as f64 / RUN_DURATION.as_secs_f64(),
                records as f64 / appends.max(1) as f64,
                quantiles(&calls),
                quantiles(&idempotent),
            );
        }
    }
}

async fn stats(cluster: &Cluster) -> LogStats {
    let read = cluster.http.get_json(cluster.log.address, "/stats");
    read.await.expect("the log service responds")
}

/// Sends calls at a fixed rate to the nodes in turn, and returns the number of successful calls and
/// their latencies in microseconds.
async fn offer(cluster: &Arc<Cluster>, rate: u32, non_idempotent: bool) -> (usize, Histogram<u64>) {
    let mut interval = tokio::time::interval(Duration::from_secs(1) / rate);
    let count = rate as usize * RUN_DURATION.as_secs() as usize;
    let mut tasks = Vec::with_capacity(count);
    for index in 0..count {
        interval.tick().await;
        let cluster = Arc::clone(cluster);
        let node = index % cluster.nodes.len();
        tasks.push(tokio::spawn(async move {
            let started = Instant::now();
            let succeeded = if non_idempotent {
                new_contribution().send(&cluster, node).await.is_success()
            } else {
                let address = cluster.nodes[node].listen;
                let headers = [("authorization", format!("Bearer {ACCOUNT_TOKEN}"))];
                post(&cluster, address, "balance", &headers, "{}")
                    .await
                    .is_success()
            };
            succeeded.then(|| started.elapsed().as_micros())
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
