//! A call is executed at most once, whatever fails between the caller and the endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use almondpath::clock::{Clock, Millis};
use almondpath::ledger::{Action, Blob, Call, Digest, Key, MAX_ENTRIES, MAX_STORED_RESPONSE_BYTES};
use almondpath::log::writer::{self, Encode as _};
use almondpath::log::{self, Service as _};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::call_harness::{Contribution, Response, new_contribution};
use crate::harness::Cluster;

/// Retries a call until it succeeds or has the verdict "not run", and checks each response against
/// the number of executions.
pub(crate) async fn call_until_final(
    cluster: &Cluster,
    call: &Contribution,
    nodes: &[usize],
) -> Response {
    for round in 0..16 {
        let response = call.send(cluster, nodes[round % nodes.len()]).await;
        let executions = cluster.executions(&call.key).await;
        assert!(
            executions <= 1,
            "{executions} executions after {response:?}"
        );
        if response.verdict.as_deref() == Some("not_run") {
            assert_eq!(executions, 0, "{response:?}");
        }
        if response.is_success() || response.verdict.as_deref() == Some("not_run") {
            return response;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    panic!("no final response for {call:?}");
}

/// Guards against a node that acts on the response of an append instead of the order of the records
/// in the log.
#[tokio::test(flavor = "multi_thread")]
async fn appends_that_are_lost_late_or_repeated_execute_once() {
    struct Case {
        name: &'static str,
        log: Value,
    }
    let cases = [
        Case {
            name: "the response is lost after the append took effect",
            log: json!({ "lose_responses": 1 }),
        },
        Case {
            name: "the append takes effect after an error",
            log: json!({ "late_ms": 300, "late": 2 }),
        },
        Case {
            name: "the append takes effect after its writer gave up",
            log: json!({ "late_ms": 2_600, "late": 2 }),
        },
        Case {
            name: "the same append twice",
            log: json!({ "duplicate": 3 }),
        },
        Case {
            name: "a slow log",
            log: json!({ "delay_ms": 400 }),
        },
    ];
    let cluster = Cluster::start(2, 0, 1).await;
    cluster.await_calls_ready().await;
    for case in cases {
        let call = new_contribution();
        cluster.set_faults(cluster.log.address, case.log).await;
        let response = call_until_final(&cluster, &call, &[0, 1]).await;
        cluster.set_faults(cluster.log.address, json!({})).await;
        assert!(response.is_success(), "{}: {response:?}", case.name);
        let again = call_until_final(&cluster, &call, &[1]).await;
        assert_eq!(again, response, "{}: another response", case.name);
    }
}

/// Guards against a call that several nodes send, because they received it with the same key at the
/// same time.
#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_all_nodes_at_once_executes_once() {
    let cluster = Cluster::start(3, 0, 2).await;
    cluster.await_calls_ready().await;
    for _ in 0..20 {
        let call = new_contribution();
        let responses =
            futures::future::join_all((0..3).map(|node| call.send(&cluster, node))).await;
        assert_eq!(cluster.executions(&call.key).await, 1);
        let first = responses
            .iter()
            .find(|a| a.is_success())
            .expect("one call succeeds");
        for response in &responses {
            assert!(response == first || response.verdict.as_deref() == Some("may_have_run"));
        }
    }
}

/// Guards against a node that sends a call after its process was paused, when another node has
/// received the same key in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_writer_does_not_send_late() {
    let cluster = Cluster::start(2, 0, 1).await;
    cluster.await_calls_ready().await;
    let call = new_contribution().deadline(20_000);
    cluster
        .set_faults(cluster.log.address, json!({ "delay_ms": 900 }))
        .await;
    let paused = async {
        tokio::time::sleep(Duration::from_millis(450)).await;
        cluster.nodes[0].process.signal(libc::SIGSTOP);
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        cluster.set_faults(cluster.log.address, json!({})).await;
        let other = call.send(&cluster, 1).await;
        let unsent = cluster.executions(&call.key).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster.nodes[0].process.signal(libc::SIGCONT);
        (other, unsent)
    };
    let (first, (other, unsent)) = tokio::join!(call.send(&cluster, 0), paused);
    assert!(other.is_error("conflict", "may_have_run"), "{other:?}");
    assert_eq!(unsent, 0, "the pause began after the call was sent");
    assert!(!first.is_success(), "the claim to send outlived the pause");
    let response = call_until_final(&cluster, &call, &[1, 0]).await;
    assert!(
        response.is_success() || response.is_error("key_void", "not_run"),
        "{response:?}"
    );
}

/// Guards against a second execution, or a wrong "not run", when the node that handles the call is
/// killed at any step.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_leaves_at_most_one_execution() {
    struct Case {
        name: &'static str,
        log: Value,
        plain: Value,
        after_ms: u64,
    }
    let case = |name, log, plain, after_ms| Case {
        name,
        log,
        plain,
        after_ms,
    };
    let cases = [
        case(
            "append in flight",
            json!({ "delay_ms": 400 }),
            json!({}),
            200,
        ),
        case(
            "append late",
            json!({ "late_ms": 600, "late": 2 }),
            json!({}),
            300,
        ),
        case("sent", json!({}), json!({ "delay_ms": 800 }), 300),
        case("answered", json!({}), json!({}), 300),
    ];
    let mut cluster = Cluster::start_with(2, 0, 1, "dispatch_bound_ms: 700\n").await;
    for Case {
        name,
        log,
        plain,
        after_ms,
    } in cases
    {
        cluster.await_calls_ready().await;
        cluster.set_faults(cluster.log.address, log).await;
        cluster.set_faults(cluster.plains[0].address, plain).await;
        let call = new_contribution();
        let sending = call.send(&cluster, 0);
        // Ends before the timeout only in the case "answered".
        let _ = tokio::time::timeout(Duration::from_millis(after_ms), sending).await;
        cluster.nodes[0].process.kill();
        cluster.set_faults(cluster.log.address, json!({})).await;
        cluster
            .set_faults(cluster.plains[0].address, json!({}))
            .await;
        let response = call.send(&cluster, 1).await;
        let verdict = response.verdict.as_deref();
        assert!(
            response.is_success() || verdict == Some("may_have_run"),
            "{name}"
        );
        assert!(cluster.executions(&call.key).await <= 1, "{name}");
        cluster.restart(0);
    }
}

/// Guards against a retry by the node after the endpoint's response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_not_repeated() {
    let cluster = Cluster::start(2, 0, 2).await;
    cluster.await_calls_ready().await;
    for plain in &cluster.plains {
        cluster
            .set_faults(plain.address, json!({ "lose_responses": 1 }))
            .await;
    }
    let call = new_contribution().deadline(700);
    for node in [0, 1, 0] {
        let response = call.send(&cluster, node).await;
        assert_eq!(
            response.verdict.as_deref(),
            Some("may_have_run"),
            "{response:?}"
        );
        assert_eq!(cluster.executions(&call.key).await, 1);
    }
}

/// Guards against "may have run" although the service's status route reports the outcome, and
/// against a lookup that claims an outcome which the service does not report.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_route_resolves_an_unknown_outcome() {
    struct Case {
        name: &'static str,
        /// Whether the service's status route reports outcomes.
        reports_outcomes: bool,
        /// Whether the node that sent the call is killed; otherwise it looks the outcome up itself.
        kill: bool,
        deadline: u64,
        resolved: bool,
    }
    let cases = [
        Case {
            name: "the owner is killed after the execution",
            reports_outcomes: true,
            kill: true,
            deadline: 10_000,
            resolved: true,
        },
        Case {
            name: "the owner is killed and the service reports nothing",
            reports_outcomes: false,
            kill: true,
            deadline: 10_000,
            resolved: false,
        },
        Case {
            name: "the response is late and the deadline passes",
            reports_outcomes: true,
            kill: false,
            deadline: 700,
            resolved: true,
        },
    ];
    let mut cluster = Cluster::start_with(2, 0, 1, "dispatch_bound_ms: 700\n").await;
    let text = include_str!("../../examples/dev/config.yaml");
    let text = text.replace(
        "deadline_ms: 10000",
        "deadline_ms: 10000, status_route: balance",
    );
    let file = cluster.directory.path().join("config.yaml");
    std::fs::write(&file, text).expect("the configuration can be written");
    cluster.publish(file.to_str().expect("a UTF-8 path")).await;
    // A configuration may take up to 8 s to reach every node; here it takes much less, or the node
    // reads it when it restarts.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let plain = cluster.plains[0].address;
    for case in cases {
        cluster.await_calls_ready().await;
        let faults = json!({ "lose_responses": 1, "states_outcomes": case.reports_outcomes });
        cluster.set_faults(plain, faults).await;
        let call = new_contribution().deadline(case.deadline);
        let sending = call.send(&cluster, 0);
        let first = tokio::time::timeout(Duration::from_millis(1_500), sending).await;
        if case.kill {
            assert!(first.is_err(), "{}: {first:?}", case.name);
            cluster.nodes[0].process.kill();
        }
        cluster.await_execution(&call).await;
        for node in [1, 1] {
            let response = call.send(&cluster, node).await;
            assert_eq!(
                response.is_success(),
                case.resolved,
                "{}: {response:?}",
                case.name
            );
            if !case.resolved {
                assert_eq!(response.verdict.as_deref(), Some("may_have_run"));
            }
        }
        assert_eq!(cluster.executions(&call.key).await, 1, "{}", case.name);
        cluster.set_faults(plain, json!({})).await;
        if case.kill {
            cluster.restart(0);
        }
    }
}

/// Guards against the HTTP client's automatic retry of a request whose connection the endpoint
/// closes, and against the use of a pooled connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_closed_connection_is_not_retried() {
    let cluster = Cluster::start(1, 0, 1).await;
    cluster.await_calls_ready().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    // Responds to polls of load reports and keeps those connections open; closes the connection of
    // a call without a response.
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                while let Ok(read @ 1..) = stream.read(&mut buffer).await {
                    if buffer[..read].starts_with(b"POST") {
                        count.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                    let _ = stream.write_all(response).await;
                }
            });
        }
    });
    let mut hosts = cluster.hosts();
    hosts[0].address = address;
    cluster.put_hosts(&hosts).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let call = new_contribution();
    for _ in 0..3 {
        let response = call.send(&cluster, 0).await;
        assert_eq!(
            response.verdict.as_deref(),
            Some("may_have_run"),
            "{response:?}"
        );
        assert_eq!(requests.load(Ordering::SeqCst), 1);
    }
}

/// Guards against a key whose state is lost when the log drops its records or all nodes restart.
#[tokio::test(flavor = "multi_thread")]
async fn retention_and_a_restart_of_all_nodes_forget_nothing() {
    let settings = "checkpoint_records: 20\ncheckpoint_interval_ms: 3000\n";
    let mut cluster = Cluster::start_with(2, 0, 1, settings).await;
    cluster.await_calls_ready().await;
    let first = new_contribution();
    let response = first.send(&cluster, 0).await;
    assert!(response.is_success());
    cluster
        .set_faults(cluster.log.address, json!({ "keep": 150 }))
        .await;
    for round in 0..60 {
        assert!(
            new_contribution()
                .send(&cluster, round % 2)
                .await
                .is_success()
        );
    }
    for node in &mut cluster.nodes {
        node.process.kill();
    }
    cluster.restart(0);
    cluster.restart(1);
    cluster.await_calls_ready().await;
    for node in [0, 1] {
        assert_eq!(first.send(&cluster, node).await, response);
    }
    assert_eq!(cluster.executions(&first.key).await, 1);
}

/// Guards against an accepted call that never runs because its node is gone.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_call_of_a_lost_node_is_taken_over() {
    let cluster = Cluster::start(3, 0, 1).await;
    cluster.await_calls_ready().await;
    let call = new_contribution();
    let now = Clock::system().wall();
    let accept = Action::Accept {
        key: Key::parse(&call.key).expect("a key"),
        digest: Digest::of("demo", "contribution", b"{}"),
        call: Box::new(Call {
            account: "demo".into(),
            route: "contribution".into(),
            deadline: now + Millis(20_000),
            body: Some(Blob("{}".into())),
        }),
        horizon: Millis::ZERO,
    };
    let writer = writer::Key {
        incarnation: 1,
        sequence: 1,
    };
    let log = log::Client::new(cluster.log.address);
    let appended = log.append("calls-0", vec![accept.encode(writer, now)]);
    appended.await.expect("the log service responds");
    cluster.await_execution(&call).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for node in 0..3 {
        assert!(call.send(&cluster, node).await.is_success());
    }
    assert_eq!(cluster.executions(&call.key).await, 1);
}

/// Guards against a call that is left without an outcome when its caller disconnects, so that the
/// key stays at "may have run" or is executed again when the caller retries.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_caller_disconnects_ends_with_an_outcome() {
    struct Case {
        name: &'static str,
        log_ms: u64,
        plain_ms: u64,
        sent: bool,
    }
    let cases = [
        Case {
            name: "while it is recorded",
            log_ms: 400,
            plain_ms: 0,
            sent: false,
        },
        Case {
            name: "while it is executed",
            log_ms: 0,
            plain_ms: 1_000,
            sent: true,
        },
    ];
    let cluster = Cluster::start(2, 0, 1).await;
    for case in cases {
        cluster.await_calls_ready().await;
        let faults = json!({ "delay_ms": case.log_ms });
        cluster.set_faults(cluster.log.address, faults).await;
        let faults = json!({ "delay_ms": case.plain_ms });
        cluster.set_faults(cluster.plains[0].address, faults).await;
        let call = new_contribution();
        let disconnects = async {
            if case.sent {
                cluster.await_execution(&call).await;
            } else {
                tokio::time::sleep(Duration::from_millis(150)).await;
            }
        };
        tokio::select! {
            response = call.send(&cluster, 0) => panic!("{}: {response:?}", case.name),
            () = disconnects => {}
        }
        // No attempt is made with the key until it was executed.
        cluster.await_execution(&call).await;
        cluster.set_faults(cluster.log.address, json!({})).await;
        cluster
            .set_faults(cluster.plains[0].address, json!({}))
            .await;
        let response = call_until_final(&cluster, &call, &[1]).await;
        assert!(response.is_success(), "{}: {response:?}", case.name);
        assert_eq!(response.body["execution"], 1, "{}", case.name);
        for node in [0, 1] {
            assert_eq!(call.send(&cluster, node).await, response, "{}", case.name);
        }
        assert_eq!(cluster.executions(&call.key).await, 1, "{}", case.name);
    }
}

/// Guards against a key that is looked up, or restored, in a different stream from the one in which
/// it was recorded.
#[tokio::test(flavor = "multi_thread")]
async fn several_streams_execute_a_key_once() {
    const KEYS_PER_STREAM: usize = 4;
    for shards in [2, 4] {
        let settings = format!("call_shards: {shards}\n");
        let mut cluster = Cluster::start_with(3, 0, 2, &settings).await;
        cluster.await_calls_ready().await;
        let mut calls = Vec::new();
        for shard in 0..shards {
            let in_shard = std::iter::repeat_with(new_contribution)
                .filter(|call| Key::parse(&call.key).expect("a key").shard(shards) == shard);
            calls.extend(in_shard.take(KEYS_PER_STREAM));
        }
        let mut first = Vec::new();
        for call in &calls {
            let all = (0..3).map(|node| call.send(&cluster, node));
            let responses = futures::future::join_all(all).await;
            assert_eq!(cluster.executions(&call.key).await, 1, "{responses:?}");
            let response = responses.iter().find(|response| response.is_success());
            first.push(response.expect("one call succeeds").clone());
        }
        cluster
            .await_streams("each stream has entries", |stream| {
                stream["entries"].as_u64() >= Some(KEYS_PER_STREAM as u64)
            })
            .await;
        for node in &mut cluster.nodes {
            node.process.kill();
        }
        (0..3).for_each(|node| cluster.restart(node));
        cluster.await_calls_ready().await;
        for (call, response) in calls.iter().zip(&first) {
            for node in 0..3 {
                assert_eq!(call.send(&cluster, node).await, *response);
            }
            assert_eq!(cluster.executions(&call.key).await, 1);
        }
    }
}

/// Guards against a call that is executed again because its response was too large to store.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_beyond_the_limit_is_not_replaced_by_a_second_execution() {
    struct Case {
        name: &'static str,
        padding: usize,
        /// Whether the response is small enough to be stored.
        stored: bool,
    }
    let cases = [
        Case {
            name: "below the limit",
            padding: MAX_STORED_RESPONSE_BYTES - 256,
            stored: true,
        },
        Case {
            name: "above the limit",
            padding: MAX_STORED_RESPONSE_BYTES,
            stored: false,
        },
    ];
    let mut cluster = Cluster::start(2, 0, 1).await;
    for case in cases {
        cluster.await_calls_ready().await;
        let faults = json!({ "padding": case.padding });
        cluster.set_faults(cluster.plains[0].address, faults).await;
        let call = new_contribution();
        let response = call.send(&cluster, 0).await;
        assert!(response.is_success(), "{}: {response:?}", case.name);
        let padding = response.body["padding"].as_str().map(str::len);
        assert_eq!(padding, Some(case.padding), "{}", case.name);
        cluster.await_calls_ready().await;
        for node in &mut cluster.nodes {
            node.process.kill();
        }
        for node in [0, 1] {
            cluster.restart(node);
        }
        cluster.await_calls_ready().await;
        for node in [0, 1] {
            let again = call.send(&cluster, node).await;
            if case.stored {
                assert_eq!(again, response, "{}", case.name);
            } else {
                assert!(
                    again.is_error("response_gone", "ran"),
                    "{}: {again:?}",
                    case.name
                );
            }
        }
        assert_eq!(cluster.executions(&call.key).await, 1, "{}", case.name);
    }
}

/// Guards against a full table that evicts keys, and against "not run" for a key that it can't
/// hold.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_table_refuses_new_keys_and_forgets_none() {
    const BATCH: usize = 4_096;
    let settings = "checkpoint_records: 1000000\n";
    let cluster = Cluster::start_with(2, 0, 1, settings).await;
    cluster.await_calls_ready().await;
    let known = new_contribution();
    let response = known.send(&cluster, 0).await;
    assert!(response.is_success());
    let log = log::Client::new(cluster.log.address).with_timeout(Millis(10_000));
    let now = Clock::system().wall();
    let digest = Digest::of("demo", "contribution", b"{}");
    let records: Vec<_> = (1..=MAX_ENTRIES as u64)
        .map(|sequence| {
            let writer = writer::Key {
                incarnation: 1,
                sequence,
            };
            let void = Action::Void {
                key: Key::new(now, sequence << 8),
                digest,
                horizon: Millis::ZERO,
            };
            void.encode(writer, now)
        })
        .collect();
    for batch in records.chunks(BATCH) {
        let appended = log.append("calls-0", batch.to_vec()).await;
        appended.expect("the log service responds");
    }
    cluster
        .await_streams("the table is full", |stream| {
            stream["entries"].as_u64() >= Some(MAX_ENTRIES as u64)
        })
        .await;
    for node in [0, 1] {
        let call = new_contribution();
        let refused = call.send(&cluster, node).await;
        assert!(
            refused.is_error("overloaded", "may_have_run"),
            "{refused:?}"
        );
        assert!(refused.body["retry_after_ms"].is_u64(), "{refused:?}");
        assert_eq!(cluster.executions(&call.key).await, 0);
        assert_eq!(known.send(&cluster, node).await, response);
    }
    assert_eq!(cluster.executions(&known.key).await, 1);
}
