//! Hedges of slow idempotent calls: their effect on the tail latency, and their cost.

use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::retry::{Latencies, Occupancy};
use bytes::Bytes;
use hyper::Method;
use serde_json::json;

use crate::call_harness::{new_contribution, post};
use crate::harness::{ACCOUNT_TOKEN, Cluster, Node, OPERATOR_TOKEN, eventually};

/// Calls that each node gets in a measurement.
const CALLS_PER_NODE: usize = 800;

/// Callers that share these calls, each with one call in flight.
const CONCURRENT_CALLERS: usize = 4;

/// Calls the idempotent route `balance` and returns whether the call succeeded.
async fn call_balance(cluster: &Cluster, node: usize) -> bool {
    let headers = [("authorization", format!("Bearer {ACCOUNT_TOKEN}"))];
    let address = cluster.nodes[node].listen;
    post(cluster, address, "balance", &headers, "{}")
        .await
        .is_success()
}

/// Returns the value of a node's counter, or 0 before its first increment.
async fn counter(cluster: &Cluster, node: &Node, name: &str) -> u64 {
    let http = &cluster.http;
    let mut request = http
        .request(Method::GET, node.admin, "/metrics", Bytes::new())
        .expect("a valid request");
    let token = format!("Bearer {OPERATOR_TOKEN}");
    let token = token.parse().expect("a valid header");
    request.headers_mut().insert("authorization", token);
    let response = http.send(request).await.expect("the node responds");
    let body = http.body(response).await.expect("the whole response");
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.map_or(0, |value| value.parse().expect("a count"))
}

/// Sends calls to both nodes in turn and returns the sorted latencies of each node in milliseconds.
async fn measure_latencies(cluster: &Cluster) -> [Vec<f64>; 2] {
    let caller = async |_| {
        let mut latencies = [Vec::new(), Vec::new()];
        for _ in 0..CALLS_PER_NODE / CONCURRENT_CALLERS {
            for (node, latencies) in latencies.iter_mut().enumerate() {
                let started = Instant::now();
                assert!(call_balance(cluster, node).await);
                latencies.push(started.elapsed().as_secs_f64() * 1_000.0);
            }
        }
        latencies
    };
    let all = futures::future::join_all((0..CONCURRENT_CALLERS).map(caller)).await;
    let mut merged = [Vec::new(), Vec::new()];
    for [plain, hedged] in all {
        merged[0].extend(plain);
        merged[1].extend(hedged);
    }
    merged
        .iter_mut()
        .for_each(|latencies| latencies.sort_by(f64::total_cmp));
    merged
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    sorted[((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1]
}

/// Guards against one slow endpoint that determines the tail latency of all calls, and against more
/// hedges than the retry budget allows. Node 0 does not hedge, node 1 does.
#[tokio::test(flavor = "multi_thread")]
async fn the_tail_of_idempotent_calls_is_cut_within_the_budget() {
    let mut cluster = Cluster::start_with(1, 0, 3, "hedge_calls: false\n").await;
    cluster.add_node(cluster.log.address);
    cluster.await_ready(&cluster.nodes[1]).await;
    for node in [0, 1] {
        for _ in 0..40 {
            eventually("a call succeeds", async || {
                call_balance(&cluster, node).await
            })
            .await;
        }
    }
    // An odd period: two nodes that call in turn would each time leave an even one to the same node.
    let slow = json!({ "slow_every": 9, "slow_ms": 500 });
    cluster.set_faults(cluster.plains[0].address, slow).await;
    let before = counter(&cluster, &cluster.nodes[1], "almondpath_hedges_total").await;
    let latencies = measure_latencies(&cluster).await;
    let hedges = counter(&cluster, &cluster.nodes[1], "almondpath_hedges_total").await - before;
    let won = counter(&cluster, &cluster.nodes[1], "almondpath_hedges_won_total").await;
    for (name, latencies) in [("no hedges", &latencies[0]), ("hedges", &latencies[1])] {
        let [p50, p95, p99] = [0.5, 0.95, 0.99].map(|share| quantile(latencies, share));
        println!("{name}: p50 {p50:.1} ms, p95 {p95:.1} ms, p99 {p99:.1} ms");
    }
    println!("hedges {hedges} of {CALLS_PER_NODE} calls, {won} won");
    assert!(
        quantile(&latencies[0], 0.99) >= 400.0,
        "the fault had no effect"
    );
    assert!(quantile(&latencies[1], 0.99) < 250.0, "the tail is not cut");
    assert!(
        (1..=CALLS_PER_NODE as u64 / 10 + 2).contains(&hedges),
        "{hedges}"
    );
    let without = &cluster.nodes[0];
    assert_eq!(
        counter(&cluster, without, "almondpath_hedges_total").await,
        0
    );
}

/// Guards against a hedge of a slow non-idempotent call, which would execute it twice.
#[tokio::test(flavor = "multi_thread")]
async fn slow_non_idempotent_calls_execute_once() {
    let cluster = Cluster::start(1, 0, 3).await;
    cluster.await_calls_ready().await;
    for plain in &cluster.plains {
        let slow = json!({ "slow_every": 4, "slow_ms": 400 });
        cluster.set_faults(plain.address, slow).await;
    }
    for _ in 0..5 {
        let calls: Vec<_> = (0..16).map(|_| new_contribution()).collect();
        let responses = calls.iter().map(|call| call.send(&cluster, 0));
        let responses = futures::future::join_all(responses).await;
        assert!(
            responses.iter().all(|response| response.is_success()),
            "{responses:?}"
        );
        for call in &calls {
            assert_eq!(cluster.executions(&call.key).await, 1);
        }
    }
    let hedges = counter(&cluster, &cluster.nodes[0], "almondpath_hedges_total").await;
    assert_eq!(hedges, 0);
}

/// Guards against a call that remains counted at its endpoint after it was cancelled because its
/// caller disconnected; the same would happen to a hedge that was not the first to complete. The
/// endpoint would appear loaded forever.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_call_is_no_longer_counted() {
    let cluster = Cluster::start(1, 0, 1).await;
    eventually("a call succeeds", async || call_balance(&cluster, 0).await).await;
    let slow = json!({ "delay_ms": 3_000 });
    cluster.set_faults(cluster.plains[0].address, slow).await;
    let in_flight = async || {
        let dump = cluster.dump(&cluster.nodes[0]).await.unwrap_or_default();
        dump["endpoints"][0]["in_flight"].as_u64()
    };
    let cancelled =
        tokio::time::timeout(Duration::from_millis(300), call_balance(&cluster, 0)).await;
    assert!(cancelled.is_err());
    eventually("the call is no longer counted", async || {
        in_flight().await == Some(0)
    })
    .await;
}

/// Guards against hedges that increase the load of endpoints that are already overloaded.
#[test]
fn hedges_need_half_of_the_slots() {
    struct Case {
        name: &'static str,
        occupancy: Occupancy,
        allowed: bool,
    }
    let occupancy = |queued, free, slots| Occupancy {
        queued,
        free,
        slots,
    };
    let cases = [
        Case {
            name: "idle",
            occupancy: occupancy(0, 64, 64),
            allowed: true,
        },
        Case {
            name: "half of the slots are taken",
            occupancy: occupancy(0, 32, 64),
            allowed: true,
        },
        Case {
            name: "more than half are taken",
            occupancy: occupancy(0, 31, 64),
            allowed: false,
        },
        Case {
            name: "a first attempt waits",
            occupancy: occupancy(1, 64, 64),
            allowed: false,
        },
        Case {
            name: "no endpoint",
            occupancy: occupancy(0, 0, 0),
            allowed: false,
        },
    ];
    for case in cases {
        assert_eq!(case.occupancy.allows_hedge(), case.allowed, "{}", case.name);
    }
}

/// Guards against a hedging delay that is computed from too few latencies, and against one that
/// each hedge shortens.
#[test]
fn the_delay_is_the_95th_percentile() {
    let slow_threshold = |samples: &[(usize, u64)]| {
        let mut latencies = Latencies::default();
        for &(count, latency) in samples {
            (0..count).for_each(|_| latencies.record(Millis(latency)));
        }
        latencies.slow_threshold()
    };
    assert_eq!(slow_threshold(&[(19, 100)]), None);
    assert_eq!(slow_threshold(&[(20, 100)]), Some(Millis(100)));
    assert_eq!(
        slow_threshold(&[(20, 1)]),
        Some(Millis(10)),
        "the lower bound"
    );
    // The percentile is computed after 20 latencies and then after every 16 more; 256 are kept.
    assert_eq!(slow_threshold(&[(260, 50), (16, 800)]), Some(Millis(800)));
    assert_eq!(slow_threshold(&[(268, 50), (8, 800)]), Some(Millis(50)));
    // A cancelled attempt is recorded with the time until its cancellation, at least the hedging
    // delay.
    assert_eq!(slow_threshold(&[(250, 50), (26, 90)]), Some(Millis(90)));
}
