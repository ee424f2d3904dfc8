//! A store that comes back from an earlier copy: what it acknowledged since is lost, and offsets are
//! given out again.

use std::collections::HashMap;
use std::time::Duration;

use serde_json::json;

use crate::harness::eventually;
use crate::platform::{Behaviour, Content, Deployment, Engine, Request, config};

/// Time after which a restored store has other records at the offsets that were lost.
const LOST_TIME: Duration = Duration::from_secs(4);

/// Time within which an endpoint writes its entry again.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time during which the calls to a restored store are counted.
const COUNTED_TIME: Duration = Duration::from_secs(3);

/// Calls that a node may make to the store per second: a read of each of three topics every 250 ms,
/// and as many again for snapshots, the lease and the node's record.
const MAX_CALLS_PER_NODE_AND_S: usize = 24;

async fn engines() -> Vec<Engine> {
    vec![
        Engine::start("e0", "app", Behaviour::Respond(200, 0)).await,
        Engine::start("e1", "llm", Behaviour::Stream(5, 1)).await,
    ]
}

async fn deployment(gateways: usize) -> Deployment {
    Deployment::start(gateways, engines().await).await
}

/// Guards against a loop of reads from an offset that a restored store does not have.
#[tokio::test]
async fn a_restored_store_is_not_read_without_a_pause() {
    let deployment = deployment(2).await;
    eventually("usage is reported", async || {
        !deployment.cloud.duty_calls().is_empty()
    })
    .await;
    let copy = deployment.store.copy();
    tokio::time::sleep(LOST_TIME).await;
    deployment.store.restore(copy);
    let before = deployment.store.calls();
    tokio::time::sleep(COUNTED_TIME).await;
    let calls = deployment.store.calls() - before;
    let limit =
        deployment.gateways.len() * MAX_CALLS_PER_NODE_AND_S * COUNTED_TIME.as_secs() as usize;
    assert!(calls <= limit, "{calls} calls in {COUNTED_TIME:?}");
}

/// Guards against a fence that falls with the offsets of a restored store, against duties that nobody
/// performs any more, and against two counts for a window.
#[tokio::test]
async fn fences_do_not_go_back_with_the_offsets_of_a_restored_store() {
    let mut deployment = deployment(2).await;
    let copy = deployment.store.copy();
    let reports = |deployment: &Deployment| deployment.cloud.duty_calls().len();
    eventually("usage is reported", async || reports(&deployment) >= 3).await;
    let first = deployment.cloud.duty_calls()[0].clone();
    let held = deployment
        .gateways
        .iter()
        .position(|g| g.name == first.holder);
    let held = held.expect("a gateway");
    deployment.gateways[held].kill();
    eventually("another node reports", async || {
        let calls = deployment.cloud.duty_calls();
        calls.iter().any(|call| call.holder != first.holder)
    })
    .await;
    deployment.store.restore(copy);
    let before = reports(&deployment);
    deployment.gateways[held].restart();
    eventually("usage is reported after the restore", async || {
        reports(&deployment) >= before + 5
    })
    .await;
    let calls = deployment.cloud.duty_calls();
    for pair in calls.windows(2) {
        assert!(pair[0].fence <= pair[1].fence, "{pair:?}");
        let same = pair[0].fence == pair[1].fence;
        assert!(!same || pair[0].holder == pair[1].holder, "{pair:?}");
    }
    let mut windows = HashMap::new();
    for call in &calls {
        let window = call.body["window_id"].as_u64().expect("a window");
        let counts = windows.entry(window).or_insert(&call.body["counts"]);
        assert_eq!(*counts, &call.body["counts"], "window {window}");
    }
}

/// Guards against records of a restored topic that are not read because the topic has grown past the
/// position of the time before.
#[tokio::test]
async fn a_configuration_written_after_a_restore_takes_effect() {
    let deployment = deployment(2).await;
    let copy = deployment.store.copy();
    for version in 2..=4 {
        deployment.store.put("keyed.op", "config", &config(version));
    }
    deployment.wait_for_propagation().await;
    deployment.store.restore(copy);
    deployment.store.put("keyed.op", "config", &config(5));
    for _ in 0..4 {
        deployment.store.put("keyed.op", "other", &json!({}));
    }
    deployment.wait_for_propagation().await;
    for gateway in &deployment.gateways {
        let lines = gateway.log_lines("configuration", None);
        assert!(lines.iter().any(|line| line["version"] == 5), "{lines:?}");
    }
}

/// Guards against the final departure of an endpoint whose entry was lost with a restore, and against
/// the return of one whose departure was lost.
#[tokio::test]
async fn endpoints_stay_as_they_are_when_their_entries_are_lost() {
    let deployment = deployment(2).await;
    let engine = Engine::start("e2", "app", Behaviour::Respond(200, 0)).await;
    let leaves = &deployment.engines[0];
    let copy = deployment.store.copy();
    deployment
        .store
        .put("keyed.servers", "e2", &engine.entry("ready", 1));
    deployment
        .store
        .put("keyed.servers", &leaves.id, &leaves.entry("draining", 2));
    deployment.wait_for_propagation().await;
    deployment.store.restore(copy);
    tokio::time::sleep(HEARTBEAT).await;
    deployment
        .store
        .put("keyed.servers", "e2", &engine.entry("ready", 2));
    deployment.wait_for_propagation().await;
    let before = leaves.received().len();
    for number in 0..6 {
        let gateway = &deployment.gateways[number % 2];
        let response = gateway.send(&Request::new("/safe/x")).await;
        assert_eq!(response.map(|r| r.status), Some(200));
    }
    assert_eq!(leaves.received().len(), before);
}

/// Guards against requests to an endpoint that left without a word, because a restored store has its
/// entry again; and against giving up one that goes on writing.
#[tokio::test]
async fn a_removed_endpoint_returns_from_a_restore_only_by_a_new_entry() {
    let deployment = deployment(2).await;
    let engine = &deployment.engines[0];
    let heartbeat = |sequence| {
        let entry = engine.entry("ready", sequence);
        deployment.store.put("keyed.servers", &engine.id, &entry);
    };
    heartbeat(7);
    let copy = deployment.store.copy();
    deployment.store.remove("keyed.servers", &engine.id);
    deployment.wait_for_propagation().await;
    deployment.store.restore(copy);
    deployment.wait_for_propagation().await;
    for gateway in &deployment.gateways {
        let response = gateway.send(&Request::new("/safe/x")).await;
        assert_eq!(response.map(|r| r.status), Some(503), "{}", gateway.name);
    }
    heartbeat(8);
    deployment.wait_for_propagation().await;
    for gateway in &deployment.gateways {
        let response = gateway.send(&Request::new("/safe/x")).await;
        assert_eq!(response.map(|r| r.status), Some(200), "{}", gateway.name);
    }
}

/// Guards against the loss of a node's record, which other nodes need to find it.
#[tokio::test]
async fn the_record_of_a_node_is_written_again_after_a_restore() {
    let deployment = deployment(1).await;
    eventually("the record is written", async || {
        deployment.store.value("keyed.nodes", "edge-0").is_some()
    })
    .await;
    deployment.store.restore(Content::default());
    deployment.store.put("keyed.op", "config", &config(1));
    eventually("the record is written again", async || {
        deployment.store.value("keyed.nodes", "edge-0").is_some()
    })
    .await;
}
