//! The log service is down, slow, stopped or rejects appends.

use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use serde_json::{Value, json};

use crate::call_harness::{new_contribution, post};
use crate::harness::{ACCOUNT_TOKEN, Cluster, eventually};

/// Time within which nodes must detect that the log service does not respond.
const DETECTION_TIME: Duration = Duration::from_millis(3_500);

/// Sends an idempotent call and returns whether it succeeds.
async fn idempotent_call_succeeds(cluster: &Cluster, node: usize) -> bool {
    let headers = [("authorization", format!("Bearer {ACCOUNT_TOKEN}"))];
    let address = cluster.nodes[node].listen;
    post(cluster, address, "balance", &headers, "{}")
        .await
        .is_success()
}

/// Guards against calls that hang, or that are reported as not run, while the log is unavailable,
/// against idempotent calls that depend on the log, and against a slow recovery.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_refused_at_once_and_idempotent_calls_go_on() {
    struct Case {
        name: &'static str,
        faults: Value,
        stop: bool,
    }
    let case = |name, faults, stop| Case { name, faults, stop };
    let cases = [
        case("down", json!({ "down": true }), false),
        case("slow", json!({ "delay_ms": 4_000 }), false),
        case("silent", json!({}), true),
    ];
    let cluster = Cluster::start(2, 0, 1).await;
    for case in cases {
        cluster.await_calls_ready().await;
        cluster.set_faults(cluster.log.address, case.faults).await;
        if case.stop {
            cluster.log.process.signal(libc::SIGSTOP);
        }
        tokio::time::sleep(DETECTION_TIME).await;
        for node in [0, 1] {
            let started = Instant::now();
            let response = new_contribution().send(&cluster, node).await;
            assert!(
                response.is_error("log_unavailable", "may_have_run"),
                "{}: {response:?}",
                case.name
            );
            assert!(response.body["retry_after_ms"].is_u64());
            assert!(
                started.elapsed() < Duration::from_millis(500),
                "{}",
                case.name
            );
            assert!(
                idempotent_call_succeeds(&cluster, node).await,
                "{}",
                case.name
            );
        }
        if case.stop {
            cluster.log.process.signal(libc::SIGCONT);
        }
        cluster.set_faults(cluster.log.address, json!({})).await;
        let recovered = Instant::now();
        cluster.await_calls_ready().await;
        assert!(
            recovered.elapsed() < Duration::from_secs(6),
            "{}",
            case.name
        );
    }
}

/// Guards against losing the response of a call that was sent before the log became unavailable.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_sent_ends_normally_and_is_recorded_later() {
    let cluster = Cluster::start(2, 0, 1).await;
    cluster.await_calls_ready().await;
    cluster
        .set_faults(cluster.plains[0].address, json!({ "delay_ms": 1_500 }))
        .await;
    let call = new_contribution();
    let (response, ()) = tokio::join!(call.send(&cluster, 0), async {
        cluster.await_execution(&call).await;
        cluster
            .set_faults(cluster.log.address, json!({ "down": true }))
            .await;
    });
    assert!(response.is_success(), "{response:?}");
    let other = call.send(&cluster, 1).await;
    assert_eq!(other.verdict.as_deref(), Some("may_have_run"), "{other:?}");
    cluster.set_faults(cluster.log.address, json!({})).await;
    eventually("the response is stored", async || {
        call.send(&cluster, 1).await == response
    })
    .await;
    assert_eq!(cluster.executions(&call.key).await, 1);
}

/// Guards against rejected appends that are not detected because reads succeed, and against a burst
/// of appends when the log accepts them again.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_appends_are_detected_and_recovery_keeps_the_append_rate() {
    let cluster = Cluster::start(3, 0, 1).await;
    cluster.await_calls_ready().await;
    cluster
        .set_faults(cluster.log.address, json!({ "refuse_appends": true }))
        .await;
    for node in 0..3 {
        assert!(!new_contribution().send(&cluster, node).await.is_success());
    }
    let response = new_contribution().deadline(300).send(&cluster, 0).await;
    assert_eq!(
        response.verdict.as_deref(),
        Some("may_have_run"),
        "{response:?}"
    );
    cluster.set_faults(cluster.log.address, json!({})).await;
    cluster.await_calls_ready().await;
    let appends = async || {
        let stats: Value = cluster
            .http
            .clone()
            .with_timeout(Millis(5_000))
            .get_json(cluster.log.address, "/stats")
            .await
            .expect("the log service responds");
        stats["appends"].as_u64().expect("a number")
    };
    let (before, started) = (appends().await, Instant::now());
    // The calls are spread over 3 s: when all were sent at once, their connections overflowed the
    // endpoint's accept backlog.
    let calls = (0..900).map(|index: u64| {
        let cluster = &cluster;
        async move {
            tokio::time::sleep(Duration::from_micros(index * 3_333)).await;
            new_contribution().send(cluster, index as usize % 3).await
        }
    });
    let responses = futures::future::join_all(calls).await;
    let appended = appends().await - before;
    let failed: Vec<_> = responses
        .iter()
        .filter(|response| !response.is_success())
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    let allowed = 300.0 * started.elapsed().as_secs_f64() + 30.0;
    assert!(
        appended as f64 <= allowed,
        "{appended} appends, allowed {allowed}"
    );
}
