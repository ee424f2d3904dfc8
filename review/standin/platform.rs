//! The platform's store (a log) and its API for the duties.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};

/// A topic of the store, with one partition.
#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// The newest record of each key, in keyed topics.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn append(&mut self, keyed: bool, record: Vec<u8>) {
        let offset = self.end();
        if keyed && !record.is_empty() && record.len() > usize::from(record[0]) {
            let split = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..split]).into_owned();
            let value = record[split..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        self.records.push(record);
    }
}

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Topic>>,
    appended: Condvar,
    /// When each machine last read the list of the engines, by its number.
    list_reads: Mutex<HashMap<usize, Instant>>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let shared = Arc::default();
        Self { shared }
    }

    /// Returns an address at which the machine with this number reaches the store.
    pub fn address(&self, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::clone(&self.shared);
        http::serve(listener, move |stream| {
            serve_store(&shared, machine, stream)
        });
        address
    }

    /// Returns the machines that read the list of the engines, those first that read it last.
    pub fn list_readers(&self) -> Vec<usize> {
        let reads = self.shared.list_reads.lock().unwrap();
        let mut readers: Vec<_> = reads.iter().map(|(machine, at)| (*at, *machine)).collect();
        readers.sort();
        readers
            .into_iter()
            .rev()
            .map(|(_, machine)| machine)
            .collect()
    }

    /// Writes the value of a key, as the operator and the engines do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.shared.topics.lock().unwrap();
        topics
            .entry(topic.to_owned())
            .or_default()
            .append(true, record);
        self.shared.appended.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.shared.topics.lock().unwrap();
        let (_, value) = topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }
}

fn serve_store(shared: &Shared, machine: usize, mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while let Some((head, body)) = http::read_request(&mut stream, &mut buffer) {
        if head.query("topic").as_deref() == Some("keyed.servers") {
            shared
                .list_reads
                .lock()
                .unwrap()
                .insert(machine, Instant::now());
        }
        let (status, body) = respond(shared, &head, &body);
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if http::write(&mut stream, text.as_bytes()).is_err()
            || http::write(&mut stream, &body).is_err()
        {
            return;
        }
    }
}

fn respond(shared: &Shared, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
    let name = head.query("topic").unwrap_or_default();
    let keyed = name.starts_with("keyed.");
    match head.path() {
        "/api/log-append" => {
            if name == "keyed.op" || name == "keyed.servers" {
                return (403, Vec::new());
            }
            let mut topics = shared.topics.lock().unwrap();
            let topic = topics.entry(name).or_default();
            let start = topic.end();
            let at = head.query("at").and_then(|at| at.parse::<u64>().ok());
            if at.is_some_and(|at| at != start) {
                return (412, format!("{{\"end_offset\":{start}}}").into_bytes());
            }
            let mut rest = body;
            while rest.len() >= 4 {
                let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                topic.append(keyed, rest[4..4 + length].to_vec());
                rest = &rest[4 + length..];
            }
            shared.appended.notify_all();
            let end = topic.end();
            (
                200,
                format!("{{\"offset\":{start},\"end_offset\":{end}}}").into_bytes(),
            )
        }
        "/api/log-newest" => {
            let topics = shared.topics.lock().unwrap();
            let topic = topics.get(&name);
            let items: Vec<String> = topic
                .map(|topic| {
                    let newest = topic.newest.iter();
                    newest
                        .map(|(key, (offset, value))| {
                            format!(
                                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                                base64(value)
                            )
                        })
                        .collect()
                })
                .unwrap_or_default();
            let end = topic.map_or(0, Topic::end);
            let body = format!(
                "{{\"items\":[{}],\"truncated\":false,\"end_offset\":{end}}}",
                items.join(",")
            );
            (200, body.into_bytes())
        }
        "/api/log-read" => {
            let number = |name| head.query(name).and_then(|text| text.parse::<u64>().ok());
            let from = number("from").unwrap_or(0) as usize;
            let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
            let mut topics = shared.topics.lock().unwrap();
            loop {
                let topic = topics.entry(name.clone()).or_default();
                let now = Instant::now();
                if topic.records.len() > from || now >= until {
                    let mut page = topic.end().to_be_bytes().to_vec();
                    page.extend_from_slice(&0_u64.to_be_bytes());
                    for record in topic.records.iter().skip(from) {
                        page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        page.extend_from_slice(record);
                    }
                    return (200, page);
                }
                topics = shared.appended.wait_timeout(topics, until - now).unwrap().0;
            }
        }
        _ => (404, Vec::new()),
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            if position <= chunk.len() {
                let index = (bits >> (18 - 6 * position)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// The platform's API for the duties; accepts every call.
pub struct Cloud {
    pub address: SocketAddr,
}

impl Cloud {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        http::serve(listener, |mut stream| {
            let mut buffer = Vec::new();
            while http::read_request(&mut stream, &mut buffer).is_some() {
                let text = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                if http::write(&mut stream, text).is_err() {
                    return;
                }
            }
        });
        Self { address }
    }
}

/// Repeats an action at an interval, in the background, for as long as it returns true.
pub fn every<F>(interval: Duration, mut action: F)
where
    F: FnMut() -> bool + Send + 'static,
{
    thread::spawn(move || {
        while action() {
            thread::sleep(interval);
        }
    });
}
