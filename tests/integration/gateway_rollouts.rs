//! Rollouts that an operator orders: how many requests a new version gets, and how they end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::gateway::rollout::{ExposureLimit, Order, Progress, Rollouts, Stage, Versions};
use almondpath::gateway::{Era, Key};
use almondpath::rollout::Outcome;
use futures::future::join_all;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::harness::eventually;
use crate::platform::{Behaviour, Deployment, Engine, Request};

/// Share of the requests that a bad version may get.
const EXPOSURE_SHARE: f64 = 0.1;

/// Duration of the rollouts of real processes.
const DURATION: Duration = Duration::from_secs(8);

/// Pause of each caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);

const CALLERS: usize = 8;

const STATUS_KEY: &str = "rollout/app";

/// A deployment with three endpoints of the first version and two of a second one.
struct Rollout {
    deployment: Deployment,
    new: Vec<Engine>,
}

impl Rollout {
    async fn start(new: Behaviour) -> Self {
        let old = Behaviour::Respond(200, 10);
        let engines = join_all(["o0", "o1", "o2"].map(|id| Engine::start(id, "app", old))).await;
        Self {
            deployment: Deployment::start(2, engines).await,
            new: join_all(["n0", "n1"].map(|id| Engine::start(id, "app", new))).await,
        }
    }

    /// Gives the order and starts the endpoints of the second version.
    fn order(&self) {
        let store = &self.deployment.store;
        let order = json!({
            "service": "app", "target": "v2", "duration_s": DURATION.as_secs_f64(),
        });
        store.put("keyed.op", STATUS_KEY, &order);
        for engine in &self.new {
            let entry = engine.entry_of_version("v2", "ready", 1);
            store.put("keyed.servers", &engine.id, &entry);
        }
    }

    /// Lets callers send requests for some time; returns how many they sent.
    async fn send_for(&self, time: Duration) -> usize {
        let until = Instant::now() + time;
        let callers = (0..CALLERS).map(|caller| async move {
            let gateway = &self.deployment.gateways[caller % 2];
            let mut sent = 0;
            while Instant::now() < until {
                gateway.send(&Request::new("/safe/x")).await;
                sent += 1;
                tokio::time::sleep(PAUSE).await;
            }
            sent
        });
        join_all(callers).await.into_iter().sum()
    }

    /// Returns the number of requests that the second version got.
    fn exposed(&self) -> usize {
        self.new.iter().map(|engine| engine.received().len()).sum()
    }

    fn state(&self) -> Option<Value> {
        let status = self.deployment.store.value("keyed.status", STATUS_KEY)?;
        Some(status["state"].clone())
    }
}

/// How a version behaves, and how its rollout has to end.
struct Case {
    name: &'static str,
    behaviour: Behaviour,
    end: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "several times slower",
        behaviour: Behaviour::Respond(200, 120),
        end: "reverted",
    },
    Case {
        name: "all requests fail",
        behaviour: Behaviour::Respond(500, 10),
        end: "reverted",
    },
    Case {
        name: "no responses",
        behaviour: Behaviour::Hang,
        end: "reverted",
    },
    Case {
        name: "as good",
        behaviour: Behaviour::Respond(200, 10),
        end: "completed",
    },
];

/// Guards against a bad version that is kept, or gets more of the requests than it may, and against a
/// good one that is not completed.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_gets_few_requests_until_it_has_proved_itself() {
    join_all(CASES.iter().map(play)).await;
}

async fn play(case: &Case) {
    let rollout = Rollout::start(case.behaviour).await;
    rollout.send_for(Duration::from_secs(2)).await;
    rollout.order();
    let ordered = Instant::now();
    let sent = rollout.send_for(DURATION / 2).await;
    let exposed = rollout.exposed();
    assert!(
        exposed as f64 <= sent as f64 * EXPOSURE_SHARE,
        "{}: {exposed} of {sent} requests",
        case.name
    );
    assert!(exposed > 0, "{}: the version got no requests", case.name);
    if case.end == "reverted" {
        rollout.send_for(DURATION / 4).await;
        let later = rollout.exposed();
        rollout.send_for(DURATION / 8).await;
        assert_eq!(rollout.exposed(), later, "{}: it is still used", case.name);
    } else {
        rollout
            .send_for(DURATION.saturating_sub(ordered.elapsed()))
            .await;
    }
    let state = rollout.state();
    assert_eq!(state, Some(json!(case.end)), "{}", case.name);
}

/// Guards against requests to a reverted version by a node that was not there when it was found bad.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_sends_no_requests_to_a_reverted_version() {
    let mut rollout = Rollout::start(Behaviour::Respond(500, 10)).await;
    rollout.send_for(Duration::from_secs(1)).await;
    rollout.order();
    rollout.send_for(DURATION / 2).await;
    eventually("the version is reverted", async || {
        rollout.state() == Some(json!("reverted"))
    })
    .await;
    for gateway in &mut rollout.deployment.gateways {
        gateway.kill();
        gateway.restart();
    }
    for gateway in &rollout.deployment.gateways {
        eventually("the gateway is ready again", async || {
            gateway.readiness().await == Some(200)
        })
        .await;
    }
    let before = rollout.exposed();
    rollout.send_for(Duration::from_secs(2)).await;
    assert_eq!(rollout.exposed(), before);
}

/// Guards against a status that a restored store lost and nobody writes again.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_of_a_rollout_is_written_again_after_a_restore() {
    let rollout = Rollout::start(Behaviour::Respond(200, 10)).await;
    rollout.send_for(Duration::from_secs(1)).await;
    let copy = rollout.deployment.store.copy();
    rollout.order();
    eventually("the rollout is recorded", async || {
        rollout.state() == Some(json!("active"))
    })
    .await;
    rollout.deployment.store.restore(copy);
    rollout.order();
    rollout.send_for(DURATION / 2).await;
    assert_eq!(rollout.state(), Some(json!("active")));
}

/// Guards against a second rollout by an order that was lost with a restore of the store and written
/// again, and against an order that is ignored because its offset is lower than the one before.
#[test]
fn an_order_that_is_written_again_is_the_same_rollout() {
    struct Case {
        name: &'static str,
        orders: &'static [(u64, u64, &'static str)],
        stage: Stage,
    }
    let case = |name, orders, stage| Case {
        name,
        orders,
        stage,
    };
    let cases = [
        case("lower offset", &[(2, 38, "v2")], Stage::Reverted),
        case("higher offset", &[(2, 45, "v2")], Stage::Reverted),
        case(
            "late news",
            &[(2, 38, "v2"), (1, 40, "v2")],
            Stage::Reverted,
        ),
        case("another order", &[(2, 38, "v3")], Stage::Trial),
        case(
            "same once more",
            &[(2, 38, "v2"), (2, 39, "v2")],
            Stage::Trial,
        ),
        case("earlier order", &[(1, 5, "v1")], Stage::Reverted),
    ];
    for case in cases {
        let mut rollouts = Rollouts::new(LIMIT);
        let progress = |(era, offset, target): (u64, u64, &str), stage| Progress {
            order: Order {
                service: "app".into(),
                target: target.into(),
                duration: Millis(15_000),
            },
            offset,
            started: Millis(10_000),
            stage,
            era: Era(era),
        };
        rollouts.learn(&progress((1, 40, "v2"), Stage::Reverted), Some(1));
        for order in case.orders {
            rollouts.learn(&progress(*order, Stage::Trial), Some(1));
        }
        let trial = rollouts.get("app").expect("a rollout");
        assert_eq!(trial.progress.stage, case.stage, "{}", case.name);
    }
}

const LIMIT: ExposureLimit = ExposureLimit {
    share: EXPOSURE_SHARE,
    slack: 50.0,
};

/// Time between two exchanges of the simulated nodes, and between two reviews.
const EXCHANGE: Millis = Millis(1_200);
const REVIEW: Millis = Millis(250);

const ROUTES: [&str; 3] = ["short", "medium", "long"];

/// A version, from this time after the order on.
struct Fault {
    name: &'static str,
    from: Millis,
    /// Share of its responses that fail, and that take `factor` times as long.
    failing: f64,
    slow: f64,
    factor: f64,
    /// The only route with the fault, if it does not affect all.
    route: Option<usize>,
}

const FAULTS: &[Fault] = &[
    Fault {
        name: "all slow",
        from: Millis(0),
        failing: 0.0,
        slow: 1.0,
        factor: 8.0,
        route: None,
    },
    Fault {
        name: "half of them slow",
        from: Millis(0),
        failing: 0.0,
        slow: 0.5,
        factor: 5.0,
        route: None,
    },
    Fault {
        name: "a third fails",
        from: Millis(0),
        failing: 0.33,
        slow: 0.0,
        factor: 1.0,
        route: None,
    },
    Fault {
        name: "slow later",
        from: Millis(6_000),
        failing: 0.0,
        slow: 1.0,
        factor: 8.0,
        route: None,
    },
    Fault {
        name: "one route fails",
        from: Millis(0),
        failing: 0.8,
        slow: 0.0,
        factor: 1.0,
        route: Some(1),
    },
];

/// What came of a simulated rollout.
struct Played {
    stage: Stage,
    requests: usize,
    exposed: usize,
    /// Requests that the version got more than 5 s after its 50th bad response.
    late: usize,
}

/// A rollout of 15 s over several nodes, the first of which holds the duties.
struct Simulation {
    nodes: Vec<Rollouts>,
    rng: SmallRng,
    exposed: usize,
    bad: usize,
    late: usize,
    contained_by: Option<Millis>,
}

impl Simulation {
    fn new(nodes: usize, seed: u64) -> Self {
        Self {
            nodes: (0..nodes).map(|_| Rollouts::new(LIMIT)).collect(),
            rng: SmallRng::seed_from_u64(seed),
            exposed: 0,
            bad: 0,
            late: 0,
            contained_by: None,
        }
    }

    /// Serves one request at `now`, at any node.
    fn request(&mut self, fault: Option<&Fault>, now: Millis) {
        let service: Arc<str> = "app".into();
        let route = self.rng.random_range(0..ROUTES.len());
        let usual = 40.0 * (1 + route) as f64 * self.rng.random_range(0.6..1.6);
        let node = self.rng.random_range(0..self.nodes.len());
        let draw = self.rng.random();
        let versions = self.nodes[node].preference(&service, true, draw, now).first;
        let is_new = matches!(versions, Versions::Sample(_) | Versions::Only(_));
        let version = if is_new { "v2" } else { "v1" };
        self.nodes[node].record_sent(&service, version);
        let active = fault.filter(|f| is_new && now >= f.from + Millis(10_000));
        let active = active.filter(|f| f.route.is_none_or(|only| only == route));
        let failed = self
            .rng
            .random_bool(active.map_or(0.01, |f| f.failing.max(0.01)));
        let slow = active.is_some_and(|f| self.rng.random_bool(f.slow));
        let factor = active.filter(|_| slow).map_or(1.0, |f| f.factor);
        // A new endpoint has no cached prompts.
        let cold = if is_new { 1.5 } else { 1.0 };
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Answered {
                first: Millis((usual * factor * cold) as u64),
                gap_us: (8_000.0 * factor) as u64,
            }
        };
        let route: Arc<str> = ROUTES[route].into();
        let key = Key::default();
        self.nodes[node].record(&service, version, &route, key, outcome, now);
        if is_new {
            self.exposed += 1;
            self.late += usize::from(self.contained_by.is_some_and(|at| now > at));
            self.bad += usize::from(active.is_some() && (failed || slow));
            if self.bad == 50 {
                self.contained_by.get_or_insert(now + Millis(5_000));
            }
        }
    }

    /// All nodes report to the first one, which tells them what it knows.
    fn exchange(&mut self) {
        let (holder, others) = self.nodes.split_first_mut().expect("a node");
        for (number, node) in others.iter_mut().enumerate() {
            holder.merge(&format!("node-{number}").into(), 1, &node.reports());
            node.merge_progress(&holder.progress(), 1, Millis::ZERO);
            holder.merge_progress(&node.progress(), 1, Millis::ZERO);
        }
    }

    fn play(mut self, per_s: u64, fault: Option<&Fault>) -> Played {
        // Before the order, the usual response times become known.
        for now in (0..10_000).step_by(1_000 / per_s as usize) {
            self.request(None, Millis(now));
        }
        let started = Millis(10_000);
        let order = Order {
            service: "app".into(),
            target: "v2".into(),
            duration: Millis(15_000),
        };
        let progress = Progress {
            order,
            offset: 1,
            started,
            stage: Stage::Trial,
            era: Era::default(),
        };
        let count = self.nodes.len();
        for node in &mut self.nodes {
            node.learn(&progress, Some(count));
        }
        let mut requests = 0;
        for now in (started.0..25_000).map(Millis) {
            if now.0 % (1_000 / per_s) == 0 {
                self.request(fault, now);
                requests += 1;
            }
            if now.0 % REVIEW.0 == 0 {
                for node in &mut self.nodes {
                    node.review(now, Millis(4_000), |_| true);
                }
                for due in self.nodes[0].advance(now) {
                    self.nodes[0].record_stored(&due);
                }
            }
            if now.0 % EXCHANGE.0 == 0 {
                self.exchange();
            }
        }
        let trial = self.nodes[0].get("app").expect("a rollout");
        Played {
            stage: trial.progress.stage,
            requests,
            exposed: self.exposed,
            late: self.late,
        }
    }
}

/// A number of nodes and a rate of requests.
const SIZES: &[(usize, u64)] = &[(1, 20), (8, 60), (6, 200), (83, 500), (370, 1_000)];

/// Guards against a bad version that gets more requests than it may, or that is completed.
#[test]
fn a_bad_version_is_reverted_within_its_limits_on_any_number_of_nodes() {
    for fault in FAULTS {
        for (nodes, per_s) in SIZES {
            for seed in 1..=20 {
                let played = Simulation::new(*nodes, seed).play(*per_s, Some(fault));
                let case = format!("{}, {nodes} nodes, {per_s}/s, seed {seed}", fault.name);
                assert_eq!(played.stage, Stage::Reverted, "{case}");
                let allowed = LIMIT.share * played.requests as f64 + LIMIT.slack;
                let exposed = played.exposed;
                assert!(exposed as f64 <= allowed, "{case}: {exposed} of {allowed}");
                assert_eq!(played.late, 0, "{case}");
            }
        }
    }
}

/// Guards against a good version that is reverted because its endpoints have just started.
#[test]
fn a_good_version_is_completed_on_any_number_of_nodes() {
    for (nodes, per_s) in SIZES {
        let seeds = 1..=40;
        let completed = seeds.filter(|seed| {
            let played = Simulation::new(*nodes, *seed).play(*per_s, None);
            played.stage == Stage::Completed
        });
        let completed = completed.count();
        assert!(
            completed >= 38,
            "{nodes} nodes, {per_s}/s: {completed} of 40"
        );
    }
}
