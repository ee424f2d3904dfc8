//! EXPOSURE: an operator's order replaces one that is under way.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client::Client;
use crate::engine::{Engine, Plan};
use crate::exposure::{judge, send_until};
use crate::gateway;
use crate::platform::{Cloud, Store};
use crate::record::Record;

const ZONES: [&str; 3] = ["a", "b", "c"];
const CLIENTS: usize = 150;

/// Time of traffic before the first order.
const CALM_TIME: Duration = Duration::from_secs(6);

/// `duration_s` of each order.
const ORDER_TIME: Duration = Duration::from_secs(20);

/// Time from an order until the engines of its version run.
const BOOT_TIME: Duration = Duration::from_millis(500);

/// Time from the first order to the second one.
const SECOND_ORDER: Duration = Duration::from_secs(3);

/// Time from the first order until half of the answers of its version fail.
const TURNS_BAD: Duration = Duration::from_secs(14);

pub fn play(record: &Record, scratch: &Path, trouble: bool) -> Outcome {
    let store = Store::start();
    let cloud = Cloud::start();
    store.put("keyed.op", "config", &crate::config(1));
    let start = |version: &'static str| -> Vec<Arc<Engine>> {
        let plans = ZONES.iter().map(|zone| Plan {
            id: format!("i-{version}-{zone}"),
            service: "app",
            version,
            zone,
            slots: 6,
            work: Duration::from_millis(30),
            bad_path: None,
        });
        plans
            .map(|plan| Engine::start(plan, &store, record))
            .collect()
    };
    let order = |target: &str| {
        let text = format!(
            "{{\"service\":\"app\",\"target\":\"{target}\",\"duration_s\":{}}}",
            ORDER_TIME.as_secs()
        );
        store.put("keyed.op", "rollout/app", &text);
        record.say(&format!("the operator orders {text}"));
    };
    let mut engines = start("v1");
    let Some(gateways) = gateway::start_all(&ZONES, &store, cloud.address, scratch) else {
        return Outcome::NotRun("the gateways did not become ready");
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, record) = (gateways[number % gateways.len()].front, record.clone());
            let stop = Arc::clone(&stop);
            thread::spawn(move || send_until(number, 1, Client::new(front, &record), &stop))
        })
        .collect();
    thread::sleep(CALM_TIME);

    let ordered = record.elapsed();
    order("v2");
    thread::sleep(BOOT_TIME);
    let first = start("v2");
    thread::sleep(SECOND_ORDER - BOOT_TIME);
    if trouble {
        order("v3");
    }
    thread::sleep(BOOT_TIME);
    if trouble {
        engines.extend(start("v3"));
    }
    thread::sleep(TURNS_BAD - SECOND_ORDER - BOOT_TIME);
    record.say("half of the answers of v2 fail from now on");
    for engine in &first {
        engine.bad.store(true, Ordering::Relaxed);
    }
    thread::sleep(ORDER_TIME - TURNS_BAD);
    let status = store
        .newest("keyed.status", "rollout/app")
        .unwrap_or_default();
    record.say(&format!(
        "at the deadline of the order for v2, the status is {status}"
    ));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    engines.extend(first);
    judge(record, &engines, ordered, ORDER_TIME, true)
}
