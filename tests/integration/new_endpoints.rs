//! Requests that arrive right after a node has discovered endpoints.

use std::net::SocketAddr;

use almondpath::endpoint::{Host, Key, State, Table};
use futures::future::join_all;
use hyper::Method;
use serde_json::json;

use crate::harness::{ACCOUNT_TOKEN, Cluster, eventually, start_double};

/// Nodes of a cluster; each of them discovers the endpoints at a different time.
const NODES: usize = 4;

const ENGINES: usize = 2;

/// Guards against requests that are queued until the next periodic refresh of the policy although
/// the node knows endpoints with free slots.
#[tokio::test(flavor = "multi_thread")]
async fn requests_do_not_wait_for_known_endpoints() {
    struct Case {
        name: &'static str,
        /// Engines that are in the host list before the configuration is published.
        listed_before: usize,
    }
    let cases = [
        Case {
            name: "the host list is read before the configuration",
            listed_before: ENGINES,
        },
        Case {
            name: "the host list is read after the configuration",
            listed_before: 0,
        },
    ];
    for case in cases {
        let mut cluster = Cluster::start(NODES, case.listed_before, 0).await;
        let added = (case.listed_before..ENGINES).map(|_| start_double("engine"));
        cluster.engines.extend(added);
        cluster.await_doubles().await;
        cluster.put_hosts(&cluster.hosts()).await;
        join_all((0..NODES).map(|node| send_when_ready(&cluster, node))).await;
        let nodes: Vec<usize> = (0..NODES).collect();
        let queued = cluster
            .metric(&nodes, "almondpath_requests_queued_total")
            .await;
        assert_eq!(queued, 0.0, "{}", case.name);
    }
}

/// Sends a request to a node as soon as the node knows the engines.
async fn send_when_ready(cluster: &Cluster, node: usize) {
    eventually("the node knows the engines", async || {
        let dump = cluster.dump(&cluster.nodes[node]).await.unwrap_or_default();
        dump["endpoints"].as_array().map_or(0, Vec::len) == ENGINES
    })
    .await;
    let body = json!({ "prompt": format!("node {node}"), "max_tokens": 4 }).to_string();
    // Does not use a `Client`, which may choose a node that has not read the host list yet.
    let mut request = cluster
        .http
        .request(
            Method::POST,
            cluster.nodes[node].listen,
            "/v1/routes/question",
            body.into(),
        )
        .expect("a valid request");
    let token = format!("Bearer {ACCOUNT_TOKEN}");
    let token = token.parse().expect("a valid header");
    request.headers_mut().insert("authorization", token);
    let response = cluster.http.send(request).await.expect("the node responds");
    let body = cluster.http.body(response).await.expect("a whole response");
    let text = String::from_utf8_lossy(&body);
    assert!(text.contains("event:done"), "{text}");
}

/// Guards against a request that is added to the count of one endpoint and subtracted from that of
/// another, when a host changes its service.
#[test]
fn a_host_of_another_service_is_another_endpoint() {
    let host = |service: &str| Host {
        host: "host-0".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "a".into(),
        service: service.into(),
        version: "v1".into(),
        state: State::Live,
        price: 1.0,
    };
    let mut table = Table::default();
    table.update(vec![host("text")]);
    let keys = |table: &Table| -> Vec<Key> { table.iter().map(|(key, _)| key).collect() };
    let text = keys(&table);
    table.update(vec![host("text")]);
    assert_eq!(keys(&table), text);
    table.update(vec![host("ledger")]);
    let ledger = keys(&table);
    assert_eq!(ledger.len(), 1);
    assert_ne!(ledger, text);
    assert_eq!(table.count_request(text[0], true), None);
}
