//! EXPOSURE: an operator rolls out a version that is bad on one route only.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client::{Client, Request};
use crate::engine::{Engine, Plan, Run};
use crate::gateway;
use crate::platform::{Cloud, Store};
use crate::record::Record;

const ZONES: [&str; 3] = ["a", "b", "c"];
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(100);

/// One of so many requests is an activation, on which the version is bad; the others are look-ups.
const REQUESTS_PER_ACTIVATION: usize = 50;
const ACTIVATE: &str = "/activate/x";
const STATUS: &str = "/status/x";

/// Time of traffic before the order.
const CALM_TIME: Duration = Duration::from_secs(6);

/// `duration_s` of the order.
const ORDER_TIME: Duration = Duration::from_secs(12);

/// Time from the order until the engines of its version run.
const BOOT_TIME: Duration = Duration::from_millis(500);

/// Time of traffic after the deadline of the order.
const AFTERMATH: Duration = Duration::from_secs(40);

/// `exposure_share`, `exposure_slack` and `rollback_ms` of the settings.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_TIME: Duration = Duration::from_secs(5);

/// Deadline of the clients: a request runs at most so long after it was sent.
const DEADLINE: Duration = Duration::from_secs(1);

/// Bad answers after which the time for the roll-back begins.
const BAD_ANSWERS: usize = 50;

pub fn play(record: &Record, scratch: &Path, trouble: bool) -> Outcome {
    let store = Store::start();
    let cloud = Cloud::start();
    store.put("keyed.op", "config", &crate::config(1));
    let start = |version: &'static str, bad_path: Option<&'static str>| -> Vec<Arc<Engine>> {
        let plans = ZONES.iter().map(|zone| Plan {
            id: format!("i-{version}-{zone}"),
            service: "app",
            version,
            zone,
            slots: 6,
            work: Duration::from_millis(30),
            bad_path,
        });
        plans
            .map(|plan| Engine::start(plan, &store, record))
            .collect()
    };
    let old = start("v1", None);
    let Some(gateways) = gateway::start_all(&ZONES, &store, cloud.address, scratch) else {
        return Outcome::NotRun("the gateways did not become ready");
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, record) = (gateways[number % gateways.len()].front, record.clone());
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                send_until(
                    number,
                    REQUESTS_PER_ACTIVATION,
                    Client::new(front, &record),
                    &stop,
                )
            })
        })
        .collect();
    thread::sleep(CALM_TIME);

    let ordered = record.elapsed();
    let order = format!(
        "{{\"service\":\"app\",\"target\":\"v2\",\"duration_s\":{}}}",
        ORDER_TIME.as_secs()
    );
    store.put("keyed.op", "rollout/app", &order);
    record.say(&format!("the operator orders {order}"));
    thread::sleep(BOOT_TIME);
    let new = start("v2", trouble.then_some(ACTIVATE));
    let mut seen = String::new();
    while record.elapsed() < ordered + ORDER_TIME + AFTERMATH {
        thread::sleep(Duration::from_millis(20));
        let status = store
            .newest("keyed.status", "rollout/app")
            .unwrap_or_default();
        if status != seen {
            record.say(&format!(
                "{:.1} s after the order, its status is {status}",
                (record.elapsed() - ordered).as_secs_f64()
            ));
            if status.contains("\"completed\"") {
                // The engines of the old version stop at once.
                for engine in &old {
                    engine.end(&store);
                }
            }
            seen = status;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let engines: Vec<_> = old.into_iter().chain(new).collect();
    judge(record, &engines, ordered, ORDER_TIME, trouble)
}

/// Sends requests until the end; one of `per_activation` is an activation.
pub fn send_until(number: usize, per_activation: usize, mut client: Client, stop: &AtomicBool) {
    let mut count = number;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{number:02x}{count:06x}");
        let is_activation = count.is_multiple_of(per_activation);
        client.send(&Request {
            id: &id,
            path: if is_activation { ACTIVATE } else { STATUS },
            key: "key-one",
            deadline: DEADLINE,
            body: b"request",
        });
        thread::sleep(PAUSE);
    }
}

/// Applies the rule to the version that was ordered, if it is bad.
pub fn judge(
    record: &Record,
    engines: &[Arc<Engine>],
    ordered: Duration,
    order_time: Duration,
    is_bad: bool,
) -> Outcome {
    let mut runs: Vec<Run> = Vec::new();
    for engine in engines {
        runs.extend(engine.runs.lock().unwrap().iter().cloned());
    }
    runs.sort_by_key(|run| run.at);
    let deadline = ordered + order_time;
    let during = runs
        .iter()
        .filter(|run| run.at >= ordered && run.at < deadline);
    let all = during.clone().count();
    let exposed = during.clone().filter(|run| run.version == "v2").count();
    let failed = during.filter(|run| run.failed).count();
    let most = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    record.say(&format!(
        "from the order to its deadline, {all} requests reached the service, {exposed} of them v2, \
         where {failed} failed; a bad version may get {most:.0}"
    ));
    let bad: Vec<&Run> = runs.iter().filter(|run| run.failed).collect();
    let late = bad.get(BAD_ANSWERS - 1).map_or(0, |fiftieth| {
        let from = fiftieth.at + ROLLBACK_TIME + DEADLINE;
        runs.iter()
            .filter(|run| run.version == "v2" && run.at > from)
            .count()
    });
    record.say(&format!(
        "{} bad answers in all; {late} requests were sent to v2 later than 5 s after the 50th",
        bad.len()
    ));
    if is_bad && (exposed as f64 > most || late > 0) {
        return Outcome::Broken;
    }
    Outcome::Held
}
