//! A call refused with "not run" is never executed, before or after the refusal.

use std::time::Duration;

use almondpath::clock::Millis;
use serde_json::json;

use crate::call_harness::{Response, aged_contribution, new_contribution, post};
use crate::harness::{ACCOUNT_TOKEN, Cluster, eventually, free_address};

/// Default limit of a request body.
const BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// Guards against a refusal that claims "not run" without proof.
#[tokio::test(flavor = "multi_thread")]
async fn every_refusal_has_a_correct_verdict() {
    struct Case {
        name: &'static str,
        route: &'static str,
        token: &'static str,
        key: Option<String>,
        headers: Vec<(&'static str, String)>,
        body: String,
        error: &'static str,
        verdict: &'static str,
    }
    let base = || Case {
        name: "",
        route: "contribution",
        token: ACCOUNT_TOKEN,
        key: Some(new_contribution().key),
        headers: Vec::new(),
        body: "{}".to_owned(),
        error: "",
        verdict: "may_have_run",
    };
    let cluster = Cluster::start(1, 0, 1).await;
    cluster.await_calls_ready().await;
    let used = new_contribution();
    assert!(used.send(&cluster, 0).await.is_success());
    let old = aged_contribution(Millis(11 * 60_000)).key;
    let random = "5c3b4b5e-7d35-4a4c-9a55-0d8a3a4b9a10".to_owned();
    let ahead = almondpath::ledger::Key::new(
        almondpath::clock::Clock::system().wall() + Millis(120_000),
        1,
    );
    let cases = [
        Case {
            name: "wrong token",
            token: "x",
            error: "unauthorized",
            ..base()
        },
        Case {
            name: "unknown route",
            route: "x",
            error: "not_found",
            ..base()
        },
        Case {
            name: "no key",
            key: None,
            error: "key_missing",
            verdict: "not_run",
            ..base()
        },
        Case {
            name: "not a UUIDv7",
            key: Some(random),
            error: "malformed",
            verdict: "not_run",
            ..base()
        },
        Case {
            name: "old key",
            key: Some(old),
            error: "key_expired",
            ..base()
        },
        Case {
            name: "key ahead",
            key: Some(ahead.to_string()),
            error: "key_expired",
            ..base()
        },
        Case {
            name: "bad deadline",
            headers: vec![("x-deadline-ms", "x".to_owned())],
            error: "malformed",
            ..base()
        },
        Case {
            name: "large body",
            body: "x".repeat(BODY_LIMIT_BYTES + 1),
            error: "too_large",
            ..base()
        },
        Case {
            name: "deadline passed",
            headers: vec![("x-deadline-ms", "0".to_owned())],
            error: "deadline_exceeded",
            verdict: "not_run",
            ..base()
        },
        Case {
            name: "other body",
            key: Some(used.key.clone()),
            body: "{1}".to_owned(),
            error: "key_reused",
            verdict: "not_run",
            ..base()
        },
    ];
    for case in cases {
        let mut headers = case.headers;
        headers.push(("authorization", format!("Bearer {}", case.token)));
        headers.extend(case.key.clone().map(|key| ("idempotency-key", key)));
        let address = cluster.nodes[0].listen;
        let response = post(&cluster, address, case.route, &headers, &case.body).await;
        assert!(
            response.is_error(case.error, case.verdict),
            "{}: {response:?}",
            case.name
        );
        let key = case.key.unwrap_or_default();
        let executed = u64::from(key == used.key);
        assert_eq!(cluster.executions(&key).await, executed, "{}", case.name);
    }
}

/// Guards against "not run" for a key that another node, or a later attempt, can still execute.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_refused_without_an_endpoint_never_runs() {
    let cluster = Cluster::start(2, 0, 1).await;
    cluster.await_calls_ready().await;
    let append_refused = json!({ "refuse_appends": true });
    cluster.put_hosts(&[]).await;
    cluster
        .set_faults(cluster.log.address, append_refused)
        .await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let response = new_contribution().send(&cluster, 0).await;
    assert!(
        response.is_error("unavailable", "may_have_run"),
        "no proof: {response:?}"
    );
    cluster.set_faults(cluster.log.address, json!({})).await;
    let mut unreachable = cluster.hosts();
    unreachable[0].address = free_address();
    for hosts in [Vec::new(), unreachable] {
        cluster.put_hosts(&hosts).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let call = new_contribution();
        let response = call.send(&cluster, 0).await;
        assert!(response.is_error("unavailable", "not_run"), "{response:?}");
        cluster.put_hosts(&cluster.hosts()).await;
        cluster.await_calls_ready().await;
        for node in [0, 1] {
            let response = call.send(&cluster, node).await;
            assert!(response.is_error("key_void", "not_run"), "{response:?}");
        }
        assert_eq!(cluster.executions(&call.key).await, 0);
    }
}

/// Guards against a node that refuses a key with "not run" for reasons of its own while another
/// node executes it.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_at_one_node_does_not_claim_not_run_for_another() {
    struct Case {
        name: &'static str,
        /// Deadline of the second attempt.
        deadline_ms: u64,
        log_down: bool,
        restart: bool,
    }
    let cases = [
        Case {
            name: "deadline passed",
            deadline_ms: 0,
            log_down: false,
            restart: false,
        },
        Case {
            name: "log down",
            deadline_ms: 5_000,
            log_down: true,
            restart: false,
        },
        Case {
            name: "restarted",
            deadline_ms: 5_000,
            log_down: false,
            restart: true,
        },
    ];
    let mut cluster = Cluster::start(2, 0, 1).await;
    for case in cases {
        cluster.await_calls_ready().await;
        cluster
            .set_faults(cluster.plains[0].address, json!({ "delay_ms": 1_500 }))
            .await;
        let call = new_contribution();
        // The caller disconnects long before the node has a response.
        tokio::select! {
            response = call.send(&cluster, 0) => panic!("{}: {response:?}", case.name),
            () = cluster.await_execution(&call) => {}
        }
        if case.restart {
            cluster.nodes[1].process.kill();
            cluster.restart(1);
            let node = &cluster.nodes[1];
            cluster.await_ready(node).await;
        }
        let faults = json!({ "down": case.log_down });
        cluster.set_faults(cluster.log.address, faults).await;
        let second: Response = call
            .clone()
            .deadline(case.deadline_ms)
            .send(&cluster, 1)
            .await;
        cluster.set_faults(cluster.log.address, json!({})).await;
        cluster
            .set_faults(cluster.plains[0].address, json!({}))
            .await;
        assert!(
            second.is_success() || second.verdict.as_deref() == Some("may_have_run"),
            "{}: {second:?}",
            case.name
        );
        assert_eq!(cluster.executions(&call.key).await, 1, "{}", case.name);
    }
}

/// Guards against "not run" from a node that has reached its request limit.
#[tokio::test(flavor = "multi_thread")]
async fn an_overloaded_node_does_not_claim_not_run() {
    let cluster = Cluster::start_with(1, 0, 1, "request_limit: 1\n").await;
    cluster.await_calls_ready().await;
    cluster
        .set_faults(cluster.plains[0].address, json!({ "delay_ms": 1_500 }))
        .await;
    let (first, second) = (new_contribution(), new_contribution());
    let (response, refused) = tokio::join!(first.send(&cluster, 0), async {
        cluster.await_execution(&first).await;
        second.send(&cluster, 0).await
    });
    assert!(response.is_success());
    assert!(
        refused.is_error("overloaded", "may_have_run"),
        "{refused:?}"
    );
}

/// Guards against a node that looks for a key in a different stream from the other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_with_another_number_of_streams_runs_no_call() {
    let mut cluster = Cluster::start(2, 0, 1).await;
    cluster.await_calls_ready().await;
    let mut settings = std::fs::read_to_string(&cluster.nodes[1].settings).expect("settings");
    settings.push_str("call_shards: 2\n");
    std::fs::write(&cluster.nodes[1].settings, settings).expect("the settings can be written");
    cluster.nodes[1].process.kill();
    cluster.restart(1);
    cluster.await_ready(&cluster.nodes[1]).await;
    for _ in 0..8 {
        let call = new_contribution();
        let response = call.send(&cluster, 1).await;
        assert!(
            response.is_error("log_unavailable", "may_have_run"),
            "{response:?}"
        );
        assert!(call.send(&cluster, 0).await.is_success());
    }
}

/// Guards against a call that is sent after its deadline, because recording it took too long.
#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_that_passes_while_recording_prevents_sending() {
    let cluster = Cluster::start(1, 0, 1).await;
    cluster.await_calls_ready().await;
    cluster
        .set_faults(cluster.log.address, json!({ "delay_ms": 600 }))
        .await;
    let call = new_contribution().deadline(300);
    let response = call.send(&cluster, 0).await;
    assert!(
        response.is_error("deadline_exceeded", "may_have_run"),
        "{response:?}"
    );
    cluster.set_faults(cluster.log.address, json!({})).await;
    eventually("the call is voided", async || {
        call.send(&cluster, 0).await.is_error("key_void", "not_run")
    })
    .await;
    assert_eq!(cluster.executions(&call.key).await, 0);
}
