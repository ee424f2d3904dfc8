//! The log service is down, silent or slow.

use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use serde_json::{Value, json};

use crate::call_harness::{new_contribution, post};
use crate::harness::{ACCOUNT_TOKEN, Cluster, eventually};

/// Bound for noticing that the log service does not answer.
const NOTICE: Duration = Duration::from_millis(3_500);

async fn balance(cluster: &Cluster, node: usize) -> bool {
    let headers = [("authorization", format!("Bearer {ACCOUNT_TOKEN}"))];
    let address = cluster.nodes[node].listen;
    post(cluster, address, "balance", &headers, "{}")
        .await
        .is_success()
}

/// Guards against calls that hang or are denied while the log can't be used, against idempotent
/// calls that depend on it, and against a slow recovery.
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
        tokio::time::sleep(NOTICE).await;
        for node in [0, 1] {
            let started = Instant::now();
            let answer = new_contribution().send(&cluster, node).await;
            assert!(
                answer.is_error("log_unavailable", "may_have_run"),
                "{}: {answer:?}",
                case.name
            );
            assert!(answer.body["retry_after_ms"].is_u64());
            assert!(
                started.elapsed() < Duration::from_millis(500),
                "{}",
                case.name
            );
            assert!(balance(&cluster, node).await, "{}", case.name);
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

/// Guards against losing the response of a call that was sent before the log went down.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_sent_ends_normally_and_is_recorded_later() {
    let cluster = Cluster::start(2, 0, 1).await;
    cluster.await_calls_ready().await;
    cluster
        .set_faults(cluster.plains[0].address, json!({ "delay_ms": 1_500 }))
        .await;
    let call = new_contribution();
    let (answer, ()) = tokio::join!(call.send(&cluster, 0), async {
        cluster.await_execution(&call).await;
        cluster
            .set_faults(cluster.log.address, json!({ "down": true }))
            .await;
    });
    assert!(answer.is_success(), "{answer:?}");
    let other = call.send(&cluster, 1).await;
    assert_eq!(other.verdict.as_deref(), Some("may_have_run"), "{other:?}");
    cluster.set_faults(cluster.log.address, json!({})).await;
    eventually("the response is stored", async || {
        call.send(&cluster, 1).await == answer
    })
    .await;
    assert_eq!(cluster.executions(&call.key).await, 1);
}

/// Guards against refused appends that go unnoticed because reads work, and against a burst of
/// appends when the log takes them again.
#[tokio::test(flavor = "multi_thread")]
async fn refused_appends_are_noticed_and_recovery_keeps_the_budget() {
    let cluster = Cluster::start(3, 0, 1).await;
    cluster.await_calls_ready().await;
    cluster
        .set_faults(cluster.log.address, json!({ "refuse_appends": true }))
        .await;
    for node in 0..3 {
        assert!(!new_contribution().send(&cluster, node).await.is_success());
    }
    let answer = new_contribution().deadline(300).send(&cluster, 0).await;
    assert_eq!(
        answer.verdict.as_deref(),
        Some("may_have_run"),
        "{answer:?}"
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
            .expect("the log service answers");
        stats["appends"].as_u64().expect("a number")
    };
    let (before, started) = (appends().await, Instant::now());
    // Spread over three seconds: at once, the connections alone overran the endpoint's backlog.
    let calls = (0..900).map(|index: u64| {
        let cluster = &cluster;
        async move {
            tokio::time::sleep(Duration::from_micros(index * 3_333)).await;
            new_contribution().send(cluster, index as usize % 3).await
        }
    });
    let answers = futures::future::join_all(calls).await;
    let made = appends().await - before;
    let unanswered: Vec<_> = answers
        .iter()
        .filter(|answer| !answer.is_success())
        .collect();
    assert!(unanswered.is_empty(), "{unanswered:?}");
    let allowed = 300.0 * started.elapsed().as_secs_f64() + 30.0;
    assert!(made as f64 <= allowed, "{made} appends, allowed {allowed}");
}
