use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use warp::http::StatusCode;
use warp::{Filter, Reply};

use crate::clock::Millis;
use crate::log::{Append, Entry, Offset, Page, Receipt};

use super::reply;

/// Injected faults of the log service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Refuses all appends and reads.
    pub down: bool,
    /// Delay of every append and read.
    pub delay_ms: Millis,
    /// Number of appends that take effect but are answered with an error.
    pub lose_responses: u32,
    /// Refuses appends but not reads.
    pub refuse_appends: bool,
    /// Delay after which an append takes effect although it was answered with an error; 0 is off.
    pub late_ms: Millis,
    /// Number of appends that are late; 0 means all while `late_ms` is set.
    pub late: u32,
    /// Number of appends that take effect twice.
    pub duplicate: u32,
    /// Maximum number of records kept per stream; 0 keeps all.
    pub keep: usize,
}

/// Numbers of committed appends and records, and of reads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Committed appends.
    pub appends: u64,
    /// Committed records.
    pub records: u64,
    /// Received reads by stream, including refused ones.
    pub reads: BTreeMap<String, u64>,
}

/// The retained records of a stream.
#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first retained record.
    earliest: u64,
    records: Vec<Arc<str>>,
}

impl Stream {
    /// Returns the offset after the last record.
    fn end(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    /// Appends records, drops the oldest ones beyond `keep`, and returns the first new offset.
    fn append(&mut self, records: &[Arc<str>], keep: usize) -> Offset {
        let first = Offset(self.end());
        self.records.extend(records.iter().cloned());
        let excess = self.records.len().saturating_sub(keep);
        if keep > 0 && excess > 0 {
            self.records.drain(..excess);
            self.earliest += excess as u64;
        }
        first
    }

    /// Returns up to `limit` records from an offset on.
    fn page(&self, from: Offset, limit: usize) -> Page {
        let start = from.0.clamp(self.earliest, self.end());
        let skip = usize::try_from(start - self.earliest).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(limit);
        Page {
            earliest: Offset(self.earliest),
            end: Offset(self.end()),
            records: (start..)
                .zip(records)
                .map(|(offset, data)| Entry {
                    offset: Offset(offset),
                    data: Arc::clone(data),
                })
                .collect(),
        }
    }
}

/// An in-memory log service.
#[derive(Clone, Debug)]
pub struct Log {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    streams: Mutex<HashMap<String, Stream>>,
    faults: Mutex<LogFaults>,
    stats: Mutex<LogStats>,
    /// Number of commits; wakes the reads that wait for records.
    commits: watch::Sender<u64>,
}

/// Query of a read.
#[derive(Deserialize)]
struct Query {
    from: Offset,
    limit: usize,
    wait_ms: Millis,
}

impl Default for Log {
    fn default() -> Self {
        Self::new()
    }
}

impl Log {
    /// Creates a log service without streams.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Arc::new(Inner {
                streams: Mutex::default(),
                faults: Mutex::default(),
                stats: Mutex::default(),
                commits: watch::Sender::new(0),
            }),
        }
    }

    /// Returns the filter that serves the HTTP interface.
    pub fn filter(
        &self,
    ) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible>
    + Clone
    + Send
    + Sync
    + 'static
    + use<> {
        let this = self.clone();
        let with = warp::any().map(move || this.clone());
        let append = warp::path!("streams" / String / "records")
            .and(warp::post())
            .and(warp::body::json())
            .and(with.clone())
            .then(|stream, body: Append, this: Self| async move { this.append(stream, body).await })
            .boxed();
        let read = warp::path!("streams" / String / "records")
            .and(warp::get())
            .and(warp::query())
            .and(with.clone())
            .then(|stream, query: Query, this: Self| async move { this.read(stream, query).await })
            .boxed();
        let stats = warp::path!("stats")
            .and(warp::get())
            .and(with.clone())
            .map(|this: Self| {
                let stats = this.inner.stats.lock().expect("stats lock");
                reply(StatusCode::OK, &*stats)
            })
            .boxed();
        let faults = warp::path!("faults")
            .and(warp::post())
            .and(warp::body::json())
            .and(with)
            .map(|faults: LogFaults, this: Self| {
                *this.inner.faults.lock().expect("faults lock") = faults;
                reply(StatusCode::OK, &serde_json::json!({}))
            })
            .boxed();
        append
            .or(read)
            .unify()
            .or(stats)
            .unify()
            .or(faults)
            .unify()
            .recover(super::recover)
            .unify()
    }

    /// Waits for the injected delay and returns the faults; `None` when the service is down.
    async fn begin_request(&self) -> Option<LogFaults> {
        let faults = self.inner.faults.lock().expect("faults lock").clone();
        tokio::time::sleep(faults.delay_ms.into()).await;
        if faults.down { None } else { Some(faults) }
    }

    /// Handles an append, as far as the injected faults allow.
    async fn append(self, stream: String, body: Append) -> Result<super::JsonReply, Infallible> {
        let Some(faults) = self.begin_request().await else {
            return super::unavailable();
        };
        if faults.refuse_appends {
            return super::unavailable();
        }
        if faults.late_ms > Millis::ZERO {
            let mut current = self.inner.faults.lock().expect("faults lock");
            if current.late == 1 {
                current.late_ms = Millis::ZERO;
            }
            current.late = current.late.saturating_sub(1);
            drop(current);
            tokio::spawn(async move {
                tokio::time::sleep(faults.late_ms.into()).await;
                self.commit(&stream, &body, &faults);
            });
            return super::unavailable();
        }
        let first_offset = self.commit(&stream, &body, &faults);
        if faults.duplicate > 0 {
            self.commit(&stream, &body, &faults);
            self.inner.faults.lock().expect("faults lock").duplicate -= 1;
        }
        if faults.lose_responses > 0 {
            self.inner
                .faults
                .lock()
                .expect("faults lock")
                .lose_responses -= 1;
            return super::unavailable();
        }
        reply(StatusCode::OK, &Receipt { first_offset })
    }

    /// Appends records to a stream, creating it if necessary, and returns their first offset.
    fn commit(&self, stream: &str, body: &Append, faults: &LogFaults) -> Offset {
        let mut streams = self.inner.streams.lock().expect("streams lock");
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.append(&body.records, faults.keep);
        drop(streams);
        let mut stats = self.inner.stats.lock().expect("stats lock");
        stats.appends += 1;
        stats.records += body.records.len() as u64;
        drop(stats);
        self.inner.commits.send_modify(|count| *count += 1);
        first
    }

    fn count_read(&self, stream: &str) {
        let mut stats = self.inner.stats.lock().expect("stats lock");
        *stats.reads.entry(stream.to_owned()).or_default() += 1;
    }

    /// Returns the records from an offset on, waiting up to `wait_ms` for the first.
    async fn read(self, stream: String, query: Query) -> Result<super::JsonReply, Infallible> {
        self.count_read(&stream);
        if self.begin_request().await.is_none() {
            return super::unavailable();
        }
        let mut commits = self.inner.commits.subscribe();
        let deadline = tokio::time::Instant::now() + query.wait_ms.into();
        loop {
            let page = {
                let mut streams = self.inner.streams.lock().expect("streams lock");
                let stream = streams.entry(stream.clone()).or_default();
                stream.page(query.from, query.limit)
            };
            if !page.records.is_empty() {
                return reply(StatusCode::OK, &page);
            }
            let changed = tokio::time::timeout_at(deadline, commits.changed()).await;
            if changed.is_err() {
                return reply(StatusCode::OK, &page);
            }
        }
    }
}
