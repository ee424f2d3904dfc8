//! A leaving endpoint gets no new request from any node later than 3 s after the first signal.

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

/// Maximum time from the first signal to the last new dispatch.
const MAX_DISPATCH_DELAY: Duration = Duration::from_secs(3);

/// Time for which calls continue after [`MAX_DISPATCH_DELAY`].
const OBSERVATION_TIME: Duration = Duration::from_secs(1);

/// How nodes learn that an endpoint is leaving.
#[derive(Clone, Copy, Debug)]
enum Signal {
    /// A reclaim notice of the cloud.
    Notice,
    /// The state in the host list.
    HostList,
    /// The endpoint's load report.
    Report,
}

/// Sends a call to a node and returns the call's idempotency key.
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
    let response = cluster.http.send(request).await.expect("the node responds");
    assert!(response.status().is_success());
    key
}

/// Returns the keys of the calls that the first plain service has executed.
async fn executed(cluster: &Cluster) -> BTreeSet<String> {
    let counts: Value = cluster
        .http
        .get_json(cluster.plains[0].address, "/executions")
        .await
        .expect("the service responds");
    counts
        .as_object()
        .expect("an object")
        .keys()
        .cloned()
        .collect()
}

/// Signals that the first plain service is leaving.
async fn send_signal(cluster: &Cluster, signal: Signal) {
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

/// Guards against requests to an endpoint that is leaving, from a node that did not receive the
/// signal itself or cannot read the log.
#[tokio::test(flavor = "multi_thread")]
async fn no_new_dispatch_3_s_after_a_signal() {
    // Other sources are down, so that each signal has to be sufficient by itself.
    let cases = [
        (Signal::Notice, json!({"hosts_down": true})),
        (Signal::HostList, json!({"notices_down": true})),
        (Signal::Report, json!({"down": true})),
    ];
    let runs = cases.map(|(signal, faults)| async move {
        let cluster = Cluster::start(NODES, 0, 2).await;
        for node in 0..NODES {
            eventually("the node uses the endpoint", async || {
                let key = call(&cluster, node).await;
                executed(&cluster).await.contains(&key)
            })
            .await;
        }
        let log = cluster.log.address;
        cluster.set_faults(log, json!({"down": true})).await;
        cluster.set_faults(cluster.platform.address, faults).await;
        send_signal(&cluster, signal).await;
        let signaled_at = Instant::now();
        let mut calls = Vec::new();
        while signaled_at.elapsed() < MAX_DISPATCH_DELAY + OBSERVATION_TIME {
            for node in 0..NODES {
                let at = signaled_at.elapsed();
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
                last.is_none_or(|at| at < MAX_DISPATCH_DELAY),
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

/// An update about the endpoint, and whether the endpoint is available after it.
enum Step {
    /// The host list contains the host in this state.
    List(State, bool),
    /// The host list does not contain the host.
    Absent,
    /// A load report of the process with this incarnation says whether it is leaving.
    Report(u64, bool, bool),
    /// A notice says that the process with this incarnation is leaving; 0 if it is unknown.
    Notice(u64, bool),
}

/// Guards against a leaving endpoint that becomes available again because of a lagging host list,
/// and against a new process at the endpoint that is still considered leaving.
#[test]
fn an_endpoint_is_leaving_until_its_process_ends() {
    use Step::{Absent, List, Notice as Notified, Report};
    let live = State::Live;
    let cases = [
        (
            "the host list says leaving, then live again",
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
                Notified(1, false),
                Report(2, false, true),
                Notified(1, true),
            ],
        ),
        (
            "the host disappears and comes back",
            vec![
                Report(1, false, true),
                Notified(1, false),
                Absent,
                List(live, true),
                Report(1, false, false),
            ],
        ),
        (
            "a notice before the process is known",
            vec![
                Notified(0, false),
                Report(1, false, false),
                Report(2, false, true),
            ],
        ),
        (
            "a notice before the host is known",
            vec![
                Absent,
                Notified(0, false),
                List(live, false),
                Report(1, false, false),
            ],
        ),
        (
            "a notice about another process",
            vec![
                Report(1, false, true),
                Notified(7, true),
                Report(7, false, false),
            ],
        ),
        (
            "its own report says leaving, then not leaving",
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
                Notified(incarnation, available) => {
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
