//! Connections that stall without being closed, while new ones work.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use almondpath::client::Client;
use almondpath::clock::Millis;
use almondpath::log::{self, Offset, Service as _};
use almondpath::transport;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use warp::Filter;

use crate::at_most_once::call_until_final;
use crate::call_harness::new_contribution;
use crate::harness::{ACCOUNT_TOKEN, Cluster, eventually};
use crate::relay::{Mode, Relay};
use crate::streaming::Streaming;

const TOKENS: usize = 150;

/// Time that the tokens take at the engine test double's pace, and the slack of a busy machine.
const GENERATION: Duration = Duration::from_millis(1_500 + 3_000);

/// Silence after which the caller opens a fresh connection, its default.
const CALLER_BOUND: Duration = Duration::from_millis(3_000);

/// Silence after which a node opens a fresh connection to an engine, the default of `stall_ms`.
const ENGINE_BOUND: Duration = Duration::from_millis(2_000);

/// Guards against a caller that waits for ever on a connection that is open but dead.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_leaves_a_stalled_connection() {
    let cluster = Cluster::start(1, 1, 0).await;
    let relay = Relay::start(cluster.nodes[0].listen).await;
    let directory = directory(relay.address).await;
    let caller = Client::new(vec![directory], ACCOUNT_TOKEN.into());
    let started = Instant::now();
    let streaming = Streaming::start(caller, "stalled caller", TOKENS);
    streaming.wait_for_pieces(20).await;
    let before = relay.accepted();
    relay.set(Mode::FreezeOld);
    streaming.assert_complete("stalled caller").await;
    assert!(relay.accepted() > before, "a fresh connection was made");
    let bound = GENERATION + CALLER_BOUND;
    assert!(started.elapsed() < bound, "took {:?}", started.elapsed());
}

struct EngineCase {
    name: &'static str,
    /// Whether the relay freezes the connections, or the engine stops to write to them.
    relayed: bool,
    /// Tokens received when the connections stall; none means before the request.
    after: Option<usize>,
}

/// Guards against an engine that counts as failed, with all its streams computed again, because
/// some connections to it stalled.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_leaves_stalled_connections_and_keeps_the_engine() {
    let cases = [
        EngineCase {
            name: "frozen in between, mid-stream",
            relayed: true,
            after: Some(20),
        },
        EngineCase {
            name: "frozen in between, before the request",
            relayed: true,
            after: None,
        },
        EngineCase {
            name: "silent engine, mid-stream",
            relayed: false,
            after: Some(20),
        },
    ];
    for case in cases {
        // One engine only: another one can't make up for it.
        let cluster = Cluster::start(1, 1, 0).await;
        let engine = cluster.engines[0].address;
        let relay = Relay::start(engine).await;
        let mut hosts = cluster.hosts();
        hosts[0].address = relay.address;
        cluster.put_hosts(&hosts).await;
        Streaming::start(cluster.client(&[0]), "warm-up", 1)
            .assert_complete("warm-up")
            .await;
        // The node reads the host list twice a second.
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        if case.after.is_none() {
            relay.set(Mode::FreezeOld);
        }
        let started = Instant::now();
        let streaming = Streaming::start(cluster.client(&[0]), case.name, TOKENS);
        if let Some(after) = case.after {
            streaming.wait_for_pieces(after).await;
            if case.relayed {
                relay.set(Mode::FreezeOld);
            } else {
                let faults = json!({ "stall_connections": true });
                cluster.set_faults(engine, faults).await;
            }
        }
        streaming.assert_complete(case.name).await;
        let took = started.elapsed();
        assert!(took < GENERATION + ENGINE_BOUND, "{}: {took:?}", case.name);
        for metric in [
            "almondpath_recomputed_tokens_total",
            "almondpath_attempt_failures_total",
        ] {
            let value = cluster.metric(&[0], metric).await;
            assert_eq!(value, 0.0, "{}: {metric}", case.name);
        }
    }
}

/// Time within which a call is answered although every connection to the log has stalled, and the
/// slack of a busy machine. Each of two nodes gives an append up after 2 s, the caller asks the
/// other one 250 ms later, and by then the first one has new connections.
const LOG_BOUND: Duration = Duration::from_millis(2 * (2_000 + 250) + 2_500);

/// Time within which a configuration is active everywhere.
const CONFIG_BOUND: Duration = Duration::from_secs(8);

/// Guards against nodes that wait on dead connections to the log, and against a call that is
/// recorded and sent again because its first append got no response.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_leave_stalled_connections_to_the_log() {
    struct Case {
        name: &'static str,
        /// Time that the log takes for each request.
        log_ms: u64,
        /// Time from the start of the call until the connections stall; none means before.
        after_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "before the call",
            log_ms: 0,
            after_ms: None,
        },
        Case {
            name: "append on its way to the log",
            log_ms: 400,
            after_ms: Some(100),
        },
        Case {
            name: "again, before the call",
            log_ms: 0,
            after_ms: None,
        },
    ];
    let mut cluster = Cluster::start(0, 0, 1).await;
    let mut relays = Vec::new();
    for _ in 0..2 {
        let relay = Relay::start(cluster.log.address).await;
        cluster.add_node(relay.address);
        relays.push(relay);
    }
    for node in &cluster.nodes {
        cluster.await_ready(node).await;
    }
    let log = log::Client::new(cluster.log.address);
    for case in cases {
        cluster.await_calls_ready().await;
        let faults = json!({ "delay_ms": case.log_ms });
        cluster.set_faults(cluster.log.address, faults).await;
        let before: Vec<_> = relays.iter().map(Relay::accepted).collect();
        let stall = async {
            tokio::time::sleep(Duration::from_millis(case.after_ms.unwrap_or(0))).await;
            relays.iter().for_each(|relay| relay.set(Mode::FreezeOld));
            cluster.set_faults(cluster.log.address, json!({})).await;
            Instant::now()
        };
        let call = new_contribution();
        let call_after = async {
            if case.after_ms.is_none() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            call_until_final(&cluster, &call, &[0, 1]).await
        };
        let (stalled_at, answer) = tokio::join!(stall, call_after);
        let took = stalled_at.elapsed();
        assert!(answer.is_success(), "{}: {answer:?}", case.name);
        assert!(took < LOG_BOUND, "{}: the call took {took:?}", case.name);
        assert_eq!(cluster.executions(&call.key).await, 1, "{}", case.name);

        // Also on connections that have stalled just now.
        relays.iter().for_each(|relay| relay.set(Mode::FreezeOld));
        let published_at = Instant::now();
        cluster.publish("examples/dev/config.yaml").await;
        let end = log.read("control", Offset(0), 10_000, Millis::ZERO).await;
        let published = end.expect("the log answers").records;
        let published = published
            .iter()
            .rev()
            .find(|entry| entry.data.contains("publish"))
            .expect("the publication is in the log")
            .offset;
        for node in &cluster.nodes {
            loop {
                let dump = cluster.dump(node).await.unwrap_or_default();
                let took = published_at.elapsed();
                if dump["active"]["version"].as_u64() == Some(published.0) {
                    println!("{}: active after {took:?}", case.name);
                    break;
                }
                assert!(took < CONFIG_BOUND, "{}: {}", case.name, dump["active"]);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        println!("{}: the call took {took:?}", case.name);
        for (relay, before) in relays.iter().zip(before) {
            // A node may have learned the configuration from the other one before its own read
            // is given up.
            eventually("the node reads over a new connection", async || {
                relay.accepted() > before
            })
            .await;
        }
    }
}

/// Serves address responses that name one address.
async fn directory(address: SocketAddr) -> SocketAddr {
    let body = json!({
        "addresses": [{ "address": address, "domain": "a" }],
        "ttl_ms": 2_000,
    });
    let filter = warp::path!("v1" / "addresses")
        .map(move || warp::reply::json(&body))
        .recover(|_| async { Ok::<_, Infallible>("") });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let bound = listener.local_addr().expect("a bound address");
    tokio::spawn(transport::Server::new(listener).run(filter, CancellationToken::new()));
    bound
}
