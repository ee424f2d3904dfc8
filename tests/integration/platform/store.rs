use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::http::{self, Call, Response};

const ERA_HEADER: &str = "store-era";

const INITIAL_ERA: u64 = 1;

/// Faults injected at the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Calls get no response for a minute.
    pub(crate) hang: bool,
    /// Calls fail with 503.
    pub(crate) down: bool,
    /// Appends are stored, but get no response.
    pub(crate) lose_responses: bool,
}

#[derive(Clone, Default)]
struct Topic {
    first: u64,
    records: Vec<Vec<u8>>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// Everything that the store has acknowledged.
#[derive(Clone, Default)]
pub(crate) struct Content {
    topics: HashMap<String, Topic>,
    /// The latest value of each key and its offset, by topic; these never expire.
    latest: HashMap<String, BTreeMap<String, (u64, Vec<u8>)>>,
    /// Items that the lists of the latest values have in addition, by topic.
    odd_items: HashMap<String, Vec<Value>>,
    /// Largest number of items in a list; no limit if 0.
    page_items: usize,
}

struct State {
    content: Content,
    /// Number in the header of all responses; rises by one with each restore.
    era: u64,
    faults: Faults,
    calls: usize,
}

impl Default for State {
    fn default() -> Self {
        Self {
            content: Content::default(),
            era: INITIAL_ERA,
            faults: Faults::default(),
            calls: 0,
        }
    }
}

/// Test double of the platform's store, in the form of a log.
#[derive(Clone)]
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
}

impl Store {
    pub(crate) async fn start() -> Self {
        let state: Arc<Mutex<State>> = Arc::default();
        let appended = Arc::new(Notify::new());
        let (shared, notified) = (Arc::clone(&state), Arc::clone(&appended));
        let address = http::serve_with_headers(move |call| {
            let (state, appended) = (Arc::clone(&shared), Arc::clone(&notified));
            async move { handle(&state, &appended, call).await }
        })
        .await;
        Self {
            address,
            state,
            appended,
        }
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        self.state.lock().expect("no panic").faults = faults;
    }

    pub(crate) fn calls(&self) -> usize {
        self.state.lock().expect("no panic").calls
    }

    /// Sets the value of a key, as the operator and the endpoints do.
    pub(crate) fn put(&self, topic: &str, key: &str, value: &Value) {
        self.put_bytes(topic, key, value.to_string().as_bytes());
    }

    pub(crate) fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let content = &mut self.state.lock().expect("no panic").content;
        content.append(topic, record);
        self.appended.notify_waiters();
    }

    /// Appends a record as it is, which need not contain a key.
    pub(crate) fn append_raw(&self, topic: &str, record: &[u8]) {
        let content = &mut self.state.lock().expect("no panic").content;
        content.append(topic, record.to_vec());
        self.appended.notify_waiters();
    }

    /// Adds an item, which need not have a key or a value, to the lists of the latest values.
    pub(crate) fn add_odd_item(&self, topic: &str, item: Value) {
        let odd_items = &mut self.state.lock().expect("no panic").content.odd_items;
        odd_items.entry(topic.to_owned()).or_default().push(item);
    }

    /// Limits the number of items in a list of the latest values.
    pub(crate) fn set_page_items(&self, items: usize) {
        self.state.lock().expect("no panic").content.page_items = items;
    }

    /// Removes a key.
    pub(crate) fn remove(&self, topic: &str, key: &str) {
        self.put_bytes(topic, key, &[]);
    }

    /// Drops all records of a topic; the latest value of each key stays.
    pub(crate) fn expire(&self, topic: &str) {
        let state = &mut *self.state.lock().expect("no panic");
        let topics = &mut state.content.topics;
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.first = topic.end();
        topic.records.clear();
    }

    /// Returns a copy to which the store can be restored.
    pub(crate) fn copy(&self) -> Content {
        self.state.lock().expect("no panic").content.clone()
    }

    /// Replaces the content by that of an earlier copy: everything acknowledged since is lost.
    pub(crate) fn restore(&self, copy: Content) {
        let mut state = self.state.lock().expect("no panic");
        state.content = copy;
        state.era += 1;
        drop(state);
        self.appended.notify_waiters();
    }

    /// Returns the latest value of a key as JSON.
    pub(crate) fn value(&self, topic: &str, key: &str) -> Option<Value> {
        let state = self.state.lock().expect("no panic");
        let (_, value) = state.content.latest.get(topic)?.get(key)?;
        serde_json::from_slice(value).ok()
    }

    /// Returns the records of a topic as JSON.
    pub(crate) fn records(&self, topic: &str) -> Vec<Value> {
        let state = self.state.lock().expect("no panic");
        let topic = state.content.topics.get(topic);
        let records = topic.map(|topic| topic.records.clone());
        let records = records.unwrap_or_default().into_iter();
        records
            .filter_map(|r| serde_json::from_slice(&r).ok())
            .collect()
    }
}

impl Content {
    fn append(&mut self, name: &str, record: Vec<u8>) -> u64 {
        let topic = self.topics.entry(name.to_owned()).or_default();
        let offset = topic.end();
        if name.starts_with("keyed.")
            && let Some((key, value)) = split_record(&record)
        {
            let key = String::from_utf8_lossy(key).into_owned();
            let value = value.to_vec();
            let latest = self.latest.entry(name.to_owned()).or_default();
            if value.is_empty() {
                latest.remove(&key);
            } else {
                latest.insert(key, (offset, value));
            }
        }
        topic.records.push(record);
        offset
    }
}

/// Splits a record into key and value; none if it is too short.
fn split_record(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(*length))
}

/// Decodes the percent-encoding of a query value.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let code = after.get(..2).filter(|_| *first == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        let byte = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        bytes.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the response to a call, with the header that all responses have.
async fn handle(state: &Mutex<State>, appended: &Notify, call: Call) -> (Response, HeaderMap) {
    let (response, era) = respond(state, appended, call).await;
    let era = (HeaderName::from_static(ERA_HEADER), era.into());
    (response, [era].into_iter().collect())
}

/// Returns the response to a call, and the era in which it was made.
async fn respond(state: &Mutex<State>, appended: &Notify, call: Call) -> (Response, u64) {
    let faults = {
        let mut state = state.lock().expect("no panic");
        state.calls += 1;
        state.faults
    };
    if faults.hang {
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
    let with_era = |state: &State, response| (response, state.era);
    if faults.down {
        return with_era(&state.lock().expect("no panic"), Some((503, Vec::new())));
    }
    match &*call.path {
        "/api/log-append" => {
            let mut state = state.lock().expect("no panic");
            let response = append(&mut state.content, &call);
            appended.notify_waiters();
            with_era(&state, response.filter(|_| !faults.lose_responses))
        }
        "/api/log-newest" => {
            let state = state.lock().expect("no panic");
            with_era(&state, latest(&state.content, &call))
        }
        "/api/log-read" => {
            let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0));
            let notified = appended.notified();
            let (response, empty) = {
                let mut state = state.lock().expect("no panic");
                let (response, empty) = read(&mut state.content, &call);
                (with_era(&state, response), empty)
            };
            if !empty || wait.is_zero() {
                return response;
            }
            // The records are read again whether or not an append ended the wait.
            let _ = tokio::time::timeout(wait, notified).await;
            let mut state = state.lock().expect("no panic");
            let (response, _) = read(&mut state.content, &call);
            with_era(&state, response)
        }
        _ => with_era(&state.lock().expect("no panic"), Some((404, Vec::new()))),
    }
}

fn topic_of(call: &Call) -> &str {
    call.query_value("topic").expect("a topic")
}

fn append(content: &mut Content, call: &Call) -> Response {
    let name = topic_of(call).to_owned();
    if name == "keyed.op" || name == "keyed.servers" {
        return Some((403, Vec::new()));
    }
    let end = content.topics.entry(name.clone()).or_default().end();
    if call.query_number("at").is_some_and(|at| at != end) {
        let body = json!({ "end_offset": end }).to_string();
        return Some((412, body.into_bytes()));
    }
    let mut rest = &call.body[..];
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let (record, after) = after.split_at(u32::from_be_bytes(*length) as usize);
        content.append(&name, record.to_vec());
        rest = after;
    }
    let body = json!({ "offset": end, "end_offset": content.topics[&name].end() });
    Some((200, body.to_string().into_bytes()))
}

fn latest(content: &Content, call: &Call) -> Response {
    let name = topic_of(call);
    let after = call.query_value("after").map(percent_decode);
    let latest = content.latest.get(name).into_iter().flatten();
    let mut items: Vec<Value> = latest
        .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
        .map(|(key, (offset, value))| {
            json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
        })
        .collect();
    let truncated = content.page_items > 0 && items.len() > content.page_items;
    if truncated {
        items.truncate(content.page_items);
    }
    items.extend(content.odd_items.get(name).into_iter().flatten().cloned());
    let end = content.topics.get(name).map_or(0, Topic::end);
    let body = json!({ "items": items, "truncated": truncated, "end_offset": end });
    Some((200, body.to_string().into_bytes()))
}

/// Returns the response and whether it contains no record.
fn read(content: &mut Content, call: &Call) -> (Response, bool) {
    let topic = content.topics.entry(topic_of(call).to_owned()).or_default();
    let from = call.query_number("from").expect("an offset");
    if from < topic.first || from > topic.end() {
        let body = json!({ "first": topic.first }).to_string();
        return (Some((410, body.into_bytes())), false);
    }
    let mut body = topic.end().to_be_bytes().to_vec();
    body.extend_from_slice(&topic.first.to_be_bytes());
    let records = topic.records.iter().skip((from - topic.first) as usize);
    let mut empty = true;
    for record in records {
        empty = false;
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(record);
    }
    (Some((200, body)), empty)
}
