//! A published configuration becomes active on all nodes and never reverts, with and without
//! access to the log.

use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::control;
use almondpath::log::{self, Offset, Service as _};
use almondpath::membership::short_hash;
use almondpath::standin::LogStats;
use serde_json::json;

use crate::harness::{Cluster, Node, eventually};
use crate::relay::{Mode, Relay};

const NODES: usize = 8;

/// Time within which a configuration becomes active on all nodes.
const TIME_LIMIT: Duration = Duration::from_secs(8);

const CONFIG: &str = "examples/dev/config.yaml";

/// A cluster in which each node reaches the log through its own relay.
struct Setup {
    cluster: Cluster,
    relays: Vec<Relay>,
}

impl Setup {
    async fn start(nodes: usize) -> Self {
        let mut cluster = Cluster::start(0, 0, 0).await;
        let mut relays = Vec::new();
        for _ in 0..nodes {
            let relay = Relay::start(cluster.log.address).await;
            cluster.add_node(relay.address);
            relays.push(relay);
        }
        for node in &cluster.nodes {
            cluster.await_ready(node).await;
        }
        Self { cluster, relays }
    }

    async fn version(&self, node: &Node) -> Option<u64> {
        self.cluster.dump(node).await?["active"]["version"].as_u64()
    }

    /// Waits until the version is active on all nodes, and asserts that no node reverts to an older
    /// version.
    async fn await_version(&self, expected: u64, what: &str) {
        let started = Instant::now();
        let mut seen = vec![None; self.cluster.nodes.len()];
        while seen.iter().any(|version| *version != Some(expected)) {
            for (node, seen) in self.cluster.nodes.iter().zip(&mut seen) {
                let version = self.version(node).await;
                assert!(
                    version.is_none() || version >= *seen,
                    "{} reverted: {what}",
                    node.name
                );
                *seen = version.or(*seen);
            }
            assert!(
                started.elapsed() < TIME_LIMIT,
                "{what}: {seen:?}, expected {expected}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        println!("{what}: active everywhere after {:?}", started.elapsed());
    }

    async fn control_reads(&self) -> u64 {
        let http = &self.cluster.http;
        let stats = http.get_json(self.cluster.log.address, "/stats").await;
        let stats: LogStats = stats.expect("the log service responds");
        stats.reads["control"]
    }

    fn set_relays(&self, nodes: std::ops::Range<usize>, mode: Mode) {
        for relay in &self.relays[nodes] {
            relay.set(mode);
        }
    }

    async fn set_log_faults(&self, faults: serde_json::Value) {
        let log = self.cluster.log.address;
        self.cluster.set_faults(log, faults).await;
    }
}

/// Guards against a node that misses a configuration because it can't read the log itself, and
/// against a node that reverts to an older one after a restart or a pause.
#[tokio::test(flavor = "multi_thread")]
async fn active_everywhere_and_never_reverted() {
    let mut setup = Setup::start(NODES).await;
    setup.await_version(0, "first start").await;

    setup.cluster.publish(CONFIG).await;
    setup.await_version(1, "all connected").await;

    setup.set_relays(7..8, Mode::FreezeAll);
    setup.cluster.publish(CONFIG).await;
    setup
        .await_version(2, "one node cut off from the log")
        .await;

    // The first node is cut off as soon as it has read the record, all others before.
    setup.set_relays(1..NODES, Mode::FreezeAll);
    setup.cluster.publish(CONFIG).await;
    while setup.version(&setup.cluster.nodes[0]).await != Some(3) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    setup.set_relays(0..1, Mode::FreezeAll);
    setup
        .await_version(3, "all cut off after one has read it")
        .await;

    setup.cluster.restart_node(5);
    setup.await_version(3, "restart while cut off").await;
    setup.cluster.await_ready(&setup.cluster.nodes[5]).await;

    // The paused node, which must get the configuration from the others, is the one that read the
    // log before.
    setup.cluster.nodes[0].process.signal(libc::SIGSTOP);
    setup.set_relays(1..2, Mode::Pass);
    setup.cluster.publish(CONFIG).await;
    while setup.version(&setup.cluster.nodes[1]).await != Some(4) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    setup.set_log_faults(json!({"down": true})).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    setup.cluster.nodes[0].process.signal(libc::SIGCONT);
    setup
        .await_version(4, "an old process resumed with the log down")
        .await;
}

/// Guards against a read rate of the log that grows with the number of nodes although nothing
/// changes, and against nodes that miss a configuration because they don't long-poll the log.
#[tokio::test(flavor = "multi_thread")]
async fn few_nodes_of_a_domain_long_poll_the_log() {
    const DOMAINS: usize = 3;
    const NODES_PER_DOMAIN: usize = 6;
    const DIRECT_READERS: usize = 4;
    /// One read per second of each node that long-polls the log, one in 4 s of each other node, and
    /// a margin of 20 % for the edges of the interval.
    const MAX_READS_PER_S: f64 = 1.2 * (DOMAINS * DIRECT_READERS) as f64
        + 0.3 * (DOMAINS * (NODES_PER_DOMAIN - DIRECT_READERS)) as f64;
    const MEASUREMENT_INTERVAL: Duration = Duration::from_secs(5);

    let setup = Setup::start(DOMAINS * NODES_PER_DOMAIN).await;
    setup.await_version(0, "first start of 18 nodes").await;
    setup.cluster.publish(CONFIG).await;
    setup.await_version(1, "18 nodes").await;

    let before = setup.control_reads().await;
    tokio::time::sleep(MEASUREMENT_INTERVAL).await;
    let reads = (setup.control_reads().await - before) as f64 / MEASUREMENT_INTERVAL.as_secs_f64();
    println!("18 nodes: {reads:.1} reads of `control` per second");
    assert!(
        reads <= MAX_READS_PER_S,
        "{reads:.1} > {MAX_READS_PER_S:.1}"
    );

    // Only nodes that don't long-poll the log can reach it.
    for domain in 0..DOMAINS {
        let mut nodes: Vec<usize> = (domain..DOMAINS * NODES_PER_DOMAIN)
            .step_by(DOMAINS)
            .collect();
        nodes.sort_by_key(|index| short_hash(&setup.cluster.nodes[*index].name));
        for index in &nodes[..DIRECT_READERS] {
            setup.relays[*index].set(Mode::FreezeAll);
        }
    }
    setup.cluster.publish(CONFIG).await;
    setup
        .await_version(2, "18 nodes, those that long-poll the log cut off from it")
        .await;
}

/// Guards against a node that mistakes the remaining records of a partly expired log for the whole
/// stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_survives_expired_records() {
    let mut cluster = Cluster::start(2, 0, 0).await;
    cluster
        .set_faults(cluster.log.address, json!({"keep": 1}))
        .await;
    // This expires the record that the new one is based on.
    cluster.publish(CONFIG).await;
    cluster.restart_node(1);
    cluster.await_ready(&cluster.nodes[1]).await;
    let dump = cluster.dump(&cluster.nodes[1]).await.expect("a dump");
    assert_eq!(dump["active"]["version"], 1);
}

/// Guards against nodes that lose the active configuration when its record has expired and all
/// nodes restart, and against a failure to publish when the record of the base version has expired.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_restart_after_the_configuration_has_expired() {
    let mut cluster = Cluster::start_with(2, 0, 0, "checkpoint_interval_ms: 1000\n").await;
    let keep = json!({"keep": 2});
    cluster.set_faults(cluster.log.address, keep).await;
    await_expiry(&cluster, 0).await;

    cluster.publish(CONFIG).await;
    let version = async |cluster: &Cluster, node: usize| {
        let dump = cluster.dump(&cluster.nodes[node]).await?;
        dump["active"]["version"].as_u64()
    };
    eventually("the second configuration is active", async || {
        version(&cluster, 0).await > Some(0) && version(&cluster, 1).await > Some(0)
    })
    .await;
    let published = version(&cluster, 0).await.expect("a version");
    await_expiry(&cluster, published).await;

    for node in &mut cluster.nodes {
        node.process.kill();
    }
    for node in 0..2 {
        cluster.restart_node(node);
    }
    for node in 0..2 {
        cluster.await_ready(&cluster.nodes[node]).await;
        assert_eq!(version(&cluster, node).await, Some(published));
    }
}

/// Waits until the record at an offset of the `control` stream has expired from the log.
async fn await_expiry(cluster: &Cluster, offset: u64) {
    let log = log::Client::new(cluster.log.address);
    eventually("the record has expired", async || {
        let read = log.read(control::STREAM, Offset(0), 1, Millis::ZERO).await;
        read.is_ok_and(|page| page.earliest > Offset(offset))
    })
    .await;
}
