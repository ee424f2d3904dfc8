//! Rollouts that an operator orders: how many requests a new version gets, and how they end.

use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::gateway::Era;
use almondpath::gateway::rollout::{ExposureLimit, Order, Progress, Rollouts, Stage};
use futures::future::join_all;
use serde_json::{Value, json};

use crate::harness::eventually;
use crate::platform::{Behaviour, Deployment, Engine, Request};

/// Share of the requests that a bad version may get.
const EXPOSURE_SHARE: f64 = 0.1;

const LIMIT: ExposureLimit = ExposureLimit {
    share: EXPOSURE_SHARE,
    slack: 50.0,
};

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
        let mut rollouts = Rollouts::new(LIMIT, 1.0);
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
