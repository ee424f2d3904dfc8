//! DRAIN: machines restart together while an engine leaves.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client::{Client, Ending, Request};
use crate::engine::{Engine, Plan};
use crate::gateway;
use crate::platform::{Cloud, Store};
use crate::record::Record;

const ZONES: [&str; 6] = ["a", "b", "c", "a", "b", "c"];
const ROUNDS: usize = 14;

/// Machines that are killed in a round, those first that read the list of the engines last.
const KILLED: usize = 3;

/// Time before the first round, in which all machines learn of the engines.
const START_TIME: Duration = Duration::from_secs(4);

/// Time from the kill until the engine leaves, by round in turn, and until the processes start again.
const LEAVE_DELAYS: [Duration; 4] = [
    Duration::from_millis(350),
    Duration::from_millis(400),
    Duration::from_millis(440),
    Duration::from_millis(480),
];
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time from the restart to the requests: `contact_ms` has passed by then.
const CALM_TIME: Duration = Duration::from_millis(3_300);

/// `drain_ms` of the settings.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// Time for which an engine that leaves serves on: `drain_ms` and a little longer.
const LINGER_TIME: Duration = Duration::from_millis(3_600);

/// Time that a request runs.
const WORK_TIME: Duration = Duration::from_millis(300);

/// Clients of each machine, which send one request each, at the same time.
const CLIENTS: usize = 16;
const DEADLINE: Duration = Duration::from_secs(4);

pub fn play(record: &Record, scratch: &Path, trouble: bool) -> Outcome {
    let store = Store::start();
    let cloud = Cloud::start();
    store.put("keyed.op", "config", &crate::config(1));
    let start = |id: String, zone: &'static str| {
        let plan = Plan {
            id,
            service: "app",
            version: "v1",
            zone,
            slots: 2,
            work: WORK_TIME,
            bad_path: None,
        };
        Engine::start(plan, &store, record)
    };
    let start_leaver = |round: usize| start(format!("i-leaves-{round}"), ZONES[round % 3]);
    let _others: Vec<_> = ZONES[..3]
        .iter()
        .map(|zone| start(format!("i-{zone}"), zone))
        .collect();
    let mut next = start_leaver(0);
    let gateways = gateway::start_all(&ZONES, &store, cloud.address, scratch);
    let Some(mut gateways) = gateways else {
        return Outcome::NotRun("the gateways did not become ready");
    };
    thread::sleep(START_TIME);
    let (mut late, mut lost) = (0, 0);
    for round in 0..ROUNDS {
        let engine = std::mem::replace(&mut next, start_leaver(round + 1));
        let mut killed = store.list_readers();
        killed.truncate(KILLED);
        let leave_delay = LEAVE_DELAYS[round % LEAVE_DELAYS.len()];
        if trouble {
            for &number in &killed {
                gateways[number].kill();
            }
            record.line(&format!("machines {killed:?} are killed"));
        }
        thread::sleep(leave_delay);
        engine.leave(&store);
        let left = record.elapsed();
        let exiting = Arc::clone(&engine);
        thread::spawn(move || {
            thread::sleep(LINGER_TIME);
            exiting.exit();
        });
        thread::sleep(RESTART_DELAY - leave_delay);
        if trouble {
            for &number in &killed {
                gateways[number].restart();
            }
            record.line(&format!("machines {killed:?} are started again"));
        }
        thread::sleep(CALM_TIME);
        let senders: Vec<_> = killed
            .iter()
            .flat_map(|number| (0..CLIENTS).map(move |client| (*number, client)))
            .map(|(number, client)| {
                let (front, record) = (gateways[number].front, record.clone());
                let id = format!("{round:02x}{number:02x}{client:04x}");
                thread::spawn(move || {
                    let ending = Client::new(front, &record).send(&Request {
                        id: &id,
                        path: "/activate/x",
                        key: "key-one",
                        deadline: DEADLINE,
                        body: b"activate",
                    });
                    (id, ending)
                })
            })
            .collect();
        let endings: Vec<_> = senders.into_iter().filter_map(|s| s.join().ok()).collect();
        let reached = requests_after(&engine, left + DRAIN_TIME);
        let is_lost = |id: &String| {
            let ending = endings.iter().find(|(ended, _)| ended == id);
            ending.is_some_and(|(_, ending)| *ending != Ending::Answer(200))
        };
        let round_lost = reached.iter().filter(|id| is_lost(id)).count();
        record.say(&format!(
            "round {round}: {} requests reached the engine that had left, {round_lost} of them \
             began to run and got no success",
            reached.len()
        ));
        late += reached.len();
        lost += round_lost;
        engine.end(&store);
    }
    drop(gateways);
    record.say(&format!(
        "{late} requests reached an engine later than 2 s after it had left; {lost} were \
         lost"
    ));
    if late > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Returns the requests that reached an engine after this time.
fn requests_after(engine: &Engine, time: Duration) -> Vec<String> {
    let runs = engine.runs.lock().unwrap();
    let late = runs.iter().filter(|run| run.at > time);
    late.map(|run| run.id.clone()).collect()
}
