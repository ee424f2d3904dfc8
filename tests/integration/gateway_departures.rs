//! Endpoints whose entries are removed from the store, while nodes restart or the endpoints go on.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::sleep;

use crate::harness::eventually;
use crate::platform::{Behaviour, Deployment, Engine, Request};

/// Number of nodes; two of them read the store on behalf of the others.
const NODES: usize = 6;

/// Number of nodes that restart in each round, the readers among them.
const RESTARTED: usize = 3;

/// Time for which a node's requests to an engine that has left are allowed: `drain_ms`.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time for which a node that restarts exchanges its state with the other nodes.
const JOIN_TIME: Duration = Duration::from_millis(300);

/// Requests sent to each node at the same time, so that no engine has free slots for all of them.
const REQUESTS: usize = 8;

/// Time that a request takes, in ms.
const WORK_MS: u64 = 100;

/// Returns the numbers of the nodes, those first that read an endpoint's entry themselves.
fn readers_first(deployment: &Deployment, id: &str) -> Vec<usize> {
    let mut numbers: Vec<_> = (0..NODES).collect();
    numbers.sort_by_key(|number| {
        let lines = deployment.gateways[*number].log_lines("endpoint", None);
        let lines = lines.iter().filter(|line| line["endpoint"] == id);
        let mut sources = lines.map(|line| line["source"].clone());
        sources.all(|source| source != "record")
    });
    numbers
}

/// Guards against restarted nodes that learn of an endpoint from a node that has not yet read its
/// removal, and send requests to it until it tells them that it leaves.
#[tokio::test]
async fn restarted_nodes_send_nothing_to_an_endpoint_that_left_before() {
    const ROUNDS: usize = 3;
    let stays = Engine::start("stays", "app", Behaviour::Respond(200, WORK_MS)).await;
    let mut deployment = Deployment::start(NODES, vec![stays]).await;
    for round in 0..ROUNDS {
        let id = format!("leaves-{round}");
        let leaves = Engine::start(&id, "app", Behaviour::Respond(200, WORK_MS)).await;
        deployment
            .store
            .put("keyed.servers", &id, &leaves.entry("ready", 1));
        deployment.wait_for_propagation().await;
        let numbers = readers_first(&deployment, &id);
        let (restarted, others) = numbers.split_at(RESTARTED);
        for number in restarted {
            deployment.gateways[*number].kill();
        }
        // The other nodes do not read the removal before the restarted ones ask them.
        for number in others {
            deployment.gateways[*number].signal(libc::SIGSTOP);
        }
        deployment.store.remove("keyed.servers", &id);
        for number in restarted {
            deployment.gateways[*number].restart();
            let gateway = &deployment.gateways[*number];
            eventually("a gateway is ready", async || {
                gateway.readiness().await == Some(200)
            })
            .await;
        }
        for number in others {
            deployment.gateways[*number].signal(libc::SIGCONT);
        }
        sleep(JOIN_TIME + DRAIN_TIME).await;
        let before = leaves.received().len();
        for number in restarted {
            let statuses = statuses(&deployment, *number).await;
            assert_eq!(statuses, [Some(200); REQUESTS]);
        }
        let late = leaves.received().len() - before;
        assert_eq!(late, 0, "late requests of {restarted:?} in round {round}");
    }
}

/// Sends requests to a node at the same time; returns the status of each.
async fn statuses(deployment: &Deployment, number: usize) -> Vec<Option<u16>> {
    let request = Request::new("/unsafe/x");
    let requests = (0..REQUESTS).map(|_| deployment.gateways[number].send(&request));
    let responses = join_all(requests).await.into_iter();
    responses.map(|r| r.map(|r| r.status)).collect()
}

/// Guards against endpoints that no node uses again after they were cut off from the store for some
/// seconds, up to all of a service; and against a second removal that the nodes do not pass on.
#[tokio::test]
async fn an_endpoint_that_was_cut_off_from_the_store_is_used_again() {
    let engine = Engine::start("cut-off", "app", Behaviour::Respond(200, 1)).await;
    let deployment = Deployment::start(NODES, vec![engine]).await;
    let engine = &deployment.engines[0];
    for sequence in [2, 3] {
        deployment.store.remove("keyed.servers", &engine.id);
        deployment.wait_for_propagation().await;
        let before = engine.received().len();
        for number in 0..NODES {
            let statuses = statuses(&deployment, number).await;
            assert_eq!(statuses, [Some(503); REQUESTS], "removed, node {number}");
        }
        assert_eq!(engine.received().len(), before, "requests after removal");
        let entry = engine.entry("ready", sequence);
        deployment.store.put("keyed.servers", &engine.id, &entry);
        deployment.wait_for_propagation().await;
        for number in 0..NODES {
            let statuses = statuses(&deployment, number).await;
            assert_eq!(statuses, [Some(200); REQUESTS], "back, node {number}");
        }
    }
}

/// Guards against streams that leave a sound endpoint after a pause of half a second, because its entry
/// had expired and come back since they began.
#[tokio::test]
async fn a_stream_stays_at_an_endpoint_whose_entry_came_back() {
    /// Longer than the silence that ends a stream of an endpoint that is gone, shorter than a stall.
    const PAUSE_MS: u64 = 1_000;
    const AWAY_TIME: Duration = Duration::from_millis(50);
    let engine = Engine::start("e0", "llm", Behaviour::StreamWithPause(1, PAUSE_MS, 3)).await;
    let deployment = Deployment::start(1, vec![engine]).await;
    let (engine, gateway) = (&deployment.engines[0], &deployment.gateways[0]);
    let request = Request::new("/resumed/x");
    let change = async {
        deployment.store.remove("keyed.servers", &engine.id);
        sleep(AWAY_TIME).await;
        let entry = engine.entry("ready", 2);
        deployment.store.put("keyed.servers", &engine.id, &entry);
        // Another engine that could take the stream.
        let other = Engine::start("e1", "llm", Behaviour::Stream(3, 1)).await;
        let entry = other.entry("ready", 1);
        deployment.store.put("keyed.servers", &other.id, &entry);
        other
    };
    let (response, other) = tokio::join!(gateway.send(&request), change);
    assert_eq!(response.map(|r| r.status), Some(200));
    assert_eq!(other.received().len(), 0, "the stream moved");
}
