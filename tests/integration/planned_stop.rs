//! A planned stop interrupts no call.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use almondpath::client::{Client, Progress};
use almondpath::clock::Millis;
use almondpath::error::Error;
use serde_json::json;
use tokio::task::JoinSet;
use uuid::Uuid;

use crate::call_harness::new_contribution;
use crate::harness::{Cluster, Process};
use crate::streaming::Streaming;

/// Deadline of one call of the load, since a planned stop must not delay callers for long.
const CALL_DEADLINE: Millis = Millis(15_000);

/// Concurrent callers, each of which sends one call after the other until it is stopped.
struct Load {
    callers: JoinSet<Vec<String>>,
    stop: Arc<AtomicBool>,
    calls: Arc<AtomicUsize>,
}

impl Load {
    /// Starts callers that use all nodes. They call a model route, an idempotent route and a
    /// non-idempotent route.
    fn start(cluster: &Cluster, callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(AtomicUsize::new(0));
        let all: Vec<usize> = (0..cluster.nodes.len()).collect();
        let mut set = JoinSet::new();
        for index in 0..callers {
            let client = cluster.client(&all).with_deadline(CALL_DEADLINE);
            let (stop, calls) = (Arc::clone(&stop), Arc::clone(&calls));
            set.spawn(async move {
                let mut failures = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    if let Err(error) = call(&client, index).await {
                        failures.push(format!("caller {index}: {error}"));
                    }
                    calls.fetch_add(1, Ordering::SeqCst);
                }
                failures
            });
        }
        Self {
            callers: set,
            stop,
            calls,
        }
    }

    /// Stops the load and asserts that at least `min_calls` were made and none failed.
    async fn finish(self, min_calls: usize) {
        self.stop.store(true, Ordering::SeqCst);
        let failures: Vec<String> = self
            .callers
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect();
        let calls = self.calls.load(Ordering::SeqCst);
        println!("{calls} calls, {} failed", failures.len());
        assert!(failures.is_empty(), "{failures:#?}");
        assert!(calls >= min_calls, "only {calls} calls were made");
    }
}

async fn call(client: &Client, index: usize) -> Result<(), Error> {
    let key = Uuid::now_v7().to_string();
    let (route, key, body) = match index % 4 {
        0 => ("contribution", Some(key.as_str()), json!({})),
        1 => ("balance", None, json!({})),
        _ => (
            "question",
            None,
            json!({ "prompt": format!("caller {index}"), "max_tokens": 10 }),
        ),
    };
    let body = body.to_string().into();
    client.call(route, key, body, |_| ()).await.map(|_| ())
}

/// Guards against a stop that interrupts a response that takes longer than the drain limit, a call
/// in flight or a caller that reads slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_interrupts_nothing() {
    for second_signal in [false, true] {
        let mut cluster = Cluster::start_with(3, 2, 1, "drain_ms: 2500\n").await;
        let faults = json!({ "delay_ms": 1_500 });
        cluster.set_faults(cluster.plains[0].address, faults).await;
        let all = cluster.client(&[0, 1, 2]);
        let review = Streaming::start(all.clone(), "review", 500);
        review.wait_for_pieces(10).await;
        let owner = cluster.wait_for_holder("owner", &[]).await;
        let load = Load::start(&cluster, 8);
        let own = cluster.client(&[owner]);
        let contribution = tokio::spawn(async move {
            let key = Uuid::now_v7().to_string();
            own.call("contribution", Some(&key), "{}".into(), |_| ())
                .await
        });
        let slow_caller = tokio::spawn(async move {
            let body = json!({ "prompt": "slow", "max_tokens": 100 }).to_string();
            let mut text = String::new();
            let read = |part: Progress<'_>| {
                // Blocks the reading task, as a slow caller would.
                std::thread::sleep(Duration::from_millis(40));
                if let Progress::Text(piece) = part {
                    text.push_str(piece);
                }
            };
            all.call("summary", None, body.into(), read).await
        });
        tokio::time::sleep(Duration::from_millis(200)).await;
        let process = &mut cluster.nodes[owner].process;
        process.signal(libc::SIGTERM);
        if second_signal {
            tokio::time::sleep(Duration::from_millis(300)).await;
            process.signal(libc::SIGTERM);
        }
        assert!(process.wait().await, "the node ends without an error");
        review.assert_complete("review").await;
        contribution
            .await
            .expect("no panic")
            .expect("the call succeeds");
        slow_caller
            .await
            .expect("no panic")
            .expect("the slow caller gets the whole response");
        load.finish(20).await;
    }
}

/// Guards against a call that fails while all nodes are restarted, two at a time.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_nodes_fails_no_call() {
    let mut cluster = Cluster::start(8, 3, 1).await;
    let load = Load::start(&cluster, 16);
    for pair in 0..4 {
        let nodes = [pair, pair + 4];
        for node in nodes {
            cluster.nodes[node].process.signal(libc::SIGTERM);
        }
        for node in nodes {
            let node = &mut cluster.nodes[node];
            assert!(node.process.wait().await, "the node ends without an error");
            let settings = node.settings.to_str().expect("a UTF-8 path");
            node.process = Process::start(&["serve", settings]);
        }
        for node in nodes {
            cluster.await_ready(&cluster.nodes[node]).await;
        }
    }
    load.finish(200).await;
}

/// Guards against a call that a stopping node abandons: the caller gets no response, the outcome is
/// not recorded, or the call is executed again when the caller retries it.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_in_flight_at_a_stop_executes_once() {
    /// Longer than the time for which callers may use an old address, so that only the call keeps
    /// the node running.
    const EXECUTION_MS: u64 = 3_500;
    struct Case {
        name: &'static str,
        /// Delay of the log's responses, and thus of the call's record.
        log_ms: u64,
        /// Whether the signal is sent while the endpoint executes the call; otherwise it is sent
        /// while the call is being recorded.
        sent: bool,
        second_signal: bool,
    }
    let case = |name, log_ms, sent, second_signal| Case {
        name,
        log_ms,
        sent,
        second_signal,
    };
    let cases = [
        case("sent", 0, true, false),
        case("sent, second signal", 0, true, true),
        case("being recorded", 400, false, false),
        case("being recorded, second signal", 400, false, true),
    ];
    let mut cluster = Cluster::start(2, 0, 1).await;
    let (log, plain) = (cluster.log.address, cluster.plains[0].address);
    for case in cases {
        cluster.await_calls_ready().await;
        let delay = json!({ "delay_ms": EXECUTION_MS });
        cluster.set_faults(plain, delay).await;
        let delay = json!({ "delay_ms": case.log_ms });
        cluster.set_faults(log, delay).await;
        let call = new_contribution();
        let stop = async {
            if case.sent {
                cluster.await_execution(&call).await;
            } else {
                tokio::time::sleep(Duration::from_millis(150)).await;
            }
            let process = &cluster.nodes[0].process;
            process.signal(libc::SIGTERM);
            if case.second_signal {
                tokio::time::sleep(Duration::from_millis(200)).await;
                process.signal(libc::SIGTERM);
            }
        };
        let (response, ()) = tokio::join!(call.send(&cluster, 0), stop);
        assert!(response.is_success(), "{}: {response:?}", case.name);
        let ended = cluster.nodes[0].process.wait().await;
        assert!(ended, "{}: the node ends without an error", case.name);
        cluster.set_faults(plain, json!({})).await;
        cluster.set_faults(log, json!({})).await;
        let retried = call.send(&cluster, 1).await;
        assert_eq!(retried, response, "{}: another response", case.name);
        assert_eq!(cluster.executions(&call.key).await, 1, "{}", case.name);
        cluster.restart(0);
    }
}
