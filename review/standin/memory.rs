//! LOST: many clients send large bodies at the same time, and the memory of a machine runs out.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Client, Ending, Request};
use crate::engine::{Engine, Plan};
use crate::gateway::{self, Gateway, MEMORY_MB};
use crate::platform::{Cloud, Store};
use crate::record::Record;

const ZONES: [&str; 2] = ["a", "b"];

/// Clients of each gateway that send small requests all the while.
const STEADY_CLIENTS: usize = 16;
const STEADY_PAUSE: Duration = Duration::from_millis(20);

/// Pause after a request that could not be sent.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Clients of each gateway that send large bodies all the while, and those that come at once in
/// addition: 1.69 times as many in all.
const USUAL_UPLOADS: usize = 48;
const BURST_UPLOADS: usize = 33;

/// When the burst begins, and how long it lasts.
const BURST_START: Duration = Duration::from_secs(8);
const BURST_TIME: Duration = Duration::from_secs(8);

/// Size of a large body: `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Rate at which a client sends a body. All clients of a gateway together stay below its
/// `link_mbps`.
const BYTES_PER_S: usize = 1_500_000;

/// Time that an upload takes.
const UPLOAD_TIME: Duration = Duration::from_millis(2_800);

const DEADLINE: Duration = Duration::from_secs(15);
const PLAY_TIME: Duration = Duration::from_secs(22);

/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Interval at which the platform looks at the memory of the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of requests that a machine in touch may lose.
const MAX_LOST: usize = 3;

pub fn play(record: &Record, scratch: &Path, trouble: bool) -> Outcome {
    let store = Store::start();
    let cloud = Cloud::start();
    store.put("keyed.op", "config", &crate::config(1));
    let engines: Vec<Arc<Engine>> = (0..4)
        .map(|number| {
            let plan = Plan {
                id: format!("i-{number}"),
                service: "app",
                version: "v1",
                zone: ZONES[number % ZONES.len()],
                slots: 24,
                work: Duration::from_millis(30),
                bad_path: None,
            };
            Engine::start(plan, &store, record)
        })
        .collect();
    let Some(gateways) = gateway::start_all(&ZONES, &store, cloud.address, scratch) else {
        return Outcome::NotRun("the gateways did not become ready");
    };
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let gateways = Arc::new(Mutex::new(gateways));
    let kills = {
        let (gateways, record, stop) = (Arc::clone(&gateways), record.clone(), Arc::clone(&stop));
        thread::spawn(move || watch_memory(&gateways, &record, &stop))
    };
    let mut clients = Vec::new();
    let uploads = USUAL_UPLOADS + if trouble { BURST_UPLOADS } else { 0 };
    let body: Arc<Vec<u8>> = Arc::new(vec![b'x'; BODY_BYTES]);
    for (gateway, front) in fronts.into_iter().enumerate() {
        for number in 0..STEADY_CLIENTS + uploads {
            let client = Client::new(front, record);
            let (stop, lost) = (Arc::clone(&stop), Arc::clone(&lost));
            let body = (number >= STEADY_CLIENTS).then(|| Arc::clone(&body));
            let during = if number < STEADY_CLIENTS + USUAL_UPLOADS {
                // The uploads are at different stages.
                let stage = number as f64 / USUAL_UPLOADS as f64;
                (UPLOAD_TIME.mul_f64(stage), PLAY_TIME)
            } else {
                (BURST_START, BURST_START + BURST_TIME)
            };
            let id = format!("{gateway:x}{number:02x}");
            let started = record.elapsed();
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let is_over =
                    || stop.load(Ordering::Relaxed) || record.elapsed() > started + during.1;
                thread::sleep(during.0);
                send(client, &id, body.as_deref(), is_over, &lost);
            }));
        }
    }
    thread::sleep(PLAY_TIME);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let kills = kills.join().unwrap_or(0);
    gateways.lock().unwrap().clear();
    let run: HashSet<String> = engines
        .iter()
        .flat_map(|engine| {
            engine
                .runs
                .lock()
                .unwrap()
                .iter()
                .map(|run| run.id.clone())
                .collect::<Vec<_>>()
        })
        .collect();
    let lost = lost.lock().unwrap();
    let passed_on = lost.iter().filter(|id| run.contains(*id)).count();
    record.say(&format!(
        "{} requests ran; {} on kept connections ended without an answer, {passed_on} of them were \
         passed on to an engine; processes ended for their memory {kills} times",
        run.len(),
        lost.len()
    ));
    if passed_on > MAX_LOST {
        return Outcome::Broken;
    }
    Outcome::Held
}

/// Ends processes that exceed their memory and starts them again, as the platform does; returns how
/// many it ended.
fn watch_memory(gateways: &Mutex<Vec<Gateway>>, record: &Record, stop: &AtomicBool) -> usize {
    let mut kills = 0;
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(LOOK_INTERVAL);
        let mut gateways = gateways.lock().unwrap();
        restarts.retain(|(number, at)| {
            if Instant::now() < *at {
                return true;
            }
            gateways[*number].restart();
            record.say(&format!("{} is started again", gateways[*number].name));
            false
        });
        for (number, gateway) in gateways.iter_mut().enumerate() {
            if restarts.iter().any(|(down, _)| *down == number) {
                continue;
            }
            let Some(used) = gateway.memory_mb() else {
                continue;
            };
            if used > MEMORY_MB {
                gateway.kill();
                kills += 1;
                restarts.push((number, Instant::now() + RESTART_DELAY));
                record.say(&format!(
                    "{} uses {used} MB of {MEMORY_MB} MB and is killed",
                    gateway.name
                ));
            }
        }
    }
    kills
}

fn send<F>(
    mut client: Client,
    name: &str,
    large: Option<&Vec<u8>>,
    is_over: F,
    lost: &Mutex<Vec<String>>,
) where
    F: Fn() -> bool,
{
    client.bytes_per_s = large.map(|_| BYTES_PER_S);
    let mut count = 0;
    while !is_over() {
        count += 1;
        let id = format!("{name}{count:05x}");
        let kept = client.is_kept();
        let ending = client.send(&Request {
            id: &id,
            path: "/activate/x",
            key: "key-one",
            deadline: DEADLINE,
            body: large.map_or(b"activate", |large| large),
        });
        if kept && ending == Ending::Closed {
            lost.lock().unwrap().push(id);
        }
        thread::sleep(if ending == Ending::NotSent {
            RETRY_PAUSE
        } else {
            STEADY_PAUSE
        });
    }
}
