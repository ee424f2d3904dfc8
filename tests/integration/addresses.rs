//! Address responses: the nodes that callers are directed to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use almondpath::addressing::{Candidate, rank};
use serde_json::Value;

use crate::harness::{Cluster, Node, eventually};

/// Time within which a leaving node must have disappeared from all address responses.
const MAX_REMOVAL_TIME: Duration = Duration::from_secs(3);

fn candidates(weights: &[u8]) -> Vec<Candidate> {
    let nodes = (0_u16..).zip(weights);
    nodes
        .map(|(index, weight)| Candidate {
            name: format!("n{index}").into(),
            address: ([127, 0, 0, 1], 7_000 + index).into(),
            domain: ["a", "b", "c"][usize::from(index) % 3].into(),
            weight: *weight,
        })
        .collect()
}

/// Guards against an uneven distribution of callers over nodes, and against callers whose addresses
/// are all in one failure domain, which may fail.
#[test]
fn callers_spread_by_weight_and_over_domains() {
    let all = candidates(&[255, 255, 255, 255, 128, 0]);
    let mut first: BTreeMap<_, f64> = BTreeMap::new();
    for key in 0..20_000 {
        let ranked = rank(all.clone(), key);
        *first.entry(ranked[0].name.clone()).or_default() += 1.0 / 20_000.0;
        let domains: BTreeSet<_> = ranked.iter().take(3).map(|c| &c.domain).collect();
        assert_eq!(domains.len(), 3, "key {key}");
        assert_eq!(
            ranked,
            rank(all.iter().rev().cloned().collect(), key),
            "key {key}"
        );
    }
    let share_per_weight = 1.0 / 4.5;
    for (name, weight) in [("n0", 1.0), ("n3", 1.0), ("n4", 0.5), ("n5", 0.0)] {
        let share = first.get(name).copied().unwrap_or(0.0);
        assert!(
            (share - weight * share_per_weight).abs() < 0.02,
            "{name}: {share}"
        );
    }
}

/// Guards against sessions that move to another node while their own node is still available.
#[test]
fn a_session_stays_when_another_node_goes() {
    let all = candidates(&[255; 6]);
    for key in 0..1_000 {
        let before = rank(all.clone(), key);
        for gone in &all {
            let remaining = all.iter().filter(|c| *c != gone).cloned().collect();
            if before[0] != *gone {
                assert_eq!(rank(remaining, key)[0], before[0], "key {key}");
            }
        }
    }
}

async fn addresses(cluster: &Cluster, node: &Node, session: &str) -> Option<Vec<String>> {
    let path = format!("/v1/addresses?session={session}");
    let body: Value = cluster.http.get_json(node.listen, &path).await.ok()?;
    assert_eq!(body["ttl_ms"], 2_000);
    let list = body["addresses"].as_array()?;
    list.iter()
        .map(|a| Some(a["address"].as_str()?.to_owned()))
        .collect()
}

/// Guards against callers that are directed to a node after it has announced that it is leaving,
/// and against nodes that direct the same session to different nodes.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_node_is_in_no_response() {
    let mut cluster = Cluster::start(6, 0, 0).await;
    eventually("all nodes agree about a session", async || {
        let mut responses = BTreeSet::new();
        for node in &cluster.nodes {
            responses.insert(addresses(&cluster, node, "s1").await);
        }
        responses.len() == 1
            && responses
                .first()
                .is_some_and(|r| r.as_ref().is_some_and(|r| r.len() == 4))
    })
    .await;
    // One node leaves because of a reclaim notice, another one because of SIGTERM.
    cluster.put_notices(&["node-1"]).await;
    cluster.nodes[2].process.signal(libc::SIGTERM);
    let signalled = Instant::now();
    let leaving = [
        cluster.nodes[1].listen.to_string(),
        cluster.nodes[2].listen.to_string(),
    ];
    let mut last_listed = Duration::ZERO;
    while signalled.elapsed() < MAX_REMOVAL_TIME + Duration::from_secs(1) {
        let at = signalled.elapsed();
        for (index, node) in cluster.nodes.iter().enumerate() {
            let response = addresses(&cluster, node, &format!("s{}", at.as_millis())).await;
            let Some(response) = response else {
                assert!([1, 2].contains(&index), "node {index} does not respond");
                continue;
            };
            assert!(!response.is_empty());
            if response.iter().any(|address| leaving.contains(address)) {
                last_listed = at;
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("last response with a leaving node after {last_listed:?}");
    assert!(last_listed < MAX_REMOVAL_TIME, "{last_listed:?}");
    assert!(cluster.nodes[2].process.wait().await);
}
