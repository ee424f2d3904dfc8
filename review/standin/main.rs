//! Plays one case of the review: stand-ins of the platform, of the engines and of the clients, and
//! gateways as processes of their own, on loopback addresses.
//!
//! `standin CASE FOLDER` writes `record.txt` into the folder. It exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod client;
mod engine;
mod exposure;
mod gateway;
mod http;
mod leaving;
mod memory;
mod orders;
mod platform;
mod record;
mod streams;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

/// The result of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let (play_record, play_scratch, case) = (record.clone(), scratch.clone(), case.clone());
    // The gateways are children that end when their handles are dropped, so that the case runs in a
    // thread and is waited for.
    let playing = thread::spawn(move || match &*case {
        "exposure" => exposure::play(&play_record, &play_scratch, trouble),
        "leaving" => leaving::play(&play_record, &play_scratch, trouble),
        "orders" => orders::play(&play_record, &play_scratch, trouble),
        "streams" => streams::play(&play_record, &play_scratch, trouble),
        "memory" => memory::play(&play_record, &play_scratch, trouble),
        _ => Outcome::NotRun("no such case"),
    });
    let until = record.elapsed() + LIMIT;
    while !playing.is_finished() && record.elapsed() < until {
        thread::sleep(Duration::from_millis(50));
    }
    let outcome = if playing.is_finished() {
        playing
            .join()
            .unwrap_or(Outcome::NotRun("the case panicked"))
    } else {
        Outcome::NotRun("the case took too long")
    };
    let code = match outcome {
        Outcome::Held => {
            record.say("the rule held");
            0
        }
        Outcome::Broken => {
            record.say("the rule was broken");
            1
        }
        Outcome::NotRun(reason) => {
            record.say(reason);
            2
        }
    };
    record.flush();
    gateway::kill_all();
    let _ = std::fs::remove_dir_all(&scratch);
    exit(code);
}

/// Returns a configuration with a plain service, `app`, with a route of each kind to it, and a service
/// of model engines, `llm`, with a route for streams that may be resumed.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumes: bool| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"h.example\",\"path_prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":15000,\"target_latency_ms\":500,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":{attempts},\"anonymous\":false,\
             \"resume_streams\":{resumes},\"gap_target_ms\":500}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":96,\
         \"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,\
         \"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_capacity\":448646,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"one\",\"api_keys\":[\"key-one\"]}}]}}",
        route("activate", "non_idempotent", "app", 1, false),
        route("status", "idempotent", "app", 1, false),
        route("chat", "streaming", "llm", 2, true),
    )
}
