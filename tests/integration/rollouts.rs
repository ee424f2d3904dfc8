//! Rollouts across separate node processes: deadlines, trips and failing controllers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::control::{Change, Outcome, Projection, Record, State, Summary};
use almondpath::endpoint::{Host, Load};
use almondpath::log::Page;
use almondpath::transport;
use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::call_harness;
use crate::harness::{
    ACCOUNT_TOKEN, Cluster, OPERATOR_TOKEN, Process, TestDouble, eventually, free_address,
};

/// A cluster that serves `v1`, with as many further endpoints of version `v2`.
struct Fixture {
    cluster: Cluster,
    new_endpoints: Vec<TestDouble>,
}

/// The response to one request.
#[derive(Clone, Debug)]
struct Response {
    at: Instant,
    status: u16,
    version: String,
}

/// Callers that send requests until dropped.
struct Traffic {
    responses: Arc<Mutex<Vec<Response>>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Starts an endpoint of version `v2`.
fn start_v2(kind: &str) -> TestDouble {
    let address = free_address();
    let listen = address.to_string();
    let args = [
        "dev",
        "--only",
        kind,
        "--listen",
        &listen,
        "--version-name",
        "v2",
    ];
    let process = Process::start(&args);
    TestDouble { address, process }
}

impl Fixture {
    /// Starts a cluster with one engine or two plain services of each version.
    async fn start(nodes: usize, kind: &str) -> Self {
        let (engines, plains) = if kind == "engine" { (1, 0) } else { (0, 2) };
        let cluster = Cluster::start(nodes, engines, plains).await;
        let new_endpoints: Vec<TestDouble> =
            (0..engines + plains).map(|_| start_v2(kind)).collect();
        let mut hosts = cluster.hosts();
        let added = hosts
            .iter()
            .zip(&new_endpoints)
            .map(|(host, endpoint)| Host {
                host: format!("new-{}", host.host).into(),
                address: endpoint.address,
                version: "v2".into(),
                ..host.clone()
            });
        let added: Vec<Host> = added.collect();
        hosts.extend(added);
        cluster.put_hosts(&hosts).await;
        for endpoint in &new_endpoints {
            eventually("the new endpoint listens", async || {
                tokio::net::TcpStream::connect(endpoint.address)
                    .await
                    .is_ok()
            })
            .await;
        }
        Self {
            cluster,
            new_endpoints,
        }
    }

    /// Publishes a configuration with version `v2` of all services and this rollout deadline.
    async fn publish_v2(&self, deadline_ms: u64) {
        let text = std::fs::read_to_string("examples/dev/config.yaml").expect("the file exists");
        let text = text.replace("version: v1", "version: v2").replace(
            "rollout_deadline_ms: 600000",
            &format!("rollout_deadline_ms: {deadline_ms}"),
        );
        let file = self.cluster.directory.path().join("v2.yaml");
        std::fs::write(&file, text).expect("the file can be written");
        let file = file.to_str().expect("a UTF-8 path");
        self.cluster.publish(file).await;
    }

    /// Starts four callers of the route `balance` at each node.
    fn traffic(&self, nodes: &[usize]) -> Traffic {
        self.traffic_to(nodes, &["balance"; 4])
    }

    /// Starts one caller per item of `routes` at each node.
    fn traffic_to(&self, nodes: &[usize], routes: &[&'static str]) -> Traffic {
        let responses: Arc<Mutex<Vec<Response>>> = Arc::default();
        let loops = nodes
            .iter()
            .map(|node| self.cluster.nodes[*node].listen)
            .flat_map(|address| routes.iter().map(move |route| (address, *route)));
        let tasks = loops.map(|(address, route)| {
            let responses = Arc::clone(&responses);
            tokio::spawn(async move {
                let http = transport::Client::new(Millis(2_000));
                loop {
                    if let Some(response) = send_request(&http, address, route).await {
                        responses.lock().expect("responses lock").push(response);
                    }
                    sleep(Duration::from_millis(10)).await;
                }
            })
            .abort_handle()
        });
        Traffic {
            tasks: tasks.collect(),
            responses,
        }
    }

    /// Returns a node's summary of the rollout of a service.
    async fn summary(&self, node: usize, service: &str) -> Option<Summary> {
        let http = &self.cluster.http;
        let admin = self.cluster.nodes[node].admin;
        let mut request = http
            .request(Method::GET, admin, "/admin/status", Bytes::new())
            .expect("a valid request");
        let token = format!("Bearer {OPERATOR_TOKEN}").parse();
        request
            .headers_mut()
            .insert("authorization", token.expect("a valid header"));
        let response = http.send(request).await.ok()?;
        let status: Value = serde_json::from_slice(&http.body(response).await.ok()?).ok()?;
        let summaries: Vec<Summary> =
            serde_json::from_value(status["rollouts"].clone()).expect("summaries");
        summaries.into_iter().find(|s| &*s.service == service)
    }

    /// Waits until each of these nodes reports a state for the rollout of a service.
    async fn wait_for_state(&self, nodes: &[usize], service: &str, state: State) {
        for &node in nodes {
            eventually(&format!("node {node} reports {state:?}"), async || {
                let summary = self.summary(node, service).await;
                summary.is_some_and(|s| s.state == state)
            })
            .await;
        }
    }

    /// Returns the changes in the `control` stream, each with whether it took effect.
    async fn changes(&self) -> Vec<(Change, bool)> {
        let path = "/streams/control/records?from=0&limit=1000&wait_ms=0";
        let address = self.cluster.log.address;
        let page: Page = self
            .cluster
            .http
            .get_json(address, path)
            .await
            .expect("the log responds");
        let mut projection = Projection::default();
        let mut changes = Vec::new();
        for entry in page.records {
            let applied = projection.apply(entry.offset, &entry.data) == Outcome::Applied;
            if let Ok(Record::Change(change)) = serde_json::from_str(&entry.data) {
                changes.push((change, applied));
            }
        }
        changes
    }

    /// Waits until a stage has begun and returns the index of the node that holds the claim.
    async fn wait_for_controller(&self, min_stage: u32) -> usize {
        eventually("the stage has begun", async || {
            self.changes().await.iter().any(|(change, applied)| {
                *applied
                    && matches!(change, Change::RolloutStage { stage, .. } if *stage >= min_stage)
            })
        })
        .await;
        let holders = holders(&self.changes().await);
        let holder = holders.last().expect("a claim").clone();
        let mut nodes = self.cluster.nodes.iter();
        nodes
            .position(|node| node.name == holder)
            .expect("a node of the cluster")
    }
}

/// Sends one request over a pooled connection.
async fn send_request(
    http: &transport::Client,
    address: SocketAddr,
    route: &str,
) -> Option<Response> {
    let body = Bytes::from_static(b"{}");
    let mut request = http
        .request(Method::POST, address, &format!("/v1/routes/{route}"), body)
        .ok()?;
    let token = format!("Bearer {ACCOUNT_TOKEN}").parse().ok()?;
    request.headers_mut().insert("authorization", token);
    let key = call_harness::new_contribution().key.parse().ok()?;
    request.headers_mut().insert("idempotency-key", key);
    let response = http.send(request).await.ok()?;
    let status = response.status().as_u16();
    let body: Value = serde_json::from_slice(&http.body(response).await.ok()?).unwrap_or_default();
    Some(Response {
        at: Instant::now(),
        status,
        version: body["version"].as_str().unwrap_or_default().to_owned(),
    })
}

/// Returns the holders named by the claims that took effect, in log order.
fn holders(changes: &[(Change, bool)]) -> Vec<String> {
    let applied = changes.iter().filter(|(_, applied)| *applied);
    applied
        .filter_map(|(change, _)| match change {
            Change::Claim { holder, .. } => Some(holder.to_string()),
            _ => None,
        })
        .collect()
}

/// Returns the stages that took effect, in log order.
///
/// In the tests that use it, only the service `ledger` has endpoints.
fn stages(changes: &[(Change, bool)]) -> Vec<u32> {
    let applied = changes.iter().filter(|(_, applied)| *applied);
    applied
        .filter_map(|(change, _)| match change {
            Change::RolloutStage { stage, .. } => Some(*stage),
            _ => None,
        })
        .collect()
}

/// Guards against a deadline that takes effect only through a record in the log: while the log is
/// down, the rollout would continue past it.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_without_done_is_rolled_back_while_the_log_is_down() {
    let fixture = Fixture::start(3, "plain").await;
    fixture.publish_v2(6_000).await;
    fixture
        .wait_for_state(&[0, 1, 2], "ledger", State::InProgress)
        .await;
    let log = fixture.cluster.log.address;
    fixture.cluster.set_faults(log, json!({"down": true})).await;
    let traffic = fixture.traffic(&[0, 1, 2]);
    let deadline = fixture
        .summary(0, "ledger")
        .await
        .expect("a rollout")
        .deadline;
    fixture
        .wait_for_state(&[0, 1, 2], "ledger", State::RolledBack)
        .await;
    let wall = almondpath::clock::Clock::system().wall();
    assert!(wall >= deadline && wall - deadline < Millis(2_000));
    let reason = fixture
        .summary(1, "ledger")
        .await
        .expect("a rollout")
        .reason;
    assert_eq!(reason.as_deref(), Some("not done by the deadline"));

    let rolled_back_at = Instant::now();
    sleep(Duration::from_millis(1_500)).await;
    let responses = traffic.responses.lock().expect("responses lock").clone();
    assert!(
        responses.iter().any(|r| r.version == "v2"),
        "v2 got no traffic before the rollback"
    );
    let later = responses.iter().filter(|r| r.at > rolled_back_at);
    assert!(later.clone().count() > 50);
    assert!(later.clone().all(|r| r.version == "v1"));
    drop(traffic);

    fixture.cluster.set_faults(log, json!({})).await;
    eventually("the rollback is in the log", async || {
        let changes = fixture.changes().await;
        let mut changes = changes.iter();
        changes.any(|(c, applied)| *applied && matches!(c, Change::RolloutRollback { .. }))
    })
    .await;
}

/// Guards against a trip that takes effect only at the node that detected the fault, or that other
/// nodes learn of only through the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_trip_reaches_all_nodes_without_the_log() {
    let fixture = Fixture::start(3, "plain").await;
    // Only node 0 gets traffic, so that only it can detect the fault.
    let traffic = fixture.traffic(&[0]);
    fixture.publish_v2(60_000).await;
    fixture
        .wait_for_state(&[0, 1, 2], "ledger", State::InProgress)
        .await;
    let log = fixture.cluster.log.address;
    fixture.cluster.set_faults(log, json!({"down": true})).await;
    for endpoint in &fixture.new_endpoints {
        fixture
            .cluster
            .set_faults(endpoint.address, json!({"fail": true}))
            .await;
    }
    let rolled_back =
        |summary: Option<Summary>| summary.is_some_and(|s| s.state == State::RolledBack);
    eventually("a node trips", async || {
        rolled_back(fixture.summary(0, "ledger").await)
    })
    .await;
    let tripped_at = Instant::now();
    fixture
        .wait_for_state(&[0, 1, 2], "ledger", State::RolledBack)
        .await;
    assert!(tripped_at.elapsed() < Duration::from_secs(2));
    let reason = fixture
        .summary(2, "ledger")
        .await
        .expect("a rollout")
        .reason;
    let reason = reason.expect("a reason");
    assert!(reason.contains("failures on route balance"), "{reason}");

    // The new version works again, so that its responses would show which node still sends to it.
    for endpoint in &fixture.new_endpoints {
        fixture
            .cluster
            .set_faults(endpoint.address, json!({}))
            .await;
    }
    let repaired_at = Instant::now();
    let others = fixture.traffic(&[1, 2]);
    sleep(Duration::from_millis(2_500)).await;
    let responses = traffic.responses.lock().expect("responses lock").clone();
    let others = others.responses.lock().expect("responses lock").clone();
    let later = responses
        .iter()
        .filter(|r| r.at > repaired_at)
        .chain(&others);
    assert!(later.clone().count() > 100);
    assert!(later.clone().all(|r| r.version == "v1"));
    assert!(
        responses.iter().all(|r| r.status == 200),
        "a failure of the new version reached a caller"
    );
}

/// Guards against a bad version that is not detected because it is good in some respect: it is slow
/// without failures, or bad on only one of several routes.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_is_slow_or_bad_on_one_route_is_rolled_back() {
    struct Case {
        name: &'static str,
        faults: Value,
        reason: &'static str,
    }
    let cases = [
        Case {
            name: "slow",
            faults: json!({ "delay_ms": 150 }),
            reason: "worse in time to first token on route",
        },
        Case {
            name: "fails on one route",
            faults: json!({ "fail": true, "route": "contribution" }),
            reason: "worse in failures on route contribution",
        },
        Case {
            name: "slow on one route",
            faults: json!({ "delay_ms": 150, "route": "contribution" }),
            reason: "worse in time to first token on route contribution",
        },
    ];
    for case in cases {
        let fixture = Fixture::start(2, "plain").await;
        fixture.cluster.await_calls_ready().await;
        for endpoint in &fixture.new_endpoints {
            let faults = case.faults.clone();
            fixture.cluster.set_faults(endpoint.address, faults).await;
        }
        let routes = ["balance", "balance", "contribution", "contribution"];
        let traffic = fixture.traffic_to(&[0, 1], &routes);
        fixture.publish_v2(60_000).await;
        fixture
            .wait_for_state(&[0, 1], "ledger", State::RolledBack)
            .await;
        for node in [0, 1] {
            let summary = fixture.summary(node, "ledger").await;
            let reason = summary.expect("a rollout").reason.expect("a reason");
            assert!(reason.contains(case.reason), "{}: {reason}", case.name);
        }
        // Waits for the responses to calls that were sent before the rollback.
        sleep(Duration::from_millis(500)).await;
        let settled_at = Instant::now();
        sleep(Duration::from_millis(1_500)).await;
        let responses = traffic.responses.lock().expect("responses lock").clone();
        let new = responses.iter().filter(|r| r.version == "v2").count();
        println!(
            "{}: {new} of {} responses by v2",
            case.name,
            responses.len()
        );
        let later = responses.iter().filter(|r| r.at > settled_at);
        assert!(later.clone().count() > 50, "{}: too few calls", case.name);
        assert!(later.clone().all(|r| r.version == "v1"), "{}", case.name);
    }
}

/// Guards against a rollout that stops when its controller is killed, and against a new controller
/// that skips or repeats stages.
#[tokio::test(flavor = "multi_thread")]
async fn another_node_continues_when_the_controller_is_killed() {
    let mut fixture = Fixture::start(3, "plain").await;
    let traffic = fixture.traffic(&[0, 1, 2]);
    fixture.publish_v2(30_000).await;
    let controller = fixture.wait_for_controller(1).await;
    fixture.cluster.nodes[controller].process.kill();
    let others: Vec<usize> = (0..3).filter(|node| *node != controller).collect();
    fixture
        .wait_for_state(&others, "ledger", State::DoneBaking)
        .await;
    let changes = fixture.changes().await;
    assert_eq!(stages(&changes), [1, 2, 3, 4]);
    let name = &fixture.cluster.nodes[controller].name;
    assert_ne!(holders(&changes).last(), Some(name));
    let responses = traffic.responses.lock().expect("responses lock").clone();
    assert!(responses.iter().filter(|r| r.version == "v2").count() > 50);
}

/// Guards against a controller that resumes after a pause and acts on its expired claim, alongside
/// the new controller.
#[tokio::test(flavor = "multi_thread")]
async fn two_controllers_at_once_are_safe() {
    let fixture = Fixture::start(3, "plain").await;
    let _traffic = fixture.traffic(&[0, 1, 2]);
    fixture.publish_v2(40_000).await;
    let controller = fixture.wait_for_controller(1).await;
    let node = &fixture.cluster.nodes[controller];
    node.process.signal(libc::SIGSTOP);
    eventually("another node holds the claim", async || {
        let holders = holders(&fixture.changes().await);
        holders.last().is_some_and(|holder| *holder != node.name)
    })
    .await;
    node.process.signal(libc::SIGCONT);
    fixture
        .wait_for_state(&[0, 1, 2], "ledger", State::DoneBaking)
        .await;
    let changes = fixture.changes().await;
    assert_eq!(stages(&changes), [1, 2, 3, 4]);
    let done = changes
        .iter()
        .filter(|(change, applied)| *applied && matches!(change, Change::RolloutDone { .. }));
    assert_eq!(done.count(), 1);
}

/// Guards against a late order of an earlier controller that stays in effect. Engines that check
/// the fencing token must refuse it; those that ignore the token must be ordered back.
#[tokio::test(flavor = "multi_thread")]
async fn engines_return_to_the_old_version() {
    for ignore_fence in [false, true] {
        let fixture = Fixture::start(2, "engine").await;
        let engine = fixture.new_endpoints[0].address;
        let faults = json!({"ignore_fence": ignore_fence});
        fixture.cluster.set_faults(engine, faults).await;
        fixture.publish_v2(5_000).await;
        let http = &fixture.cluster.http;
        let serves = async |version: &str| {
            let load: Load = http
                .get_json(engine, "/load")
                .await
                .expect("the engine responds");
            *load.version == *version
        };
        eventually("the engine serves v1", async || serves("v1").await).await;

        let stale = json!({"fence": 0, "order": {"serve": "v2"}});
        let result = http.post_json::<_, Value>(engine, "/orders", &stale).await;
        assert_eq!(result.is_ok(), ignore_fence);
        eventually("the engine serves v1 again", async || serves("v1").await).await;
    }
}

/// Guards against a summary that does not tell operators whether a rollout is done or rolled back,
/// and why.
#[test]
fn a_summary_names_the_state_and_the_reason() {
    let summary = |state, reason: Option<&str>| Summary {
        rollout: almondpath::log::Offset(3),
        service: "ledger".into(),
        from: "v1".into(),
        to: "v2".into(),
        state,
        stage: 2,
        stages: 5,
        share_percent: 5.0,
        deadline: Millis(0),
        reason: reason.map(str::to_owned),
    };
    let cases = [
        (
            State::InProgress,
            None,
            "in progress, stage 2 of 5 with 5% of the traffic",
        ),
        (
            State::DoneBaking,
            None,
            "done, the old version still has to stay",
        ),
        (State::Done, None, "done"),
        (State::RolledBack, Some("deadline"), "rolled back: deadline"),
    ];
    for (state, reason, expected) in cases {
        let text = summary(state, reason).to_string();
        assert_eq!(text, format!("ledger from v1 to v2: {expected}"));
    }
}
