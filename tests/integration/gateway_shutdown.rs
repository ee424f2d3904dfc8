//! Gateway processes that shut down: what they still accept, and how each request ends.

use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::gateway::{Departure, RetryPolicy};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::harness::eventually;
use crate::platform::{Behaviour, Caller, Deployment, Engine, Request, Response, config};

/// Time between SIGTERM and SIGKILL, `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// A deadline that lies behind the end of the grace period.
const LONG_DEADLINE_MS: u64 = 15_000;

/// The configuration of the test double, with timeouts longer than the grace period.
fn patient_config() -> Value {
    let mut patient = config(1);
    for route in patient["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(LONG_DEADLINE_MS);
        route["gap_target_ms"] = json!(4_000);
    }
    patient["limits"]["idle_timeout_ms"] = json!(30_000);
    patient
}

/// Starts a gateway whose plain service and event streams behave like this.
async fn start(app: Behaviour, llm: Behaviour) -> Deployment {
    let engines = vec![
        Engine::start("e0", "app", app).await,
        Engine::start("e1", "llm", llm).await,
    ];
    Deployment::start_with(1, engines, &patient_config()).await
}

fn patient(path: &'static str) -> Request {
    Request {
        deadline_ms: LONG_DEADLINE_MS,
        ..Request::new(path)
    }
}

/// Guards against a request that is taken although the node may end before it, and against one that is
/// declined although it can be answered.
#[test]
fn a_request_is_taken_if_it_can_be_answered_or_sent_again() {
    struct Case {
        policy: RetryPolicy,
        /// Time of the decision and deadline after the start of the shutdown, in ms.
        now: u64,
        deadline: u64,
        taken: bool,
    }
    let case = |policy, now, deadline, taken| Case {
        policy,
        now,
        deadline,
        taken,
    };
    let cases = [
        case(RetryPolicy::Never, 0, 7_400, true),
        case(RetryPolicy::Never, 0, 7_401, false),
        case(RetryPolicy::Never, 7_000, 7_300, true),
        case(RetryPolicy::Idempotent, 0, 15_000, true),
        case(RetryPolicy::Idempotent, 2_499, 15_000, true),
        case(RetryPolicy::Idempotent, 2_500, 15_000, false),
        case(RetryPolicy::Resume, 2_500, 15_000, false),
        case(RetryPolicy::Resume, 2_500, 7_400, true),
    ];
    let started = Millis(1_000);
    let departure = Departure::new(started, Millis(8_000));
    for Case {
        policy,
        now,
        deadline,
        taken,
    } in cases
    {
        let (now, deadline) = (started + Millis(now), started + Millis(deadline));
        let name = format!("{policy:?} at {now}, due at {deadline}");
        assert_eq!(departure.may_take(policy, deadline, now), taken, "{name}");
    }
}

/// Guards against a shutdown whose steps are out of order because the grace period is short.
#[test]
fn a_short_grace_period_keeps_the_order_of_the_steps() {
    for grace in [1_000, 2_000, 4_000, 30_000] {
        let departure = Departure::new(Millis(500), Millis(grace));
        let steps = [
            departure.closes_at(),
            departure.answers_at(),
            departure.exits_at(),
        ];
        assert!(steps.is_sorted(), "{grace}: {steps:?}");
        assert!(steps[2] < Millis(500 + grace), "{grace}: {steps:?}");
    }
}

/// Returns how often the endpoints ran the request of this response.
fn runs(deployment: &Deployment, response: &Response) -> usize {
    let received = deployment.engines.iter().flat_map(Engine::received);
    received
        .filter(|request| request.ran)
        .filter(|request| request.header("x-almondpath-attempt-id") == Some(&response.id))
        .count()
}

/// Guards against a request that is taken although it may not end before the process does, and is cut
/// with no response: one that must not be repeated, and one whose body arrives late.
#[tokio::test]
async fn a_leaving_node_takes_no_request_that_it_may_have_to_cut() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// Time from SIGTERM to the head of the request, and to the end of its body, in ms.
        head: u64,
        body: u64,
        deadline_ms: u64,
        /// Whether the request runs.
        taken: bool,
    }
    let cases = [
        Case {
            name: "unsafe, at once",
            path: "/unsafe/x",
            head: 50,
            body: 50,
            deadline_ms: LONG_DEADLINE_MS,
            taken: false,
        },
        Case {
            name: "unsafe, in time",
            path: "/unsafe/x",
            head: 50,
            body: 50,
            deadline_ms: 3_000,
            taken: true,
        },
        Case {
            name: "a stream that can't be resumed",
            path: "/stream/x",
            head: 50,
            body: 50,
            deadline_ms: LONG_DEADLINE_MS,
            taken: false,
        },
        Case {
            name: "safe, at once",
            path: "/safe/x",
            head: 50,
            body: 50,
            deadline_ms: LONG_DEADLINE_MS,
            taken: true,
        },
        Case {
            name: "safe, with a late body",
            path: "/safe/x",
            head: 1_500,
            body: 6_500,
            deadline_ms: LONG_DEADLINE_MS,
            taken: false,
        },
        Case {
            name: "unsafe, with a late body",
            path: "/unsafe/x",
            head: 1_500,
            body: 6_500,
            deadline_ms: 6_000,
            taken: false,
        },
        Case {
            name: "a stream with a late body",
            path: "/resumed/x",
            head: 1_500,
            body: 6_500,
            deadline_ms: LONG_DEADLINE_MS,
            taken: false,
        },
    ];
    let play = async |case: Case| {
        let deployment = start(Behaviour::Respond(200, 500), Behaviour::Stream(10, 150)).await;
        let stream = TcpStream::connect(deployment.gateways[0].front).await;
        let (mut reader, mut writer) = stream.expect("a connection").into_split();
        deployment.gateways[0].signal(libc::SIGTERM);
        sleep(Duration::from_millis(case.head)).await;
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-one\r\n\
             X-Almondpath-Attempt-Id: late\r\nX-Almondpath-Deadline-Ms: {}\r\n\
             Content-Length: 4\r\n\r\nbo",
            case.path, case.deadline_ms
        );
        writer.write_all(head.as_bytes()).await.expect("open");
        sleep(Duration::from_millis(case.body - case.head)).await;
        // The node may have declined and closed the connection by now.
        let _ = writer.write_all(b"dy").await;
        let mut response = Vec::new();
        let _ = reader.read_to_end(&mut response).await;
        let text = String::from_utf8_lossy(&response).into_owned();
        let received = deployment.engines.iter().flat_map(Engine::received);
        (case.name, case.taken, text, received.count())
    };
    let results = futures::future::join_all(cases.map(play)).await;
    for (name, taken, text, received) in results {
        assert_eq!(received > 0, taken, "{name}: {text}");
        let status = if taken { "200" } else { "503" };
        assert!(
            text.starts_with(&format!("HTTP/1.1 {status}")),
            "{name}: {text:?}"
        );
        let lower = text.to_lowercase();
        assert!(lower.contains("connection: close"), "{name}: {text}");
        assert!(taken || lower.contains("retry-after: "), "{name}: {text}");
    }
}

/// Guards against requests that are cut in silence because they still run at the end of the grace
/// period, and against a response which says of them that they have not run.
#[tokio::test]
async fn requests_that_outlast_the_grace_period_are_answered() {
    let mut deployment = start(Behaviour::Hang, Behaviour::Hang).await;
    let caller = Caller(deployment.gateways[0].front);
    let open: Vec<_> = ["/unsafe/x", "/safe/x", "/stream/x", "/resumed/x"]
        .into_iter()
        .map(|path| tokio::spawn(async move { caller.send(&patient(path)).await }))
        .collect();
    sleep(Duration::from_millis(300)).await;
    let stopped = Instant::now();
    deployment.gateways[0].signal(libc::SIGTERM);
    for request in open {
        let response = request.await.expect("no panic").expect("a response");
        assert_eq!(
            (response.status, response.complete),
            (502, true),
            "{response:?}"
        );
        assert_eq!(runs(&deployment, &response), 1, "{response:?}");
        assert!(stopped.elapsed() > GRACE / 2, "{:?}", stopped.elapsed());
    }
    eventually("the process exits", async || {
        deployment.gateways[0].exited_successfully() == Some(true)
    })
    .await;
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    let lines = deployment.gateways[0].log_lines("request", None);
    let outcomes: Vec<_> = lines.iter().map(|line| &line["outcome"]).collect();
    assert_eq!(outcomes, [&json!("interrupted"); 4], "{lines:?}");
}

/// Guards against a stream that is cut although it ends within the grace period, and against an
/// outcome of a longer one that is not logged.
#[tokio::test]
async fn streams_last_until_the_end_of_the_grace_period() {
    let mut deployment = start(Behaviour::Hang, Behaviour::Stream(20, 300)).await;
    let caller = Caller(deployment.gateways[0].front);
    let short = tokio::spawn(async move { caller.send(&patient("/stream/x")).await });
    sleep(Duration::from_millis(300)).await;
    deployment.engines[1].set_behaviour(Behaviour::Stream(100, 300));
    let long = tokio::spawn(async move { caller.send(&patient("/resumed/x")).await });
    sleep(Duration::from_millis(300)).await;
    deployment.gateways[0].signal(libc::SIGTERM);
    let short = short.await.expect("no panic").expect("a response");
    assert!(short.complete, "{short:?}");
    let long = long.await.expect("no panic").expect("a response");
    assert!(!long.complete, "{long:?}");
    assert!(long.took > GRACE * 5 / 6, "{:?}", long.took);
    eventually("the process exits", async || {
        deployment.gateways[0].exited_successfully() == Some(true)
    })
    .await;
    let lines = deployment.gateways[0].log_lines("request", Some(&long.id));
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0]["outcome"], "cut", "{lines:?}");
}

/// Guards against requests on a kept connection, or on new ones, that get no response although the
/// node read them, at any time of a shutdown.
#[tokio::test]
async fn every_request_read_during_a_shutdown_gets_a_response() {
    let deployment = start(Behaviour::Respond(200, 100), Behaviour::Stream(5, 20)).await;
    let front = deployment.gateways[0].front;
    let kept = Caller(front).connect().await;
    let mut kept = kept.expect("a connection");
    assert!(kept.send(&Request::new("/unsafe/x")).await.is_some());
    let first_runs = deployment.engines[0].ran();
    deployment.gateways[0].signal(libc::SIGTERM);
    let stopped = Instant::now();
    let mut served = 0;
    let mut last_served = Duration::ZERO;
    while stopped.elapsed() < GRACE {
        let request = patient("/safe/x");
        let Some(response) = Caller(front).send(&request).await else {
            break;
        };
        assert!(response.complete, "{response:?}");
        // Until the node stops accepting connections, it may decline what arrives on them.
        if response.status == 503 {
            assert!(response.body.contains("leaving"), "{response:?}");
            continue;
        }
        assert_eq!(response.status, 200, "{response:?}");
        served += 1;
        last_served = stopped.elapsed();
        if served == 1 {
            let response = kept.send(&patient("/safe/x")).await.expect("a response");
            assert_eq!(response.headers["connection"], "close", "{response:?}");
            assert!(kept.send(&Request::new("/safe/x")).await.is_none());
        }
    }
    assert!(last_served > Duration::from_secs(2), "{last_served:?}");
    assert_eq!(deployment.engines[0].ran(), first_runs + served + 1);
}
