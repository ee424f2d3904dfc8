//! An engine of a plain service: runs each request for some time and answers it.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::platform::{Store, every};
use crate::record::Record;

/// Interval at which an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Places for requests that wait.
const QUEUE: usize = 24;

/// How an engine is set up.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: &'static str,
    pub version: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub work: Duration,
    /// The path whose runs fail every second time, if the version is bad.
    pub bad_path: Option<&'static str>,
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub version: &'static str,
    pub failed: bool,
}

/// A running engine.
pub struct Engine {
    pub plan: Plan,
    pub address: SocketAddr,
    born: u128,
    running: AtomicUsize,
    sequence: AtomicU64,
    count: AtomicU64,
    /// Whether its entry is in the store.
    is_listed: Mutex<bool>,
    /// Whether every second run fails on any path.
    pub bad: AtomicBool,
    ended: AtomicBool,
    leaving: AtomicBool,
    record: Record,
    streams: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<Vec<Run>>,
}

impl Engine {
    /// Starts an engine that registers itself in the store.
    pub fn start(plan: Plan, store: &Store, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time")
            .as_millis();
        let engine = Arc::new(Self {
            plan,
            address,
            born,
            running: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            count: AtomicU64::new(0),
            is_listed: Mutex::new(true),
            bad: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            record: record.clone(),
            streams: Mutex::default(),
            runs: Mutex::default(),
        });
        let served = Arc::clone(&engine);
        http::serve(listener, move |stream| served.serve(stream));
        let (beating, store) = (Arc::clone(&engine), store.clone());
        every(HEARTBEAT, move || {
            let is_listed = beating.is_listed.lock().unwrap();
            if *is_listed {
                store.put("keyed.servers", &beating.plan.id, &beating.entry());
            }
            *is_listed
        });
        engine
    }

    /// Begins to leave: its entry goes, and it serves on.
    pub fn leave(&self, store: &Store) {
        self.leaving.store(true, Ordering::Relaxed);
        self.remove_entry(store);
        self.record.line(&format!(
            "engine {} leaves: its entry is removed",
            self.plan.id
        ));
    }

    /// Exits, and its entry goes.
    pub fn end(&self, store: &Store) {
        self.remove_entry(store);
        self.exit();
    }

    fn remove_entry(&self, store: &Store) {
        let mut is_listed = self.is_listed.lock().unwrap();
        if std::mem::replace(&mut *is_listed, false) {
            store.put("keyed.servers", &self.plan.id, "");
        }
    }

    fn entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let Plan {
            service,
            version,
            zone,
            slots,
            ..
        } = &self.plan;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.born
        )
    }

    /// Exits: closes all connections, whatever runs.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        if self.ended.load(Ordering::Relaxed) {
            return;
        }
        self.streams.lock().unwrap().extend(stream.try_clone());
        let mut buffer = Vec::new();
        while let Some((head, length)) = http::skip_request(&mut stream, &mut buffer) {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            let id = head
                .header("x-almondpath-attempt-id")
                .unwrap_or("-")
                .to_owned();
            let expected = head.header("x-almondpath-expect-instance");
            if expected.is_some_and(|expected| expected != self.plan.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Almondpath-Instance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.plan.id
                );
                if http::write(&mut stream, text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            if running >= self.plan.slots + QUEUE {
                self.running.fetch_sub(1, Ordering::SeqCst);
                let text = "HTTP/1.1 503 Service Unavailable\r\nX-Almondpath-Not-Executed: 1\r\n\
                            Content-Length: 0\r\n\r\n";
                if http::write(&mut stream, text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            // Requests beyond the slots wait for the others.
            let rounds = (running / self.plan.slots + 1) as u32;
            let is_bad = self
                .plan
                .bad_path
                .is_some_and(|bad| head.path().starts_with(bad))
                || self.bad.load(Ordering::Relaxed);
            let failed = is_bad && self.count.fetch_add(1, Ordering::Relaxed).is_multiple_of(2);
            self.record.line(&format!(
                "engine {} {} runs {id} ({length} bytes){}",
                self.plan.id,
                self.plan.version,
                if failed { ", which fails" } else { "" }
            ));
            self.runs.lock().unwrap().push(Run {
                at: self.record.elapsed(),
                id: id.clone(),
                version: self.plan.version,
                failed,
            });
            thread::sleep(self.plan.work * rounds);
            let now = self.running.fetch_sub(1, Ordering::SeqCst);
            let (status, body) = if failed {
                (500, "failed")
            } else {
                (200, "answer")
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nX-Almondpath-Attempt-Id: {id}\r\n\
                 X-Almondpath-Engine-Signature: s.{id}\r\nX-Almondpath-Instance-Id: {}\r\n\
                 X-Almondpath-Engine-Load: {},{},{}\r\n{}Content-Length: {}\r\n\r\n{body}",
                self.plan.id,
                now.min(self.plan.slots),
                now.saturating_sub(self.plan.slots),
                self.plan.slots,
                if self.leaving.load(Ordering::Relaxed) {
                    "Server-Leaving: 1\r\n"
                } else {
                    ""
                },
                body.len()
            );
            if http::write(&mut stream, text.as_bytes()).is_err() {
                return;
            }
        }
    }
}
