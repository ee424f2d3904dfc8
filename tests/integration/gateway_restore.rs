//! A store that comes back from an earlier copy: what it acknowledged since is lost, and offsets are
//! given out again.

use std::time::Duration;

use crate::harness::eventually;
use crate::platform::{Behaviour, Deployment, Engine};

/// Time after which a restored store has other records at the offsets that were lost.
const LOST_TIME: Duration = Duration::from_secs(4);

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
