//! An endpoint that is leaving gets no new work at any node within 3 s of the first signal.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::endpoint::{Host, Load, State, Table};
use almondpath::membership::Notice;
use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::harness::{ACCOUNT_TOKEN, Cluster, eventually};

const NODES: usize = 3;

/// Time from the first signal to the last new dispatch.
const BOUND: Duration = Duration::from_secs(3);

/// Time for which calls go on after the bound.
const AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Signal {
    Notice,
    HostList,
    Report,
}

/// Sends a call through one node, and returns its key.
async fn call(cluster: &Cluster, node: usize) -> String {
    let key = Uuid::now_v7().to_string();
    let mut request = cluster
        .http
        .request(
            Method::POST,
            cluster.nodes[node].listen,
            "/v1/routes/balance",
            Bytes::from_static(b"{}"),
        )
        .expect("a valid request");
    let headers = request.headers_mut();
    let token = format!("Bearer {ACCOUNT_TOKEN}");
    headers.insert("authorization", token.parse().expect("a header"));
    headers.insert("idempotency-key", key.parse().expect("a header"));
    let response = cluster.http.send(request).await.expect("the node answers");
    assert!(response.status().is_success());
    key
}

/// Returns the keys that the first plain service has executed.
async fn executed(cluster: &Cluster) -> BTreeSet<String> {
    let counts: Value = cluster
        .http
        .get_json(cluster.plains[0].address, "/executions")
        .await
        .expect("the service answers");
    counts
        .as_object()
        .expect("an object")
        .keys()
        .cloned()
        .collect()
}

async fn send(cluster: &Cluster, signal: Signal) {
    match signal {
        Signal::Notice => cluster.put_notices(&["host-0"]).await,
        Signal::HostList => {
            let mut hosts = cluster.hosts();
            hosts[0].state = State::Leaving;
            cluster.put_hosts(&hosts).await;
        }
        Signal::Report => {
            let address = cluster.plains[0].address;
            cluster.set_faults(address, json!({"leaving": true})).await;
        }
    }
}

/// Guards against an endpoint that gets work after it announced that it is leaving, at a node that
/// did not see the signal itself or could not read the log.
#[tokio::test(flavor = "multi_thread")]
async fn no_new_dispatch_after_the_bound() {
    // The other sources are down, so that each signal has to suffice alone.
    let cases = [
        (Signal::Notice, json!({"hosts_down": true})),
        (Signal::HostList, json!({"notices_down": true})),
        (Signal::Report, json!({"down": true})),
    ];
    let runs = cases.map(|(signal, faults)| async move {
        let cluster = Cluster::start(NODES, 0, 2).await;
        for node in 0..NODES {
            eventually("each node uses the endpoint", async || {
                let key = call(&cluster, node).await;
                executed(&cluster).await.contains(&key)
            })
            .await;
        }
        let log = cluster.log.address;
        cluster.set_faults(log, json!({"down": true})).await;
        cluster.set_faults(cluster.platform.address, faults).await;
        send(&cluster, signal).await;
        let signalled = Instant::now();
        let mut calls = Vec::new();
        while signalled.elapsed() < BOUND + AFTER {
            for node in 0..NODES {
                let at = signalled.elapsed();
                calls.push((at, node, call(&cluster, node).await));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let executed = executed(&cluster).await;
        for node in 0..NODES {
            let dispatched = calls
                .iter()
                .filter(|(_, n, key)| *n == node && executed.contains(key));
            let last = dispatched.map(|(at, _, _)| *at).max();
            println!("{signal:?}, node {node}: last dispatch after {last:?}");
            assert!(
                last.is_none_or(|at| at < BOUND),
                "{signal:?}, node {node}: {last:?}"
            );
        }
    });
    futures::future::join_all(runs).await;
}

fn host(state: State) -> Host {
    Host {
        host: "h".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        service: "s".into(),
        version: "v1".into(),
        state,
        price: 1.0,
    }
}

fn load(incarnation: u64, leaving: bool) -> Load {
    Load {
        incarnation,
        leaving,
        ..Load::default()
    }
}

/// One thing that a node learns about the endpoint, and whether it may get work afterwards.
enum Step {
    List(State, bool),
    Absent,
    Report(u64, bool, bool),
    Notice(u64, bool),
}

/// Guards against a mark that is taken back by a lagging host list, or that outlives the process
/// that it is about.
#[test]
fn a_mark_lasts_as_long_as_the_process() {
    use Step::{Absent, List, Notice as Told, Report};
    let live = State::Live;
    let cases = [
        (
            "list says leaving, then live again",
            vec![
                Report(1, false, true),
                List(State::Leaving, false),
                List(live, false),
                Report(1, false, false),
            ],
        ),
        (
            "a new process serves again",
            vec![
                Report(1, false, true),
                Told(1, false),
                Report(2, false, true),
                Told(1, true),
            ],
        ),
        (
            "the host disappears and comes back",
            vec![
                Report(1, false, true),
                Told(1, false),
                Absent,
                List(live, true),
                Report(1, false, false),
            ],
        ),
        (
            "a notice before the process is known",
            vec![
                Told(0, false),
                Report(1, false, false),
                Report(2, false, true),
            ],
        ),
        (
            "a notice before the host is known",
            vec![
                Absent,
                Told(0, false),
                List(live, false),
                Report(1, false, false),
            ],
        ),
        (
            "a notice about another process",
            vec![
                Report(1, false, true),
                Told(7, true),
                Report(7, false, false),
            ],
        ),
        (
            "its own report, taken back",
            vec![Report(1, true, false), Report(1, false, false)],
        ),
        (
            "listed as leaving after a restart",
            vec![
                List(State::Leaving, false),
                Report(1, false, false),
                Report(2, false, false),
            ],
        ),
    ];
    for (name, steps) in cases {
        let mut table = Table::default();
        table.update(vec![host(live)]);
        for (index, step) in steps.into_iter().enumerate() {
            let key = table.iter().next().map(|(key, _)| key);
            let available = match step {
                List(state, available) => {
                    table.update(vec![host(state)]);
                    available
                }
                Absent => {
                    table.update(Vec::new());
                    false
                }
                Report(incarnation, leaving, available) => {
                    table.apply_load(key.expect("listed"), load(incarnation, leaving), Millis(1));
                    available
                }
                Told(incarnation, available) => {
                    table.apply_notice(&Notice {
                        host: "h".into(),
                        incarnation,
                    });
                    available
                }
            };
            assert_eq!(
                table.available("s").count() == 1,
                available,
                "{name}, step {index}"
            );
        }
    }
}
