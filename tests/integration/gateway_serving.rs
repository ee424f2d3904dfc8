//! Gateway processes: configuration, API keys, leaving endpoints, shutdown, duties and logs.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::eventually;
use crate::platform::{Behaviour, Caller, Deployment, Engine, Request, config};

const OK: Behaviour = Behaviour::Respond(200, 0);

async fn engine_per_service(gateways: usize, behaviour: Behaviour) -> Deployment {
    let engines = vec![
        Engine::start("e0", "app", behaviour).await,
        Engine::start("e1", "llm", Behaviour::Stream(5, 1)).await,
    ];
    Deployment::start(gateways, engines).await
}

async fn status(deployment: &Deployment, gateway: usize, request: &Request) -> u16 {
    let response = deployment.gateways[gateway].send(request).await;
    response.map_or(0, |response| response.status)
}

/// Guards against admitting requests that the configuration does not allow, and refusing those it
/// does.
#[tokio::test]
async fn requests_are_admitted_by_the_newest_configuration() {
    let deployment = engine_per_service(1, OK).await;
    struct Case {
        name: &'static str,
        request: Request,
        status: u16,
    }
    let with_key = |key| Request {
        key,
        ..Request::new("/unsafe/x")
    };
    let cases = [
        Case {
            name: "proper",
            request: Request::new("/unsafe/x"),
            status: 200,
        },
        Case {
            name: "unknown key",
            request: with_key(Some("key-nobody")),
            status: 401,
        },
        Case {
            name: "no key",
            request: with_key(None),
            status: 401,
        },
        Case {
            name: "no route",
            request: Request::new("/nothing/x"),
            status: 404,
        },
        Case {
            name: "too large",
            request: Request {
                body: Box::leak("x".repeat(2_000).into_boxed_str()),
                ..Request::new("/unsafe/x")
            },
            status: 413,
        },
    ];
    for case in cases {
        assert_eq!(
            status(&deployment, 0, &case.request).await,
            case.status,
            "{}",
            case.name
        );
    }
    let received = deployment.engines[0].received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].header("x-almondpath-tenant"), Some("one"));
    assert_eq!(
        received[0].header("x-almondpath-expect-instance"),
        Some("e0")
    );
    assert_eq!(received[0].header("x-api-key"), None);
    assert_eq!(received[0].body, b"the body");

    let mut changed = config(9);
    changed["tenants"][0]["api_keys"] = json!(["key-new"]);
    changed["routes"][2]["path_prefix"] = json!("/moved/");
    deployment.store.put("keyed.op", "config", &changed);
    deployment.wait_for_propagation().await;
    assert_eq!(status(&deployment, 0, &Request::new("/safe/x")).await, 401);
    let moved = Request {
        key: Some("key-new"),
        ..Request::new("/moved/x")
    };
    assert_eq!(status(&deployment, 0, &moved).await, 200);

    // An older version is ignored.
    deployment.store.put("keyed.op", "config", &config(8));
    deployment.wait_for_propagation().await;
    assert_eq!(status(&deployment, 0, &moved).await, 200);
}

/// Guards against an account that gets more than its quota, and against a refusal without
/// `Retry-After`.
#[tokio::test]
async fn requests_over_the_quota_are_refused_before_they_run() {
    let deployment = engine_per_service(1, OK).await;
    let request = Request {
        key: Some("key-small"),
        ..Request::new("/unsafe/x")
    };
    let mut refused = 0;
    for _ in 0..6 {
        let response = deployment.gateways[0]
            .send(&request)
            .await
            .expect("a response");
        if response.status == 429 {
            refused += 1;
            assert!(response.headers.contains_key("retry-after"));
        }
    }
    assert!(refused >= 3, "{refused} of 6 refused");
    assert_eq!(deployment.engines[0].ran(), 6 - refused);
}

/// Guards against new requests at a leaving endpoint, also when its records have expired from the
/// log, and against losing the other endpoints with it.
#[tokio::test]
async fn an_endpoint_that_leaves_gets_no_new_work() {
    let engines = vec![
        Engine::start("e0", "app", OK).await,
        Engine::start("e1", "app", OK).await,
        Engine::start("e2", "app", OK).await,
    ];
    let deployment = Deployment::start(2, engines).await;
    let [draining, removed, stays] = &deployment.engines[..] else {
        panic!("three engines");
    };
    deployment
        .store
        .put("keyed.servers", "e0", &draining.entry("draining", 2));
    deployment.store.remove("keyed.servers", "e1");
    deployment.store.expire("keyed.servers");
    deployment.wait_for_propagation().await;
    let late = draining.entry("ready", 1);
    deployment.store.put("keyed.servers", "e0", &late);
    deployment.wait_for_propagation().await;
    let before = (draining.received().len(), removed.received().len());
    for number in 0..12 {
        assert_eq!(
            status(&deployment, number % 2, &Request::new("/safe/x")).await,
            200
        );
    }
    assert_eq!(
        (draining.received().len(), removed.received().len()),
        before
    );
    assert!(stays.received().len() >= 12);
}

/// Guards against new requests at an endpoint whose responses say that it leaves, while its entry in
/// the store still says that it is ready.
#[tokio::test]
async fn an_endpoint_that_leaves_by_its_responses_gets_no_new_work() {
    struct Case {
        name: &'static str,
        path: &'static str,
        service: &'static str,
        leaving: Behaviour,
    }
    let stream = Behaviour::Stream(3, 1);
    let case = |name, path, service, leaving| Case {
        name,
        path,
        service,
        leaving,
    };
    let cases = [
        case("a response", "/safe/x", "app", OK),
        case("a failure", "/unsafe/x", "app", Behaviour::Respond(500, 0)),
        case("a refusal", "/unsafe/x", "app", Behaviour::Decline),
        case("a stream", "/stream/x", "llm", stream),
    ];
    for case in cases {
        let good = if case.service == "llm" { stream } else { OK };
        let engines = vec![
            Engine::start("e0", case.service, good).await,
            Engine::start("e1", case.service, good).await,
        ];
        let deployment = Deployment::start(1, engines).await;
        let request = Request::new(case.path);
        // The choice between equal endpoints is deterministic, so a first request reveals it.
        status(&deployment, 0, &request).await;
        let (leaves, stays) = match &deployment.engines[..] {
            [e0, e1] if e1.received().is_empty() => (e0, e1),
            [e0, e1] => (e1, e0),
            _ => panic!("two engines"),
        };
        leaves.set_behaviour(case.leaving);
        leaves.add_header("Server-Leaving", "1");
        status(&deployment, 0, &request).await;
        assert_eq!(leaves.received().len(), 2, "{}", case.name);
        let entry = leaves.entry("ready", 9);
        deployment.store.put("keyed.servers", &leaves.id, &entry);
        deployment.wait_for_propagation().await;
        let (before, others) = (leaves.received().len(), stays.received().len());
        for _ in 0..8 {
            assert_eq!(status(&deployment, 0, &request).await, 200, "{}", case.name);
        }
        assert_eq!(leaves.received().len(), before, "{}", case.name);
        assert_eq!(stays.received().len(), others + 8, "{}", case.name);
    }
}

/// Guards against an endpoint that leaves some time after an outage of the store, and whose removal is
/// taken for an expiry during the outage, so that it keeps getting requests.
#[tokio::test]
async fn an_endpoint_that_leaves_soon_after_an_outage_gets_no_new_work() {
    let deployment = engine_per_service(2, OK).await;
    let engine = &deployment.engines[0];
    let down = crate::platform::Faults {
        down: true,
        ..Default::default()
    };
    deployment.store.set_faults(down);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment
        .store
        .set_faults(crate::platform::Faults::default());
    // Entries that expired are back within two seconds.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    deployment.store.remove("keyed.servers", &engine.id);
    deployment.wait_for_propagation().await;
    let before = engine.received().len();
    for number in 0..6 {
        let request = Request::new("/unsafe/x");
        assert_eq!(status(&deployment, number % 2, &request).await, 503);
    }
    assert_eq!(engine.received().len(), before);
}

/// Guards against closing a kept connection earlier than the idle timeout in force allows, while its
/// caller sends on it: after a change of the timeout, and after a stream longer than the timeout.
#[tokio::test]
async fn a_kept_connection_stays_open_within_the_idle_timeout() {
    struct Case {
        name: &'static str,
        /// Idle timeout when the connection opens, and later, in ms.
        timeouts: [u64; 2],
        path: &'static str,
        /// Pause before each of the five events of a stream, in ms.
        gap: u64,
        /// Time between the last response and the next request, in ms.
        idle: u64,
    }
    let cases = [
        Case {
            name: "raised",
            timeouts: [1_000, 4_000],
            path: "/safe/x",
            gap: 1,
            idle: 3_100,
        },
        Case {
            name: "lowered while idle",
            timeouts: [4_000, 1_000],
            path: "/safe/x",
            gap: 1,
            idle: 3_100,
        },
        Case {
            name: "a long stream",
            timeouts: [1_000, 1_000],
            path: "/stream/x",
            gap: 500,
            idle: 700,
        },
    ];
    let play = async |case: Case| {
        let engines = vec![
            Engine::start("e0", "app", OK).await,
            Engine::start("e1", "llm", Behaviour::Stream(5, case.gap)).await,
        ];
        let deployment = Deployment::start(1, engines).await;
        let set_timeout = |version: u64, timeout: u64| {
            let mut changed = config(version);
            changed["limits"]["idle_timeout_ms"] = json!(timeout);
            deployment.store.put("keyed.op", "config", &changed);
        };
        let [first, second] = case.timeouts;
        set_timeout(2, first);
        deployment.wait_for_propagation().await;
        let connection = Caller(deployment.gateways[0].front).connect().await;
        let mut connection = connection.expect("a connection");
        let request = Request::new(case.path);
        let mut answered = Vec::new();
        if second > first {
            set_timeout(3, second);
            for _ in 0..5 {
                tokio::time::sleep(Duration::from_millis(450)).await;
                answered.push(connection.send(&request).await.is_some());
            }
        } else {
            answered.push(connection.send(&request).await.is_some());
            set_timeout(3, second);
        }
        tokio::time::sleep(Duration::from_millis(case.idle)).await;
        answered.push(connection.send(&request).await.is_some());
        (case.name, answered)
    };
    let results = futures::future::join_all(cases.map(play)).await;
    let all_answered = results
        .iter()
        .all(|(_, answered)| !answered.contains(&false));
    assert!(all_answered, "{results:?}");
}

/// Guards against closing a kept connection on which a request waits, since the idle timeout passed
/// while the node itself did not run.
#[tokio::test]
async fn a_node_that_was_frozen_answers_the_requests_that_wait() {
    const CONNECTIONS: usize = 12;
    let deployment = engine_per_service(1, OK).await;
    let gateway = &deployment.gateways[0];
    let mut changed = config(2);
    changed["limits"]["idle_timeout_ms"] = json!(1_000);
    deployment.store.put("keyed.op", "config", &changed);
    deployment.wait_for_propagation().await;
    let request = Request::new("/safe/x");
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let connection = Caller(gateway.front).connect().await;
        let mut connection = connection.expect("a connection");
        assert!(connection.send(&request).await.is_some());
        connections.push(connection);
    }
    gateway.signal(libc::SIGSTOP);
    let resuming = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        gateway.signal(libc::SIGCONT);
    };
    let sending = connections
        .iter_mut()
        .map(|connection| connection.send(&request));
    let (responses, ()) = tokio::join!(futures::future::join_all(sending), resuming);
    let answered = responses.iter().flatten().count();
    assert_eq!(answered, CONNECTIONS);
}

/// Guards against a connection that stays open although its caller doesn't use it.
#[tokio::test]
async fn an_idle_connection_is_closed_after_the_timeout_in_force() {
    let deployment = engine_per_service(1, OK).await;
    let connection = Caller(deployment.gateways[0].front).connect().await;
    let mut connection = connection.expect("a connection");
    let request = Request::new("/safe/x");
    assert!(connection.send(&request).await.is_some());
    let mut changed = config(2);
    changed["limits"]["idle_timeout_ms"] = json!(1_000);
    deployment.store.put("keyed.op", "config", &changed);
    deployment.wait_for_propagation().await;
    assert!(connection.send(&request).await.is_some());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(connection.send(&request).await.is_none());
}

/// Guards against a refusal that is lost, or a kept connection that is reset, because the rest of the
/// request's body was not read.
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_still_sends_its_body() {
    struct Case {
        path: &'static str,
        key: &'static str,
        chunked: bool,
        /// Size of the body; it is sent in ten pieces.
        bytes: usize,
        /// Whether the caller asks for a go-ahead.
        expects: bool,
        statuses: &'static [u16],
    }
    let case = |path, key, chunked, bytes, statuses| Case {
        path,
        key,
        chunked,
        bytes,
        expects: false,
        statuses,
    };
    let cases = [
        case("/nothing/x", "key-one", false, 900, &[404, 200]),
        case("/nothing/x", "key-one", true, 900, &[404, 200]),
        case("/safe/x", "key-nobody", false, 900, &[401, 200]),
        case("/safe/x", "key-nobody", true, 900, &[401, 200]),
        case("/safe/x", "key-one", false, 1_900, &[413, 200]),
        case("/safe/x", "key-one", true, 1_900, &[413, 200]),
        Case {
            expects: true,
            ..case("/safe/x", "key-one", false, 1_900, &[100, 413, 200])
        },
    ];
    let deployment = engine_per_service(1, OK).await;
    let mut changed = config(2);
    // Shorter than it takes to send a body.
    changed["limits"]["idle_timeout_ms"] = json!(700);
    deployment.store.put("keyed.op", "config", &changed);
    deployment.wait_for_propagation().await;
    let front = deployment.gateways[0].front;
    let play = async |case: Case| {
        let name = format!(
            "{}-{}-{}-{}",
            case.path, case.key, case.chunked, case.expects
        );
        let stream = TcpStream::connect(front).await.expect("a connection");
        let (mut reader, mut writer) = stream.into_split();
        let head = |path, key, framing: String| {
            format!(
                "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: {key}\r\n\
                 X-Almondpath-Attempt-Id: {name}\r\n{framing}\r\n\r\n"
            )
        };
        let framing = match case.chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", case.bytes),
        };
        let framing = match case.expects {
            true => format!("Expect: 100-continue\r\n{framing}"),
            false => framing,
        };
        let mut pieces = vec![head(case.path, case.key, framing)];
        let piece = "x".repeat(case.bytes / 10);
        for _ in 0..10 {
            pieces.push(match case.chunked {
                true => format!("{:x}\r\n{piece}\r\n", piece.len()),
                false => piece.clone(),
            });
        }
        if case.chunked {
            pieces.push("0\r\n\r\n".to_owned());
        }
        pieces.push(head("/safe/x", "key-one", "Content-Length: 0".to_owned()));
        let writing = async {
            for piece in pieces {
                writer.write_all(piece.as_bytes()).await?;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Ok::<_, std::io::Error>(())
        };
        let reading = async {
            let mut received = Vec::new();
            let mut statuses = Vec::new();
            while statuses.len() < case.statuses.len()
                && reader.read_buf(&mut received).await.is_ok_and(|n| n > 0)
            {
                let text = String::from_utf8_lossy(&received).into_owned();
                let lines = text.split("HTTP/1.1 ").skip(1);
                statuses = lines.filter_map(|line| line[..3].parse().ok()).collect();
            }
            statuses
        };
        let (written, statuses) = tokio::join!(writing, reading);
        let written = written.map_err(|error| error.to_string());
        (name, written, statuses, case.statuses.to_vec())
    };
    let results = futures::future::join_all(cases.map(play)).await;
    for (name, written, statuses, expected) in &results {
        assert_eq!(
            (written, statuses),
            (&Ok(()), expected),
            "{name}: {results:?}"
        );
    }
}

/// Guards against reading the body of a refused request without end.
#[tokio::test]
async fn the_rest_of_a_refused_request_is_read_within_bounds() {
    let deployment = engine_per_service(1, OK).await;
    let front = deployment.gateways[0].front;
    let stream = TcpStream::connect(front).await.expect("a connection");
    let (mut reader, mut writer) = stream.into_split();
    let head = "POST /nothing/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000000\r\n\r\n";
    writer.write_all(head.as_bytes()).await.expect("open");
    let mut start = [0; 12];
    reader.read_exact(&mut start).await.expect("a refusal");
    assert_eq!(&start, b"HTTP/1.1 404");
    let endless = async { while writer.write_all(&[b'x'; 65_536]).await.is_ok() {} };
    let bounded = tokio::time::timeout(Duration::from_secs(4), endless).await;
    assert!(bounded.is_ok(), "the body is still being read");
}

/// Guards against a service that is refused as a whole after an outage of the store in which its
/// entries lapsed, however short the outage was.
#[tokio::test]
async fn endpoints_whose_entries_lapse_in_an_outage_keep_serving() {
    for outage in [1_000, 2_000, 3_600].map(Duration::from_millis) {
        let deployment = engine_per_service(2, OK).await;
        let engine = &deployment.engines[0];
        let down = crate::platform::Faults {
            down: true,
            ..Default::default()
        };
        deployment.store.set_faults(down);
        tokio::time::sleep(outage).await;
        deployment.store.remove("keyed.servers", &engine.id);
        deployment
            .store
            .set_faults(crate::platform::Faults::default());
        // Entries that lapsed are back within two seconds.
        for number in 0..20 {
            let status = status(&deployment, number % 2, &Request::new("/unsafe/x")).await;
            assert_eq!(
                status, 200,
                "request {number} after an outage of {outage:?}"
            );
            tokio::time::sleep(Duration::from_millis(80)).await;
        }
        let entry = engine.entry("ready", 9);
        deployment.store.put("keyed.servers", &engine.id, &entry);
        deployment.wait_for_propagation().await;
        for number in 0..6 {
            let status = status(&deployment, number % 2, &Request::new("/unsafe/x")).await;
            assert_eq!(status, 200, "request {number} after the entry is back");
        }
    }
}

/// Guards against requests that depend on the store.
#[tokio::test]
async fn requests_are_served_while_the_store_is_unavailable() {
    let deployment = engine_per_service(2, OK).await;
    for faults in [(true, false), (false, true)] {
        deployment.store.set_faults(crate::platform::Faults {
            hang: faults.0,
            down: faults.1,
            ..Default::default()
        });
        deployment.wait_for_propagation().await;
        for number in 0..6 {
            assert_eq!(
                status(&deployment, number % 2, &Request::new("/unsafe/x")).await,
                200
            );
        }
        assert_eq!(deployment.gateways[0].readiness().await, Some(200));
    }
}

/// Guards against a process that responds with 404 or 401 before it has a configuration.
#[tokio::test]
async fn a_node_without_a_configuration_responds_with_503() {
    let mut deployment = engine_per_service(1, OK).await;
    deployment.store.set_faults(crate::platform::Faults {
        down: true,
        ..Default::default()
    });
    deployment.gateways[0].kill();
    deployment.gateways[0].restart();
    eventually("the process responds", async || {
        status(&deployment, 0, &Request::new("/unsafe/x")).await == 503
    })
    .await;
    assert_eq!(deployment.gateways[0].readiness().await, Some(503));
    deployment
        .store
        .set_faults(crate::platform::Faults::default());
    eventually("the process is ready", async || {
        status(&deployment, 0, &Request::new("/unsafe/x")).await == 200
    })
    .await;
}

/// Guards against a node that starts while the store is unavailable and does not get the
/// configuration from the other nodes.
#[tokio::test]
async fn a_node_learns_configuration_and_endpoints_from_other_nodes() {
    let mut deployment = engine_per_service(2, OK).await;
    deployment.wait_for_propagation().await;
    deployment.store.set_faults(crate::platform::Faults {
        down: true,
        ..Default::default()
    });
    deployment.gateways[1].kill();
    deployment.gateways[1].restart();
    eventually("the second node serves", async || {
        status(&deployment, 1, &Request::new("/unsafe/x")).await == 200
    })
    .await;
}

/// Guards against requests lost in a planned shutdown, and against a process that does not exit.
#[tokio::test]
async fn a_planned_stop_loses_no_request() {
    let engines = vec![
        Engine::start("e0", "app", Behaviour::Respond(200, 300)).await,
        Engine::start("e1", "llm", Behaviour::Stream(30, 50)).await,
    ];
    let mut deployment = Deployment::start(2, engines).await;
    let caller = Caller(deployment.gateways[0].front);
    let open: Vec<_> = ["/resumed/x", "/stream/x", "/unsafe/x", "/safe/x"]
        .into_iter()
        .map(|path| tokio::spawn(async move { caller.send(&Request::new(path)).await }))
        .collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    deployment.gateways[0].signal(libc::SIGTERM);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(deployment.gateways[0].readiness().await, Some(503));
    let late = deployment.gateways[0]
        .send(&Request::new("/unsafe/x"))
        .await;
    let late = late.expect("a leaving node still accepts connections for a while");
    assert_eq!((late.status, late.complete), (200, true));
    assert_eq!(late.headers["connection"], "close");
    for request in open {
        let response = request.await.expect("no panic").expect("a response");
        assert!(response.complete && response.status == 200, "{response:?}");
    }
    eventually("the process exits", async || {
        deployment.gateways[0].exited_successfully() == Some(true)
    })
    .await;
    let listed = Caller(deployment.gateways[1].directory);
    let listed = listed
        .send(&Request::new("/api/resolve?name=h.example"))
        .await;
    let body = listed.expect("a response").body;
    let front = |index: usize| deployment.gateways[index].front.to_string();
    assert!(
        !body.contains(&front(0)) && body.contains(&front(1)),
        "{body}"
    );
}

/// Guards against a directory that lists nodes that are gone, or omits nodes that serve.
#[tokio::test]
async fn the_directory_lists_the_nodes_that_serve() {
    let mut deployment = engine_per_service(3, OK).await;
    let fronts: Vec<String> = deployment
        .gateways
        .iter()
        .map(|gateway| gateway.front.to_string())
        .collect();
    let directory = Caller(deployment.gateways[0].directory);
    let listed_nodes = async || {
        let response = directory
            .send(&Request::new("/api/resolve?name=h.example"))
            .await;
        let body = response.expect("a response").body;
        fronts
            .iter()
            .map(|front| body.contains(front))
            .collect::<Vec<_>>()
    };
    eventually("all nodes are listed", async || {
        listed_nodes().await == [true; 3]
    })
    .await;
    deployment.gateways[2].kill();
    eventually("the killed node is not listed", async || {
        listed_nodes().await == [true, true, false]
    })
    .await;
}

/// Guards against two different counts for one window, a fencing token that decreases, and requests
/// that are not counted.
#[tokio::test]
async fn usage_is_reported_once_across_duty_holders() {
    let mut deployment = engine_per_service(3, OK).await;
    let mut sent = 0;
    for round in 0..3 {
        for number in 0..30 {
            let gateway = number % 3;
            sent +=
                usize::from(status(&deployment, gateway, &Request::new("/unsafe/x")).await == 200);
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        if round == 1 {
            eventually("usage is reported", async || {
                !deployment.cloud.duty_calls().is_empty()
            })
            .await;
            let duties = deployment.cloud.duty_calls();
            let holder = duties.last().expect("a report").holder.clone();
            let held = deployment.gateways.iter().position(|g| g.name == holder);
            deployment.gateways[held.expect("a gateway")].kill();
        }
    }
    let total = || {
        let mut windows: BTreeMap<u64, u64> = BTreeMap::new();
        for duty in deployment.cloud.duty_calls() {
            let window = duty.body["window_id"].as_u64().expect("a window");
            let count = duty.body["counts"]["one"].as_u64().unwrap_or(0);
            let known = *windows.entry(window).or_insert(count);
            assert_eq!(known, count, "two counts for window {window}");
        }
        windows.values().sum::<u64>() as usize
    };
    eventually("all requests are reported", async || {
        // The last requests that the killed node counted may not have been reported to another
        // node.
        total() * 100 >= sent * 95
    })
    .await;
    assert!(total() <= sent);
    let duties = deployment.cloud.duty_calls();
    let holders: std::collections::BTreeSet<_> = duties.iter().map(|d| &d.holder).collect();
    assert_eq!(holders.len(), 2, "the duty moved to another node");
    for pair in duties.windows(2) {
        assert!(pair[0].fence <= pair[1].fence);
        assert_eq!(
            pair[0].fence == pair[1].fence,
            pair[0].holder == pair[1].holder
        );
    }
}

/// Guards against requests without a log line, or with more than one, that explains the outcome.
#[tokio::test]
async fn each_request_has_one_log_line() {
    let deployment = engine_per_service(1, OK).await;
    let mut responses = Vec::new();
    for path in ["/unsafe/x", "/safe/x", "/resumed/x", "/nothing/x"] {
        let response = deployment.gateways[0].send(&Request::new(path)).await;
        responses.push(response.expect("a response"));
    }
    let unknown = Request {
        key: None,
        ..Request::new("/safe/x")
    };
    responses.push(
        deployment.gateways[0]
            .send(&unknown)
            .await
            .expect("a response"),
    );
    let gateway = &deployment.gateways[0];
    for response in responses {
        eventually("the line is written", async || {
            !gateway.log_lines("request", Some(&response.id)).is_empty()
        })
        .await;
        let lines = gateway.log_lines("request", Some(&response.id));
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert_eq!(lines[0]["status"], response.status, "{lines:?}");
        assert_eq!(lines[0]["config"], 1, "{lines:?}");
    }
    assert_eq!(gateway.log_lines("starting", None).len(), 1);
    let metrics = Caller(gateway.metrics)
        .send(&Request::new("/metrics"))
        .await;
    assert!(
        metrics
            .expect("a response")
            .body
            .contains("almondpath_requests_total")
    );
}
