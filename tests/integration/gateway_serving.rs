//! Gateway processes: configuration, keys, departures, stops, duties and logs.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use crate::harness::eventually;
use crate::platform::{Ask, Behaviour, Caller, Deployment, Engine, config};

const ANSWER: Behaviour = Behaviour::Answer(200, 0);

async fn one_engine(gateways: usize, behaviour: Behaviour) -> Deployment {
    let engines = vec![
        Engine::start("e0", "app", behaviour).await,
        Engine::start("e1", "llm", Behaviour::Stream(5, 1)).await,
    ];
    Deployment::start(gateways, engines).await
}

async fn status(deployment: &Deployment, gateway: usize, ask: &Ask) -> u16 {
    let answer = deployment.gateways[gateway].send(ask).await;
    answer.map_or(0, |answer| answer.status)
}

/// Guards against requests that the configuration does not allow, and refusals of those it does.
#[tokio::test]
async fn requests_are_admitted_by_the_newest_configuration() {
    let deployment = one_engine(1, ANSWER).await;
    struct Case {
        name: &'static str,
        ask: Ask,
        status: u16,
    }
    let with_key = |key| Ask {
        key,
        ..Ask::new("/unsafe/x")
    };
    let cases = [
        Case {
            name: "proper",
            ask: Ask::new("/unsafe/x"),
            status: 200,
        },
        Case {
            name: "unknown key",
            ask: with_key(Some("key-nobody")),
            status: 401,
        },
        Case {
            name: "no key",
            ask: with_key(None),
            status: 401,
        },
        Case {
            name: "no route",
            ask: Ask::new("/nothing/x"),
            status: 404,
        },
        Case {
            name: "too large",
            ask: Ask {
                body: Box::leak("x".repeat(2_000).into_boxed_str()),
                ..Ask::new("/unsafe/x")
            },
            status: 413,
        },
    ];
    for case in cases {
        assert_eq!(
            status(&deployment, 0, &case.ask).await,
            case.status,
            "{}",
            case.name
        );
    }
    let got = deployment.engines[0].got();
    assert_eq!(got.len(), 1);
    assert_eq!(got[0].header("x-almondpath-tenant"), Some("one"));
    assert_eq!(got[0].header("x-almondpath-expect-instance"), Some("e0"));
    assert_eq!(got[0].header("x-api-key"), None);
    assert_eq!(got[0].body, b"the body");

    let mut changed = config(9);
    changed["tenants"][0]["api_keys"] = json!(["key-new"]);
    changed["routes"][2]["path_prefix"] = json!("/moved/");
    deployment.store.put("keyed.op", "config", &changed);
    deployment.settle().await;
    assert_eq!(status(&deployment, 0, &Ask::new("/safe/x")).await, 401);
    let moved = Ask {
        key: Some("key-new"),
        ..Ask::new("/moved/x")
    };
    assert_eq!(status(&deployment, 0, &moved).await, 200);

    // An older version never comes back.
    deployment.store.put("keyed.op", "config", &config(8));
    deployment.settle().await;
    assert_eq!(status(&deployment, 0, &moved).await, 200);
}

/// Guards against an account that gets more than its quota, and a refusal without a delay.
#[tokio::test]
async fn requests_over_the_quota_are_refused_before_they_run() {
    let deployment = one_engine(1, ANSWER).await;
    let ask = Ask {
        key: Some("key-small"),
        ..Ask::new("/unsafe/x")
    };
    let mut refused = 0;
    for _ in 0..6 {
        let answer = deployment.gateways[0].send(&ask).await.expect("an answer");
        if answer.status == 429 {
            refused += 1;
            assert!(answer.headers.contains_key("retry-after"));
        }
    }
    assert!(refused >= 3, "{refused} of 6 refused");
    assert_eq!(deployment.engines[0].ran(), 6 - refused);
}

/// Guards against new work for an endpoint that leaves, also when its entry expires from the
/// history, and against losing all endpoints with it.
#[tokio::test]
async fn an_endpoint_that_leaves_gets_no_new_work() {
    let engines = vec![
        Engine::start("e0", "app", ANSWER).await,
        Engine::start("e1", "app", ANSWER).await,
        Engine::start("e2", "app", ANSWER).await,
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
    deployment.settle().await;
    let late = draining.entry("ready", 1);
    deployment.store.put("keyed.servers", "e0", &late);
    deployment.settle().await;
    let before = (draining.got().len(), removed.got().len());
    for number in 0..12 {
        assert_eq!(
            status(&deployment, number % 2, &Ask::new("/safe/x")).await,
            200
        );
    }
    assert_eq!((draining.got().len(), removed.got().len()), before);
    assert!(stays.got().len() >= 12);
}

/// Guards against requests that wait for the store.
#[tokio::test]
async fn requests_go_on_while_the_store_is_away() {
    let deployment = one_engine(2, ANSWER).await;
    for faults in [(true, false), (false, true)] {
        deployment.store.set_faults(crate::platform::Faults {
            silent: faults.0,
            down: faults.1,
            ..Default::default()
        });
        deployment.settle().await;
        for number in 0..6 {
            assert_eq!(
                status(&deployment, number % 2, &Ask::new("/unsafe/x")).await,
                200
            );
        }
        assert_eq!(deployment.gateways[0].readiness().await, Some(200));
    }
}

/// Guards against a process that answers with 404 or 401 before it knows a configuration.
#[tokio::test]
async fn a_node_without_a_configuration_promises_nothing_ran() {
    let mut deployment = one_engine(1, ANSWER).await;
    deployment.store.set_faults(crate::platform::Faults {
        down: true,
        ..Default::default()
    });
    deployment.gateways[0].kill();
    deployment.gateways[0].restart();
    eventually("the process answers", async || {
        status(&deployment, 0, &Ask::new("/unsafe/x")).await == 503
    })
    .await;
    assert_eq!(deployment.gateways[0].readiness().await, Some(503));
    deployment
        .store
        .set_faults(crate::platform::Faults::default());
    eventually("the process is ready", async || {
        status(&deployment, 0, &Ask::new("/unsafe/x")).await == 200
    })
    .await;
}

/// Guards against a node that starts while the store is away and never hears of the configuration
/// that the other nodes have.
#[tokio::test]
async fn a_node_takes_configuration_and_endpoints_from_other_nodes() {
    let mut deployment = one_engine(2, ANSWER).await;
    deployment.settle().await;
    deployment.store.set_faults(crate::platform::Faults {
        down: true,
        ..Default::default()
    });
    deployment.gateways[1].kill();
    deployment.gateways[1].restart();
    eventually("the second node serves", async || {
        status(&deployment, 1, &Ask::new("/unsafe/x")).await == 200
    })
    .await;
}

/// Guards against requests that are lost at a planned stop, and a process that does not end.
#[tokio::test]
async fn a_planned_stop_loses_no_request() {
    let engines = vec![
        Engine::start("e0", "app", Behaviour::Answer(200, 300)).await,
        Engine::start("e1", "llm", Behaviour::Stream(30, 50)).await,
    ];
    let mut deployment = Deployment::start(2, engines).await;
    let caller = Caller(deployment.gateways[0].front);
    let open: Vec<_> = ["/resumed/x", "/stream/x", "/unsafe/x", "/safe/x"]
        .into_iter()
        .map(|path| tokio::spawn(async move { caller.send(&Ask::new(path)).await }))
        .collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    deployment.gateways[0].signal(libc::SIGTERM);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(deployment.gateways[0].readiness().await, Some(503));
    let late = deployment.gateways[0].send(&Ask::new("/unsafe/x")).await;
    let late = late.expect("callers keep the address for a while");
    assert_eq!((late.status, late.complete), (200, true));
    assert_eq!(late.headers["connection"], "close");
    for request in open {
        let answer = request.await.expect("no panic").expect("an answer");
        assert!(answer.complete && answer.status == 200, "{answer:?}");
    }
    eventually("the process ends", async || {
        deployment.gateways[0].ended() == Some(true)
    })
    .await;
    let listed = Caller(deployment.gateways[1].directory);
    let listed = listed.send(&Ask::new("/api/resolve?name=h.example")).await;
    let body = listed.expect("an answer").body;
    let front = |index: usize| deployment.gateways[index].front.to_string();
    assert!(
        !body.contains(&front(0)) && body.contains(&front(1)),
        "{body}"
    );
}

/// Guards against addresses of nodes that are gone, and against leaving out those that serve.
#[tokio::test]
async fn callers_are_told_the_nodes_that_live() {
    let mut deployment = one_engine(3, ANSWER).await;
    let fronts: Vec<String> = deployment
        .gateways
        .iter()
        .map(|gateway| gateway.front.to_string())
        .collect();
    let directory = Caller(deployment.gateways[0].directory);
    let told = async || {
        let answer = directory
            .send(&Ask::new("/api/resolve?name=h.example"))
            .await;
        let body = answer.expect("an answer").body;
        fronts
            .iter()
            .map(|front| body.contains(front))
            .collect::<Vec<_>>()
    };
    eventually("all are told", async || told().await == [true; 3]).await;
    deployment.gateways[2].kill();
    eventually("the lost one is left out", async || {
        told().await == [true, true, false]
    })
    .await;
}

/// Guards against two counts for one window, a fence that goes down, and requests that are not
/// counted.
#[tokio::test]
async fn usage_is_reported_once_whoever_holds_the_duty() {
    let mut deployment = one_engine(3, ANSWER).await;
    let mut sent = 0;
    for round in 0..3 {
        for number in 0..30 {
            let gateway = number % 3;
            sent += usize::from(status(&deployment, gateway, &Ask::new("/unsafe/x")).await == 200);
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        if round == 1 {
            let duties = deployment.cloud.duties();
            let holder = duties.last().expect("a report").holder.clone();
            let held = deployment.gateways.iter().position(|g| g.name == holder);
            deployment.gateways[held.expect("a gateway")].kill();
        }
    }
    let total = || {
        let mut windows: BTreeMap<u64, u64> = BTreeMap::new();
        for duty in deployment.cloud.duties() {
            let window = duty.body["window_id"].as_u64().expect("a window");
            let count = duty.body["counts"]["one"].as_u64().unwrap_or(0);
            let known = *windows.entry(window).or_insert(count);
            assert_eq!(known, count, "two counts for window {window}");
        }
        windows.values().sum::<u64>() as usize
    };
    eventually("all requests are reported", async || {
        // What the lost node counted last may not have reached another one.
        total() * 100 >= sent * 95
    })
    .await;
    assert!(total() <= sent);
    let duties = deployment.cloud.duties();
    let holders: std::collections::BTreeSet<_> = duties.iter().map(|d| &d.holder).collect();
    assert_eq!(holders.len(), 2, "the duty moved on");
    for pair in duties.windows(2) {
        assert!(pair[0].fence <= pair[1].fence);
        assert_eq!(
            pair[0].fence == pair[1].fence,
            pair[0].holder == pair[1].holder
        );
    }
}

/// Guards against a request whose outcome nobody can explain afterwards.
#[tokio::test]
async fn each_request_has_one_line_that_explains_it() {
    let deployment = one_engine(1, ANSWER).await;
    let mut ids = Vec::new();
    for path in ["/unsafe/x", "/safe/x", "/resumed/x", "/nothing/x"] {
        let answer = deployment.gateways[0].send(&Ask::new(path)).await;
        ids.push(answer.expect("an answer"));
    }
    let unknown = Ask {
        key: None,
        ..Ask::new("/safe/x")
    };
    ids.push(
        deployment.gateways[0]
            .send(&unknown)
            .await
            .expect("an answer"),
    );
    let gateway = &deployment.gateways[0];
    for answer in ids {
        eventually("the line is written", async || {
            !gateway.lines("request", Some(&answer.id)).is_empty()
        })
        .await;
        let lines = gateway.lines("request", Some(&answer.id));
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert_eq!(lines[0]["status"], answer.status, "{lines:?}");
        assert_eq!(lines[0]["config"], 1, "{lines:?}");
    }
    assert_eq!(gateway.lines("starting", None).len(), 1);
    let metrics = Caller(gateway.metrics).send(&Ask::new("/metrics")).await;
    assert!(
        metrics
            .expect("an answer")
            .body
            .contains("almondpath_requests_total")
    );
}
