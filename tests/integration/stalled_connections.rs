//! Connections that stall without being closed, while new connections work.

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

/// Time that the engine test double takes to generate the tokens, with slack for a busy machine.
const GENERATION_TIME: Duration = Duration::from_millis(1_500 + 3_000);

/// Time without data after which the caller opens a new connection; the client's default.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time without data after which a node opens a new connection to an engine; the default of
/// `stall_ms`.
const ENGINE_STALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Guards against a caller that waits forever on a connection that is open but stalled.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_abandons_a_stalled_connection() {
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
    assert!(relay.accepted() > before, "a new connection was opened");
    let time_limit = GENERATION_TIME + CALLER_STALL_TIMEOUT;
    assert!(
        started.elapsed() < time_limit,
        "took {:?}",
        started.elapsed()
    );
}

struct EngineCase {
    name: &'static str,
    /// Whether the relay freezes the connections; otherwise the engine stops writing to them.
    relayed: bool,
    /// Tokens received when the connections stall; `None` if they stall before the request.
    after: Option<usize>,
}

/// Guards against an engine that counts as failed because some connections to it have stalled, with
/// all its streams recomputed.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_abandons_stalled_connections_and_keeps_the_engine() {
    let cases = [
        EngineCase {
            name: "frozen by the relay, mid-stream",
            relayed: true,
            after: Some(20),
        },
        EngineCase {
            name: "frozen by the relay, before the request",
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
        // With only one engine, no other engine can take over its streams.
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
        let elapsed = started.elapsed();
        assert!(
            elapsed < GENERATION_TIME + ENGINE_STALL_TIMEOUT,
            "{}: {elapsed:?}",
            case.name
        );
        for metric in [
            "almondpath_recomputed_tokens_total",
            "almondpath_attempt_failures_total",
        ] {
            let value = cluster.metric(&[0], metric).await;
            assert_eq!(value, 0.0, "{}: {metric}", case.name);
        }
    }
}

/// Time within which a call completes although every connection to the log has stalled, with slack
/// for a busy machine. An append times out after 2 s at each of the two nodes, the caller retries
/// at the other node 250 ms later, and by then the first node has new connections.
const MAX_CALL_TIME: Duration = Duration::from_millis(2 * (2_000 + 250) + 2_500);

/// Time within which a configuration must be active on all nodes.
const MAX_CONFIG_TIME: Duration = Duration::from_secs(8);

/// Guards against nodes that wait on stalled connections to the log, and against a call that is
/// recorded and sent again because its first append got no response.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_abandon_stalled_connections_to_the_log() {
    struct Case {
        name: &'static str,
        /// Delay of the log's response to each request.
        log_ms: u64,
        /// Time from the start of the call until the connections stall; `None` if they stall before
        /// the call.
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
        let (stalled_at, response) = tokio::join!(stall, call_after);
        let elapsed = stalled_at.elapsed();
        assert!(response.is_success(), "{}: {response:?}", case.name);
        assert!(
            elapsed < MAX_CALL_TIME,
            "{}: the call took {elapsed:?}",
            case.name
        );
        assert_eq!(cluster.executions(&call.key).await, 1, "{}", case.name);

        // The new connections stall as well, just before a configuration is published.
        relays.iter().for_each(|relay| relay.set(Mode::FreezeOld));
        let published_at = Instant::now();
        cluster.publish("examples/dev/config.yaml").await;
        let page = log.read("control", Offset(0), 10_000, Millis::ZERO).await;
        let records = page.expect("the log responds").records;
        let published = records
            .iter()
            .rev()
            .find(|entry| entry.data.contains("publish"))
            .expect("the published configuration is in the log")
            .offset;
        for node in &cluster.nodes {
            loop {
                let dump = cluster.dump(node).await.unwrap_or_default();
                let elapsed = published_at.elapsed();
                if dump["active"]["version"].as_u64() == Some(published.0) {
                    println!("{}: active after {elapsed:?}", case.name);
                    break;
                }
                assert!(
                    elapsed < MAX_CONFIG_TIME,
                    "{}: {}",
                    case.name,
                    dump["active"]
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        println!("{}: the call took {elapsed:?}", case.name);
        for (relay, before) in relays.iter().zip(before) {
            // A node may receive the configuration from the other node before its own read times
            // out.
            eventually("the node reads over a new connection", async || {
                relay.accepted() > before
            })
            .await;
        }
    }
}

/// Starts a server whose address responses contain only `address`.
async fn directory(address: SocketAddr) -> SocketAddr {
    let body = json!({
        "addresses": [{ "address": address, "domain": "a" }],
        "ttl_ms": 2_000,
    });
    let filter = warp::path!("v1" / "addresses")
        .map(move || warp::reply::json(&body))
        .recover(|_| async { Ok::<_, Infallible>("") });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let listen = listener.local_addr().expect("a bound address");
    tokio::spawn(transport::Server::new(listener).run(filter, CancellationToken::new()));
    listen
}
