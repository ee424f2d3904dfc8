//! Latency that a node adds to a call, memory of open streams, and cost of replication, measured
//! with separate processes.
//!
//! `cargo bench --bench streams` starts two nodes in different failure domains and the test
//! doubles, and prints three tables. The arguments `added`, `memory` and `replication` select
//! parts.

use std::time::{Duration, Instant};

use almondpath::endpoint::Generate;
use almondpath::transport;
use futures::StreamExt;
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::json;
use uuid::Uuid;

#[allow(dead_code, reason = "shared with the integration tests")]
#[path = "../tests/integration/harness.rs"]
mod harness;

use harness::{ACCOUNT_TOKEN, Cluster};

/// Parts that can be selected by arguments; all of them run by default.
const PARTS: [&str; 3] = ["added", "memory", "replication"];

/// Number of tokens that a call generates.
const TOKENS_PER_CALL: u32 = 16;

/// Number of calls of each caller to each target.
const CALLS_PER_CALLER: usize = 60;

/// Numbers of concurrent callers.
const CALLER_COUNTS: [usize; 4] = [1, 4, 16, 64];

/// Numbers of open streams at which the memory is measured.
const OPEN_STREAMS: [usize; 4] = [0, 60, 120, 240];

/// Number of engines for the open streams; each has 16 slots, and admission queues further
/// requests.
const MEMORY_ENGINES: usize = 16;

/// Numbers of streams that generate concurrently while the replication is measured.
const REPLICATED_STREAMS: [usize; 6] = [0, 1, 5, 20, 40, 80];

/// Duration of the replication measurement; the streams last longer.
const REPLICATION_WINDOW: Duration = Duration::from_secs(5);

/// Time between two tokens of a stream in milliseconds while the replication is measured.
const TOKEN_INTERVAL_MS: u64 = 50;

/// Size of the prompt of an open stream in bytes.
const PROMPT_BYTES: usize = 2_048;

#[derive(Clone, Copy)]
enum Target {
    Direct,
    Node,
}

/// Latencies of calls in microseconds: until the first token, and in total.
struct Latencies {
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

impl Latencies {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("a valid precision");
        Self {
            first: histogram(),
            whole: histogram(),
        }
    }

    fn add(&mut self, other: &Self) {
        self.first.add(&other.first).expect("the same bounds");
        self.whole.add(&other.whole).expect("the same bounds");
    }
}

fn main() {
    // `cargo test --all-targets` runs benches without `--bench`; there is nothing to test.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let named: Vec<String> = std::env::args()
        .filter(|arg| PARTS.contains(&arg.as_str()))
        .collect();
    let wanted = |part: &str| named.is_empty() || named.iter().any(|name| name == part);
    runtime.block_on(async {
        if wanted("added") {
            added_latency().await;
        }
        if wanted("memory") {
            memory().await;
        }
        if wanted("replication") {
            replication().await;
        }
    });
}

async fn added_latency() {
    let cluster = Cluster::start(2, 8, 0).await;
    for engine in &cluster.engines {
        let faults = json!({ "token_ms": 1, "prefill_ms": 0 });
        cluster.set_faults(engine.address, faults).await;
    }
    println!(
        "| callers | way | first token p50 us | p99 us | whole p50 us | p99 us | calls/s | queued | \
         waited for a core, us/call |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for callers in CALLER_COUNTS {
        let http = transport::Client::new(almondpath::clock::Millis(30_000));
        let before = (queued(&cluster).await, cpu_wait(&cluster));
        let started = Instant::now();
        let tasks: Vec<_> = (0..callers)
            .map(|index| {
                let engine = cluster.engines[index % cluster.engines.len()].address;
                let node = cluster.nodes[index % cluster.nodes.len()].listen;
                tokio::spawn(caller(http.clone(), engine, node))
            })
            .collect();
        let (mut direct, mut node) = (Latencies::new(), Latencies::new());
        for task in tasks {
            let (one, other) = task.await.expect("no panic");
            direct.add(&one);
            node.add(&other);
        }
        let calls = (2 * callers * CALLS_PER_CALLER) as f64 / started.elapsed().as_secs_f64();
        let after = (queued(&cluster).await, cpu_wait(&cluster));
        let waits = |of: fn(CpuWait) -> u64| (of(after.1) - of(before.1)) / 1_000;
        let calls_per_target = (callers * CALLS_PER_CALLER) as u64;
        // Engines serve the calls of both targets.
        let engines = waits(|w| w.engines) / (2 * calls_per_target);
        let rows = [
            ("direct", &direct, 0, engines),
            (
                "node",
                &node,
                after.0 - before.0,
                waits(|w| w.nodes) / calls_per_target + engines,
            ),
        ];
        for (name, times, queued, cpu_wait) in rows {
            println!(
                "| {callers} | {name} | {} | {} | {} | {} | {calls:.0} | {queued} | {cpu_wait} |",
                times.first.value_at_quantile(0.5),
                times.first.value_at_quantile(0.99),
                times.whole.value_at_quantile(0.5),
                times.whole.value_at_quantile(0.99),
            );
        }
        println!(
            "| {callers} | added | {} | {} | {} | {} | | | |",
            difference(&direct.first, &node.first, 0.5),
            difference(&direct.first, &node.first, 0.99),
            difference(&direct.whole, &node.whole, 0.5),
            difference(&direct.whole, &node.whole, 0.99),
        );
    }
}

/// Time that runnable threads waited for a core, in nanoseconds.
#[derive(Clone, Copy)]
struct CpuWait {
    nodes: u64,
    engines: u64,
}

fn cpu_wait(cluster: &Cluster) -> CpuWait {
    let nodes = cluster.nodes.iter().map(|node| node.process.id());
    let engines = cluster.engines.iter().map(|engine| engine.process.id());
    CpuWait {
        nodes: nodes.map(run_delay).sum(),
        engines: engines.map(run_delay).sum(),
    }
}

/// Sums the second field of the kernel's scheduler statistics over the threads of a process.
fn run_delay(process: u32) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{process}/task"));
    threads
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|thread| std::fs::read_to_string(thread.path().join("schedstat")).ok())
        .filter_map(|text| text.split(' ').nth(1)?.parse::<u64>().ok())
        .sum()
}

/// Returns the number of requests that waited for a free slot.
async fn queued(cluster: &Cluster) -> u64 {
    let mut total = 0;
    for node in &cluster.nodes {
        total += metric(cluster, node, "almondpath_requests_queued_total", "").await;
    }
    total
}

fn difference(direct: &Histogram<u64>, node: &Histogram<u64>, quantile: f64) -> i64 {
    let of = |times: &Histogram<u64>| i64::try_from(times.value_at_quantile(quantile)).unwrap_or(0);
    of(node) - of(direct)
}

/// Calls the engine and the node alternately, so that both are measured under the same load.
async fn caller(
    http: transport::Client,
    engine: std::net::SocketAddr,
    node: std::net::SocketAddr,
) -> (Latencies, Latencies) {
    let (mut direct, mut through) = (Latencies::new(), Latencies::new());
    for _ in 0..CALLS_PER_CALLER {
        call(&http, engine, Target::Direct, &mut direct).await;
        call(&http, node, Target::Node, &mut through).await;
    }
    (direct, through)
}

async fn call(
    http: &transport::Client,
    address: std::net::SocketAddr,
    target: Target,
    times: &mut Latencies,
) {
    let prompt = Uuid::new_v4().to_string();
    let (path, body) = match target {
        Target::Direct => {
            let request = Generate {
                request_id: Uuid::new_v4(),
                attempt: 1,
                prompt: prompt.into(),
                generated: Vec::new(),
                max_tokens: TOKENS_PER_CALL,
                priority: 0,
            };
            ("/generate", json!(request))
        }
        Target::Node => (
            "/v1/routes/question",
            json!({ "prompt": prompt, "max_tokens": TOKENS_PER_CALL }),
        ),
    };
    let started = Instant::now();
    let response = post(http, address, path, &body).await;
    let mut events = transport::events(response.into_body());
    let mut first = true;
    while let Some(event) = events.next().await {
        let event = event.expect("the stream is complete");
        assert_ne!(event.name, "error", "{}", event.data);
        if first && matches!(event.name.as_str(), "token" | "chunk") {
            first = false;
            record(&mut times.first, started.elapsed());
        }
    }
    record(&mut times.whole, started.elapsed());
}

async fn post(
    http: &transport::Client,
    address: std::net::SocketAddr,
    path: &str,
    body: &serde_json::Value,
) -> hyper::Response<hyper::body::Incoming> {
    let mut request = http
        .request(Method::POST, address, path, body.to_string().into())
        .expect("a valid request");
    let token = format!("Bearer {ACCOUNT_TOKEN}").parse().expect("a header");
    request.headers_mut().insert("authorization", token);
    let response = http.send(request).await.expect("a response");
    assert!(response.status().is_success(), "{}", response.status());
    response
}

fn record(times: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    times.record(micros).expect("the histogram resizes");
}

/// Opens streams that wait for a token, and prints the memory of the owner and of the node with the
/// copies.
async fn memory() {
    let cluster = Cluster::start(2, MEMORY_ENGINES, 0).await;
    for engine in &cluster.engines {
        let faults = json!({ "token_ms": 10_000, "prefill_ms": 0 });
        cluster.set_faults(engine.address, faults).await;
    }
    let http = transport::Client::new(almondpath::clock::Millis(30_000));
    let body = json!({ "prompt": "x".repeat(PROMPT_BYTES), "max_tokens": 256 });
    let mut open = Vec::new();
    println!("\n| open streams | owner KiB | copies KiB |");
    println!("|---|---|---|");
    for streams in OPEN_STREAMS {
        while open.len() < streams {
            let node = cluster.nodes[0].listen;
            open.push(post(&http, node, "/v1/routes/question", &body).await);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let [owner, copies] = [0, 1].map(|node| resident_kib(cluster.nodes[node].process.id()));
        println!("| {streams} | {owner} | {copies} |");
    }
}

fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Prints the bytes that a node sends to the backup node and its CPU time, while streams generate a
/// token each [`TOKEN_INTERVAL_MS`].
async fn replication() {
    println!("\n| streams | tokens/s | sent to peers B/s | B/token | processor time ms/s |");
    println!("|---|---|---|---|---|");
    let mut idle = None;
    for streams in REPLICATED_STREAMS {
        let cluster = Cluster::start(2, 8, 0).await;
        for engine in &cluster.engines {
            let faults = json!({ "token_ms": TOKEN_INTERVAL_MS, "prefill_ms": 0 });
            cluster.set_faults(engine.address, faults).await;
        }
        let http = transport::Client::new(almondpath::clock::Millis(30_000));
        let body = json!({ "prompt": "x".repeat(PROMPT_BYTES), "max_tokens": 256 });
        let node = &cluster.nodes[0];
        let mut open = Vec::new();
        for _ in 0..streams {
            open.push(post(&http, node.listen, "/v1/routes/question", &body).await);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = (sent_to_peers(&cluster, node).await, cpu_ms(node));
        tokio::time::sleep(REPLICATION_WINDOW).await;
        let after = (sent_to_peers(&cluster, node).await, cpu_ms(node));
        let per_second = |from: u64, to: u64| (to - from) as f64 / REPLICATION_WINDOW.as_secs_f64();
        let tokens = streams as u64 * 1_000 / TOKEN_INTERVAL_MS;
        let sent = per_second(before.0, after.0);
        // The first row has no streams, so its rate is that of the probes alone.
        let idle_rate = *idle.get_or_insert(sent);
        println!(
            "| {streams} | {tokens} | {sent:.0} | {:.1} | {:.1} |",
            (sent - idle_rate) / (tokens as f64).max(1.0),
            per_second(before.1, after.1),
        );
    }
}

async fn sent_to_peers(cluster: &Cluster, node: &harness::Node) -> u64 {
    metric(cluster, node, "almondpath_peer_bytes_total", "sent").await
}

/// Returns the sum of a metric over the label sets that contain `label`.
async fn metric(cluster: &Cluster, node: &harness::Node, name: &str, label: &str) -> u64 {
    let request = cluster
        .http
        .request(Method::GET, node.admin, "/metrics", Default::default())
        .expect("a valid request");
    let response = cluster.http.send(request).await.expect("a response");
    let body = cluster.http.body(response).await.expect("a body");
    let text = String::from_utf8_lossy(&body).into_owned();
    text.lines()
        .filter(|line| line.starts_with(name) && line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Returns the CPU time of a node in milliseconds.
fn cpu_ms(node: &harness::Node) -> u64 {
    /// Length of a clock tick of the kernel's process statistics.
    const TICK_MS: u64 = 10;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.process.id()));
    let stat = stat.unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let times = after_name.split(' ').skip(11).take(2);
    times.filter_map(|t| t.parse::<u64>().ok()).sum::<u64>() * TICK_MS
}
