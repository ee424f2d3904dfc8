//! Second attempts of slow idempotent calls, and what they cost.

use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::retry::{Latencies, Occupancy};
use bytes::Bytes;
use hyper::Method;
use serde_json::json;

use crate::call_harness::{new_contribution, post};
use crate::harness::{ACCOUNT_TOKEN, Cluster, Node, OPERATOR_TOKEN, eventually};

/// Calls that each node gets in a measurement, and how many of them are under way at once.
const CALLS: usize = 800;
const CALLERS: usize = 4;

async fn balance(cluster: &Cluster, node: usize) -> bool {
    let headers = [("authorization", format!("Bearer {ACCOUNT_TOKEN}"))];
    let address = cluster.nodes[node].listen;
    post(cluster, address, "balance", &headers, "{}")
        .await
        .is_success()
}

/// Returns the value of a counter of a node, 0 before it was counted first.
async fn counter(cluster: &Cluster, node: &Node, name: &str) -> u64 {
    let http = &cluster.http;
    let mut request = http
        .request(Method::GET, node.admin, "/metrics", Bytes::new())
        .expect("a valid request");
    let token = format!("Bearer {OPERATOR_TOKEN}");
    let token = token.parse().expect("a valid header");
    request.headers_mut().insert("authorization", token);
    let response = http.send(request).await.expect("the node answers");
    let body = http.body(response).await.expect("the whole answer");
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.map_or(0, |value| value.parse().expect("a count"))
}

/// Sends calls to both nodes in turn and returns the sorted latencies of each in milliseconds.
async fn measure(cluster: &Cluster) -> [Vec<f64>; 2] {
    let caller = async |_| {
        let mut took = [Vec::new(), Vec::new()];
        for _ in 0..CALLS / CALLERS {
            for (node, took) in took.iter_mut().enumerate() {
                let started = Instant::now();
                assert!(balance(cluster, node).await);
                took.push(started.elapsed().as_secs_f64() * 1_000.0);
            }
        }
        took
    };
    let all = futures::future::join_all((0..CALLERS).map(caller)).await;
    let mut merged = [Vec::new(), Vec::new()];
    for [plain, hedged] in all {
        merged[0].extend(plain);
        merged[1].extend(hedged);
    }
    merged
        .iter_mut()
        .for_each(|took| took.sort_by(f64::total_cmp));
    merged
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    sorted[((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1]
}

/// Guards against a tail that one slow endpoint gives to all calls, and against hedges beyond the
/// budget. Node 0 does not hedge, node 1 does.
#[tokio::test(flavor = "multi_thread")]
async fn the_tail_of_idempotent_calls_is_cut_within_the_budget() {
    let mut cluster = Cluster::start_with(1, 0, 3, "hedge_calls: false\n").await;
    cluster.add_node(cluster.log.address);
    cluster.await_ready(&cluster.nodes[1]).await;
    for node in [0, 1] {
        for _ in 0..40 {
            eventually("a call is answered", async || balance(&cluster, node).await).await;
        }
    }
    let slow = json!({ "slow_every": 10, "slow_ms": 500 });
    cluster.set_faults(cluster.plains[0].address, slow).await;
    let before = counter(&cluster, &cluster.nodes[1], "almondpath_hedges_total").await;
    let took = measure(&cluster).await;
    let hedges = counter(&cluster, &cluster.nodes[1], "almondpath_hedges_total").await - before;
    let won = counter(&cluster, &cluster.nodes[1], "almondpath_hedges_won_total").await;
    for (name, took) in [("no hedges", &took[0]), ("hedges", &took[1])] {
        let [p50, p95, p99] = [0.5, 0.95, 0.99].map(|share| quantile(took, share));
        println!("{name}: p50 {p50:.1} ms, p95 {p95:.1} ms, p99 {p99:.1} ms");
    }
    println!("hedges {hedges} of {CALLS} calls, {won} won");
    assert!(quantile(&took[0], 0.99) >= 400.0, "the fault did not show");
    assert!(quantile(&took[1], 0.99) < 250.0, "the tail is not cut");
    assert!((1..=CALLS as u64 / 10 + 2).contains(&hedges), "{hedges}");
    let without = &cluster.nodes[0];
    assert_eq!(
        counter(&cluster, without, "almondpath_hedges_total").await,
        0
    );
}

/// Guards against a non-idempotent call that is hedged because it is slow.
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
        let answers = calls.iter().map(|call| call.send(&cluster, 0));
        let answers = futures::future::join_all(answers).await;
        assert!(
            answers.iter().all(|answer| answer.is_success()),
            "{answers:?}"
        );
        for call in &calls {
            assert_eq!(cluster.executions(&call.key).await, 1);
        }
    }
    let hedges = counter(&cluster, &cluster.nodes[0], "almondpath_hedges_total").await;
    assert_eq!(hedges, 0);
}

/// Guards against a call that stays counted at its endpoint after its caller has gone, as a hedge
/// that lost would too: the endpoint would seem loaded for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_call_is_no_longer_counted() {
    let cluster = Cluster::start(1, 0, 1).await;
    eventually("a call is answered", async || balance(&cluster, 0).await).await;
    let slow = json!({ "delay_ms": 3_000 });
    cluster.set_faults(cluster.plains[0].address, slow).await;
    let in_flight = async || {
        let dump = cluster.dump(&cluster.nodes[0]).await.unwrap_or_default();
        dump["endpoints"][0]["in_flight"].as_u64()
    };
    let gone = tokio::time::timeout(Duration::from_millis(300), balance(&cluster, 0)).await;
    assert!(gone.is_err());
    eventually("the call is no longer counted", async || {
        in_flight().await == Some(0)
    })
    .await;
}

/// Guards against hedges that make an overload worse.
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

/// Guards against a delay from too few latencies, and against one that each hedge shortens.
#[test]
fn the_delay_is_the_95th_percentile() {
    let of = |samples: &[(usize, u64)]| {
        let mut latencies = Latencies::default();
        for &(count, took) in samples {
            (0..count).for_each(|_| latencies.record(Millis(took)));
        }
        latencies.slow_threshold()
    };
    assert_eq!(of(&[(19, 100)]), None);
    assert_eq!(of(&[(20, 100)]), Some(Millis(100)));
    assert_eq!(of(&[(20, 1)]), Some(Millis(10)), "the lower bound");
    // The percentile is renewed after 20 latencies and then after each 16 more; 256 are kept.
    assert_eq!(of(&[(260, 50), (16, 800)]), Some(Millis(800)));
    assert_eq!(of(&[(268, 50), (8, 800)]), Some(Millis(50)));
    // A cancelled attempt counts with the delay after which it was hedged, or more.
    assert_eq!(of(&[(250, 50), (26, 90)]), Some(Millis(90)));
}
