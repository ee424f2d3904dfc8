//! Accepted requests survive the reclaim of engines, of entry hosts, of both, and of several hosts
//! one after the other.

use std::time::Duration;

use serde_json::json;

use crate::harness::Cluster;
use crate::streaming::Streaming;

/// Tokens of each response; the engine test double generates them in 1.5 s.
const TOKENS: usize = 150;

/// Pieces that the caller has received when the fault is injected.
const PIECES_BEFORE_FAULT: usize = 20;

/// Failure or reclaim of an engine that generates a response.
struct EngineCase {
    name: &'static str,
    notice_ms: u64,
    faults: serde_json::Value,
    kill: bool,
    /// Expected range of recomputed tokens: the prompt has 100, the response 150.
    recomputed: std::ops::RangeInclusive<f64>,
}

/// Guards against a response that is lost or restarted when its engine's host is reclaimed, and
/// against recomputation where the engine could finish or export the stream.
#[tokio::test(flavor = "multi_thread")]
async fn responses_survive_the_reclaim_of_an_engine() {
    let cases = [
        EngineCase {
            name: "killed without notice",
            notice_ms: 5_000,
            faults: json!({}),
            kill: true,
            recomputed: 100.0..=251.0,
        },
        EngineCase {
            name: "notice, long enough to finish",
            notice_ms: 10_000,
            faults: json!({ "leaving": true }),
            kill: false,
            recomputed: 0.0..=0.0,
        },
        EngineCase {
            name: "notice, KV export",
            notice_ms: 700,
            faults: json!({ "leaving": true }),
            kill: true,
            recomputed: 0.0..=0.0,
        },
        EngineCase {
            name: "notice, no KV export",
            notice_ms: 700,
            faults: json!({ "leaving": true, "refuse_export": true }),
            kill: true,
            recomputed: 100.0..=251.0,
        },
    ];
    for case in cases {
        let settings = format!("notice_ms: {}\n", case.notice_ms);
        let mut cluster = Cluster::start_with(2, 2, 0, &settings).await;
        let streaming = Streaming::start(cluster.client(&[0, 1]), case.name, TOKENS);
        streaming.wait_for_pieces(PIECES_BEFORE_FAULT).await;
        let engine = cluster.busy_engine().await;
        if case.faults["leaving"] == true {
            let address = cluster.engines[engine].address;
            cluster.set_faults(address, case.faults.clone()).await;
            tokio::time::sleep(Duration::from_millis(800)).await;
        }
        if case.kill {
            cluster.engines[engine].process.kill();
        }
        streaming.assert_complete(case.name).await;
        let recomputed = cluster
            .metric(&[0, 1], "almondpath_recomputed_tokens_total")
            .await;
        println!("engine, {}: {recomputed} tokens recomputed", case.name);
        assert!(case.recomputed.contains(&recomputed), "{}", case.name);
    }
}

/// How an entry host is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The process is killed.
    Kill,
    /// A reclaim notice, with time for a handover.
    Notice,
    /// A reclaim notice, after which the process is killed at once.
    NoticeAndKill,
}

/// Losses of entry hosts, one after the other.
struct HostCase {
    name: &'static str,
    /// Role of each lost node, the owner of the response or the backup, and how it is lost.
    losses: &'static [(&'static str, Loss)],
    /// Whether the whole failure domain of the first loss is lost, with its other entry host and
    /// the engine that generates the response.
    domain: bool,
}

/// Streams a response through the losses of a case, and checks that it is complete and what was
/// recomputed.
async fn assert_survives(case: &HostCase) {
    let mut cluster = Cluster::start(6, 3, 0).await;
    let caller = cluster.client(&[0, 1, 2, 3, 4, 5]);
    let streaming = Streaming::start(caller, case.name, TOKENS);
    streaming.wait_for_pieces(PIECES_BEFORE_FAULT).await;
    let mut lost = Vec::new();
    for (index, (role, loss)) in case.losses.iter().enumerate() {
        let victim = cluster.wait_for_holder(role, &lost).await;
        lost.push(victim);
        if !matches!(loss, Loss::Kill) {
            cluster.send_reclaim_notice(victim, 3_000).await;
        }
        if !matches!(loss, Loss::Notice) {
            cluster.nodes[victim].process.kill();
        }
        if case.domain && index == 0 {
            let engine = cluster.busy_engine().await;
            cluster.engines[engine].process.kill();
            // Nodes of one failure domain have the same index modulo three.
            cluster.nodes[(victim + 3) % 6].process.kill();
            lost.push((victim + 3) % 6);
        }
        if index + 1 < case.losses.len() {
            let next = cluster.wait_for_holder("owner", &lost).await;
            println!("  node {next} serves after the loss of {lost:?}");
        }
    }
    let restarts = streaming.restarts();
    streaming.assert_complete(case.name).await;
    let survivors: Vec<usize> = (0..6).filter(|node| !lost.contains(node)).collect();
    let recomputed = cluster
        .metric(&survivors, "almondpath_recomputed_tokens_total")
        .await;
    println!(
        "entry host, {}: {recomputed} tokens recomputed, {restarts} restarts seen by then",
        case.name
    );
    // The prompt has 100 tokens, the response 150.
    let bounds = if case.domain {
        100.0..=251.0
    } else {
        0.0..=0.0
    };
    assert!(bounds.contains(&recomputed), "{}", case.name);
}

/// Guards against a response that is lost with the entry host that serves it.
#[tokio::test(flavor = "multi_thread")]
async fn responses_survive_the_loss_of_an_entry_host() {
    let cases = [
        HostCase {
            name: "notice",
            losses: &[("owner", Loss::Notice)],
            domain: false,
        },
        HostCase {
            name: "killed",
            losses: &[("owner", Loss::Kill)],
            domain: false,
        },
        HostCase {
            name: "killed during its handover",
            losses: &[("owner", Loss::NoticeAndKill)],
            domain: false,
        },
    ];
    for case in &cases {
        assert_survives(case).await;
    }
}

/// Guards against a backup copy that is not replaced after the first loss, or that is in the same
/// failure domain as the owner.
#[tokio::test(flavor = "multi_thread")]
async fn responses_survive_several_losses() {
    let cases = [
        HostCase {
            name: "a whole failure domain, engine included",
            losses: &[("owner", Loss::Kill)],
            domain: true,
        },
        HostCase {
            name: "backup node, then owner",
            losses: &[("backup", Loss::Kill), ("owner", Loss::Kill)],
            domain: false,
        },
        HostCase {
            name: "a second reclaim hits the node that took over",
            losses: &[("owner", Loss::Notice), ("owner", Loss::NoticeAndKill)],
            domain: false,
        },
    ];
    for case in &cases {
        assert_survives(case).await;
    }
}
