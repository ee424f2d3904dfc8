//! LOST: streams whose engine pauses are moved to a full one while their machine is stopped.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::gateway;
use crate::http::{self, Head};
use crate::platform::{Cloud, Store, every};
use crate::record::Record;

const ZONES: [&str; 2] = ["a", "b"];
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 40;
const EVENT_TIME: Duration = Duration::from_millis(50);

/// Event after which a request is preempted, and the time until it goes on.
const PREEMPTED_AFTER: u64 = 5;
const PREEMPTED_TIME: Duration = Duration::from_millis(2_000);

const STREAMS: usize = 12;
const STREAM_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for which a client waits for an event: eight times the pause that the route allows.
const PATIENCE: Duration = Duration::from_millis(4_000);
const DEADLINE: Duration = Duration::from_secs(15);

/// `grace_s` of the settings, and a second more.
const STOP_TIME: Duration = Duration::from_secs(9);

/// What an engine does with a request.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Streams its events; preempts each request once if `preempts`.
    Streams { preempts: bool },
    /// Declines, because it is full.
    Full,
}

/// Requests that an engine began, and how far it came with those whose connection was closed.
type Runs = Arc<Mutex<Vec<(String, Option<u64>)>>>;

pub fn play(record: &Record, scratch: &Path, trouble: bool) -> Outcome {
    let store = Store::start();
    let cloud = Cloud::start();
    store.put("keyed.op", "config", &crate::config(1));
    let runs = Runs::default();
    let streams = Behaviour::Streams { preempts: trouble };
    start_engine("i-a", "a", streams, &runs, &store, record);
    start_engine("i-b", "b", Behaviour::Full, &runs, &store, record);
    let Some(gateways) = gateway::start_all(&ZONES, &store, cloud.address, scratch) else {
        return Outcome::NotRun("the gateways did not become ready");
    };
    thread::sleep(Duration::from_secs(4));
    let front = gateways[0].front;
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("5{number:07x}");
            let events = stream(front, &id, &record);
            (id, events)
        }));
        thread::sleep(STREAM_PAUSE);
    }
    record.say(&format!("{} gets SIGTERM", gateways[0].name));
    gateways[0].terminate();
    thread::sleep(STOP_TIME);
    let ended: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    drop(gateways);
    let runs = runs.lock().unwrap();
    let cut = ended.iter().filter(|(id, complete)| {
        !complete && runs.iter().any(|(run, left)| run == id && left.is_some())
    });
    let cut = cut.count();
    let complete = ended.iter().filter(|(_, complete)| *complete).count();
    record.say(&format!(
        "{} streams: {complete} complete; {cut} ended without their last event although their \
         engine was at work on them",
        ended.len()
    ));
    if cut > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn start_engine(
    id: &'static str,
    zone: &'static str,
    behaviour: Behaviour,
    runs: &Runs,
    store: &Store,
    record: &Record,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (runs, record, store) = (Arc::clone(runs), record.clone(), store.clone());
    http::serve(listener, move |mut stream| {
        let mut buffer = Vec::new();
        while let Some((head, _)) = http::skip_request(&mut stream, &mut buffer) {
            let is_open = match behaviour {
                Behaviour::Full => {
                    let request = head.header("x-almondpath-attempt-id").unwrap_or("-");
                    record.line(&format!("engine {id} is full and declines {request}"));
                    let text = "HTTP/1.1 503 Service Unavailable\r\n\
                                X-Almondpath-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                    http::write(&mut stream, text.as_bytes()).is_ok()
                }
                Behaviour::Streams { preempts } => {
                    run(id, &mut stream, &head, preempts, &runs, &record)
                }
            };
            if !is_open {
                return;
            }
        }
    });
    let mut sequence = 0;
    every(HEARTBEAT, move || {
        sequence += 1;
        let entry = format!(
            "{{\"service\":\"llm\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":{sequence},\"born\":1}}"
        );
        store.put("keyed.servers", id, &entry);
        true
    });
}

/// Streams the events of a request; returns whether the connection can be kept.
fn run(
    engine: &str,
    stream: &mut TcpStream,
    head: &Head,
    preempts: bool,
    runs: &Runs,
    record: &Record,
) -> bool {
    let id = head
        .header("x-almondpath-attempt-id")
        .unwrap_or("-")
        .to_owned();
    record.line(&format!("engine {engine} runs {id}"));
    let number = {
        let mut runs = runs.lock().unwrap();
        runs.push((id.clone(), None));
        runs.len() - 1
    };
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Almondpath-Attempt-Id: {id}\r\nX-Almondpath-Engine-Signature: s.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = http::write(stream, text.as_bytes()).is_ok();
    for event in 1..=EVENTS {
        thread::sleep(EVENT_TIME);
        if preempts && event == PREEMPTED_AFTER + 1 {
            record.line(&format!("engine {engine} preempts {id}"));
            thread::sleep(PREEMPTED_TIME);
            is_open &= !is_closed(stream);
        }
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        is_open = is_open && http::write(stream, chunk.as_bytes()).is_ok();
        if !is_open {
            record.line(&format!(
                "the connection of {id} was closed before event {event}"
            ));
            runs.lock().unwrap()[number].1 = Some(event);
            return false;
        }
    }
    record.line(&format!("engine {engine} has finished {id}"));
    http::write(stream, b"0\r\n\r\n").is_ok()
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Sends a request for a stream; returns whether the whole of it arrived.
fn stream(front: SocketAddr, id: &str, record: &Record) -> bool {
    let Ok(mut stream) = TcpStream::connect(front) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let text = format!(
        "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Almondpath-Attempt-Id: {id}\r\n\
         X-Almondpath-Model: m\r\nX-Almondpath-Token-Usage: 500,{EVENTS}\r\n\
         X-Almondpath-Prompt-Prefix: {id}:500\r\nX-Almondpath-Deadline-Ms: {}\r\n\
         X-Api-Key: key-one\r\nContent-Length: 4\r\n\r\nchat",
        DEADLINE.as_millis()
    );
    record.line(&format!("client sends {id}"));
    if http::write(&mut stream, text.as_bytes()).is_err() {
        return false;
    }
    let mut received = Vec::new();
    let mut bytes = [0; 4096];
    let why = loop {
        if received.ends_with(b"0\r\n\r\n") {
            break "the whole";
        }
        match stream.read(&mut bytes) {
            Ok(0) => break "the connection ended",
            Ok(count) => received.extend_from_slice(&bytes[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break "no event",
            Err(_) => break "the connection was reset",
        }
    };
    let text = String::from_utf8_lossy(&received);
    let events = text.matches("\nid: ").count();
    let status = text.lines().next().unwrap_or("no answer").to_owned();
    record.line(&format!(
        "client got of {id}: {status}, {events} events, {why}"
    ));
    why == "the whole" && events as u64 == EVENTS
}
