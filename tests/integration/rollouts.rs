//! Rollouts through separate processes: deadline, trip, and controllers that fail.

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
    ACCOUNT_TOKEN, Cluster, Double, OPERATOR_TOKEN, Process, eventually, free_address,
};

/// A cluster with endpoints of two versions.
struct Fixture {
    cluster: Cluster,
    new: Vec<Double>,
}

/// One answered request.
#[derive(Clone, Debug)]
struct Seen {
    at: Instant,
    status: u16,
    version: String,
}

/// Callers that send requests to all nodes until dropped.
struct Traffic {
    seen: Arc<Mutex<Vec<Seen>>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

fn start_new(kind: &str) -> Double {
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
    Double { address, process }
}

impl Fixture {
    async fn start(nodes: usize, kind: &str) -> Self {
        let (engines, plains) = if kind == "engine" { (1, 0) } else { (0, 2) };
        let cluster = Cluster::start(nodes, engines, plains).await;
        let new: Vec<Double> = (0..engines + plains).map(|_| start_new(kind)).collect();
        let mut hosts = cluster.hosts();
        let added = hosts.iter().zip(&new).map(|(host, double)| Host {
            host: format!("new-{}", host.host).into(),
            address: double.address,
            version: "v2".into(),
            ..host.clone()
        });
        let added: Vec<Host> = added.collect();
        hosts.extend(added);
        cluster.put_hosts(&hosts).await;
        for double in &new {
            eventually("the new endpoint listens", async || {
                tokio::net::TcpStream::connect(double.address).await.is_ok()
            })
            .await;
        }
        Self { cluster, new }
    }

    /// Publishes version `v2` of all services with this deadline.
    async fn roll_out(&self, deadline_ms: u64) {
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

    fn traffic(&self, nodes: &[usize]) -> Traffic {
        self.traffic_on(nodes, &["balance"; 4])
    }

    /// Starts one caller for each of these routes at each node.
    fn traffic_on(&self, nodes: &[usize], routes: &[&'static str]) -> Traffic {
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let loops = nodes
            .iter()
            .map(|node| self.cluster.nodes[*node].listen)
            .flat_map(|address| routes.iter().map(move |route| (address, *route)));
        let tasks = loops.map(|(address, route)| {
            let seen = Arc::clone(&seen);
            tokio::spawn(async move {
                let http = transport::Client::new(Millis(2_000));
                loop {
                    if let Some(answer) = ask(&http, address, route).await {
                        seen.lock().expect("seen lock").push(answer);
                    }
                    sleep(Duration::from_millis(10)).await;
                }
            })
            .abort_handle()
        });
        Traffic {
            tasks: tasks.collect(),
            seen,
        }
    }

    /// Returns what a node says about the rollout of a service.
    async fn statement(&self, node: usize, service: &str) -> Option<Summary> {
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
        let statements: Vec<Summary> =
            serde_json::from_value(status["rollouts"].clone()).expect("statements");
        statements.into_iter().find(|s| &*s.service == service)
    }

    async fn await_state(&self, nodes: &[usize], service: &str, state: State) {
        for &node in nodes {
            eventually(&format!("node {node} says {state:?}"), async || {
                let statement = self.statement(node, service).await;
                statement.is_some_and(|s| s.state == state)
            })
            .await;
        }
    }

    /// Returns the changes in the control stream with what became of them.
    async fn changes(&self) -> Vec<(Change, bool)> {
        let path = "/streams/control/records?from=0&limit=1000&wait_ms=0";
        let address = self.cluster.log.address;
        let page: Page = self
            .cluster
            .http
            .get_json(address, path)
            .await
            .expect("the log answers");
        let mut fold = Projection::default();
        let mut changes = Vec::new();
        for entry in page.records {
            let applied = fold.apply(entry.offset, &entry.data) == Outcome::Applied;
            if let Ok(Record::Change(change)) = serde_json::from_str(&entry.data) {
                changes.push((change, applied));
            }
        }
        changes
    }

    /// Waits for a stage and returns the index of the node that holds the claim.
    async fn controller_at_stage(&self, wanted: u32) -> usize {
        eventually("the stage has begun", async || {
            self.changes().await.iter().any(|(change, applied)| {
                *applied && matches!(change, Change::RolloutStage { stage, .. } if *stage >= wanted)
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
async fn ask(http: &transport::Client, address: SocketAddr, route: &str) -> Option<Seen> {
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
    Some(Seen {
        at: Instant::now(),
        status,
        version: body["version"].as_str().unwrap_or_default().to_owned(),
    })
}

/// Returns the names in the claims that took effect.
fn holders(changes: &[(Change, bool)]) -> Vec<String> {
    let applied = changes.iter().filter(|(_, applied)| *applied);
    applied
        .filter_map(|(change, _)| match change {
            Change::Claim { holder, .. } => Some(holder.to_string()),
            _ => None,
        })
        .collect()
}

/// Returns the stages of the service `ledger` that took effect, in log order.
fn stages(changes: &[(Change, bool)]) -> Vec<u32> {
    let applied = changes.iter().filter(|(_, applied)| *applied);
    applied
        .filter_map(|(change, _)| match change {
            Change::RolloutStage { stage, .. } => Some(*stage),
            _ => None,
        })
        .collect()
}

/// Guards against a deadline that only a record in the log enforces.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_without_done_is_rolled_back_while_the_log_is_down() {
    let fixture = Fixture::start(3, "plain").await;
    fixture.roll_out(6_000).await;
    fixture
        .await_state(&[0, 1, 2], "ledger", State::InProgress)
        .await;
    let log = fixture.cluster.log.address;
    fixture.cluster.set_faults(log, json!({"down": true})).await;
    let traffic = fixture.traffic(&[0, 1, 2]);
    let deadline = fixture
        .statement(0, "ledger")
        .await
        .expect("a rollout")
        .deadline;
    fixture
        .await_state(&[0, 1, 2], "ledger", State::RolledBack)
        .await;
    let wall = almondpath::clock::Clock::system().wall();
    assert!(wall >= deadline && wall - deadline < Millis(2_000));
    let reason = fixture
        .statement(1, "ledger")
        .await
        .expect("a rollout")
        .reason;
    assert_eq!(reason.as_deref(), Some("not done by the deadline"));

    let from = Instant::now();
    sleep(Duration::from_millis(1_500)).await;
    let seen = traffic.seen.lock().expect("seen lock").clone();
    assert!(
        seen.iter().any(|s| s.version == "v2"),
        "v2 got no traffic before"
    );
    let late = seen.iter().filter(|s| s.at > from);
    assert!(late.clone().count() > 50);
    assert!(late.clone().all(|s| s.version == "v1"));
    drop(traffic);

    fixture.cluster.set_faults(log, json!({})).await;
    eventually("the rollback is in the log", async || {
        let changes = fixture.changes().await;
        let mut changes = changes.iter();
        changes.any(|(c, applied)| *applied && matches!(c, Change::RolloutRollback { .. }))
    })
    .await;
}

/// Guards against a trip that stays at the node that saw the fault, or that needs the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_trip_reaches_all_nodes_without_the_log() {
    let fixture = Fixture::start(3, "plain").await;
    // Only one node has evidence of its own.
    let traffic = fixture.traffic(&[0]);
    fixture.roll_out(60_000).await;
    fixture
        .await_state(&[0, 1, 2], "ledger", State::InProgress)
        .await;
    let log = fixture.cluster.log.address;
    fixture.cluster.set_faults(log, json!({"down": true})).await;
    for double in &fixture.new {
        fixture
            .cluster
            .set_faults(double.address, json!({"fail": true}))
            .await;
    }
    let tripped =
        |statement: Option<Summary>| statement.is_some_and(|s| s.state == State::RolledBack);
    eventually("a node trips", async || {
        tripped(fixture.statement(0, "ledger").await)
    })
    .await;
    let first = Instant::now();
    fixture
        .await_state(&[0, 1, 2], "ledger", State::RolledBack)
        .await;
    assert!(first.elapsed() < Duration::from_secs(2));
    let reason = fixture
        .statement(2, "ledger")
        .await
        .expect("a rollout")
        .reason;
    let reason = reason.expect("a reason");
    assert!(reason.contains("failures on route balance"), "{reason}");

    // Healthy again, the version would answer and show who still sends to it.
    for double in &fixture.new {
        fixture.cluster.set_faults(double.address, json!({})).await;
    }
    let healed = Instant::now();
    let others = fixture.traffic(&[1, 2]);
    sleep(Duration::from_millis(2_500)).await;
    let seen = traffic.seen.lock().expect("seen lock").clone();
    let others = others.seen.lock().expect("seen lock").clone();
    let late = seen.iter().filter(|s| s.at > healed).chain(&others);
    assert!(late.clone().count() > 100);
    assert!(late.clone().all(|s| s.version == "v1"));
    assert!(
        seen.iter().all(|s| s.status == 200),
        "a failure of the new version reached a caller"
    );
}

/// Guards against a bad version that answers well in some respect: slow but without failures, or
/// bad on one route among several.
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
        for double in &fixture.new {
            let faults = case.faults.clone();
            fixture.cluster.set_faults(double.address, faults).await;
        }
        let routes = ["balance", "balance", "contribution", "contribution"];
        let traffic = fixture.traffic_on(&[0, 1], &routes);
        fixture.roll_out(60_000).await;
        fixture
            .await_state(&[0, 1], "ledger", State::RolledBack)
            .await;
        for node in [0, 1] {
            let statement = fixture.statement(node, "ledger").await;
            let reason = statement.expect("a rollout").reason.expect("a reason");
            assert!(reason.contains(case.reason), "{}: {reason}", case.name);
        }
        // Calls that were sent before are answered by then.
        sleep(Duration::from_millis(500)).await;
        let from = Instant::now();
        sleep(Duration::from_millis(1_500)).await;
        let seen = traffic.seen.lock().expect("seen lock").clone();
        let new = seen.iter().filter(|s| s.version == "v2").count();
        println!("{}: {new} of {} answers by v2", case.name, seen.len());
        let late = seen.iter().filter(|s| s.at > from);
        assert!(late.clone().count() > 50, "{}: too few calls", case.name);
        assert!(late.clone().all(|s| s.version == "v1"), "{}", case.name);
    }
}

/// Guards against a rollout that ends with its controller, and against stages that are skipped or
/// repeated by the next one.
#[tokio::test(flavor = "multi_thread")]
async fn another_node_continues_when_the_controller_is_killed() {
    let mut fixture = Fixture::start(3, "plain").await;
    let traffic = fixture.traffic(&[0, 1, 2]);
    fixture.roll_out(30_000).await;
    let killed = fixture.controller_at_stage(1).await;
    fixture.cluster.nodes[killed].process.kill();
    let others: Vec<usize> = (0..3).filter(|node| *node != killed).collect();
    fixture
        .await_state(&others, "ledger", State::DoneBaking)
        .await;
    let changes = fixture.changes().await;
    assert_eq!(stages(&changes), [1, 2, 3, 4]);
    let name = &fixture.cluster.nodes[killed].name;
    assert_ne!(holders(&changes).last(), Some(name));
    let seen = traffic.seen.lock().expect("seen lock").clone();
    assert!(seen.iter().filter(|s| s.version == "v2").count() > 50);
}

/// Guards against a paused controller that goes on with an old claim beside the new one.
#[tokio::test(flavor = "multi_thread")]
async fn two_controllers_at_once_are_safe() {
    let fixture = Fixture::start(3, "plain").await;
    let _traffic = fixture.traffic(&[0, 1, 2]);
    fixture.roll_out(40_000).await;
    let paused = fixture.controller_at_stage(1).await;
    let node = &fixture.cluster.nodes[paused];
    node.process.signal(libc::SIGSTOP);
    eventually("another node holds the claim", async || {
        let holders = holders(&fixture.changes().await);
        holders.last().is_some_and(|holder| *holder != node.name)
    })
    .await;
    node.process.signal(libc::SIGCONT);
    fixture
        .await_state(&[0, 1, 2], "ledger", State::DoneBaking)
        .await;
    let changes = fixture.changes().await;
    assert_eq!(stages(&changes), [1, 2, 3, 4]);
    let done = changes
        .iter()
        .filter(|(change, applied)| *applied && matches!(change, Change::RolloutDone { .. }));
    assert_eq!(done.count(), 1);
}

/// Guards against orders of an earlier controller that stay in effect, at engines that check the
/// fencing token and at those that ignore it.
#[tokio::test(flavor = "multi_thread")]
async fn engines_return_to_the_old_version() {
    for ignore_fence in [false, true] {
        let fixture = Fixture::start(2, "engine").await;
        let engine = fixture.new[0].address;
        let faults = json!({"ignore_fence": ignore_fence});
        fixture.cluster.set_faults(engine, faults).await;
        fixture.roll_out(5_000).await;
        let http = &fixture.cluster.http;
        let serves = async |version: &str| {
            let load: Load = http
                .get_json(engine, "/load")
                .await
                .expect("the engine answers");
            *load.version == *version
        };
        eventually("the engine serves v1", async || serves("v1").await).await;

        let stale = json!({"fence": 0, "order": {"serve": "v2"}});
        let result = http.post_json::<_, Value>(engine, "/orders", &stale).await;
        assert_eq!(result.is_ok(), ignore_fence);
        eventually("the engine serves v1 again", async || serves("v1").await).await;
    }
}

/// Guards against a status that doesn't tell operators whether a rollout is done or rolled back.
#[test]
fn a_statement_names_the_state_and_the_reason() {
    let statement = |state, reason: Option<&str>| Summary {
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
        let text = statement(state, reason).to_string();
        assert_eq!(text, format!("ledger from v1 to v2: {expected}"));
    }
}
