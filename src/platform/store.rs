use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::{Method, StatusCode};
use serde::Deserialize;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::gateway::{Append, Page, Record, Snapshot, Store, Topic};
use crate::transport::Client;

use super::http;

/// Time within which a call that does not wait is answered; the store takes a few ms.
const CALL_BOUND: Millis = Millis(1_200);

/// Time beyond its wait within which a waiting read is answered.
const WAIT_MARGIN: Millis = Millis(1_000);

/// Length of the two offsets before the records of a page, in bytes.
const PAGE_HEAD: usize = 16;

/// Length of a record's length, in bytes.
const RECORD_HEAD: usize = 4;

/// The platform's store in its form as a log.
#[derive(Debug)]
pub struct LogStore {
    address: SocketAddr,
    client: Client,
}

impl LogStore {
    /// Creates a client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(CALL_BOUND),
        }
    }

    async fn call(
        &self,
        client: &Client,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        http::call(client, method, self.address, target, &[], body).await
    }

    async fn append_record(
        &self,
        topic: Topic,
        at: Option<u64>,
        record: &[u8],
    ) -> Result<Append, Error> {
        let mut body = BytesMut::with_capacity(RECORD_HEAD + record.len());
        body.put_u32(length(record.len())?);
        body.put_slice(record);
        let mut target = format!("/api/log-append?topic={}&part=0", name(topic));
        if let Some(at) = at {
            target.push_str(&format!("&at={at}"));
        }
        let sent = self.call(&self.client, Method::POST, &target, body.freeze());
        let (status, body) = sent.await?;
        match status {
            StatusCode::OK => parse::<Appended>(&body).map(|a| Append::Stored { offset: a.offset }),
            StatusCode::PRECONDITION_FAILED => {
                parse::<Ended>(&body).map(|e| Append::Conflict { end: e.end_offset })
            }
            status => Err(http::refused("an append", status)),
        }
    }
}

/// Returns the platform's name of a topic.
const fn name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operator => "keyed.op",
        Topic::Endpoints => "keyed.servers",
        Topic::Nodes => "keyed.nodes",
        Topic::Status => "keyed.status",
        Topic::Duties => "duties",
    }
}

const fn is_keyed(topic: Topic) -> bool {
    !matches!(topic, Topic::Duties)
}

/// The answer to an append that was stored.
#[derive(Deserialize)]
struct Appended {
    /// Offset of the first record of the call.
    offset: u64,
}

/// The answer to an append whose condition did not hold.
#[derive(Deserialize)]
struct Ended {
    end_offset: u64,
}

/// The answer to a question for records that are not kept.
#[derive(Deserialize)]
struct Gone {
    /// First offset that is kept.
    first: u64,
}

/// A part of the newest records of all keys.
#[derive(Deserialize)]
struct Newest {
    items: Vec<Item>,
    truncated: bool,
    end_offset: u64,
}

#[derive(Deserialize)]
struct Item {
    key: Arc<str>,
    /// Base64.
    value: String,
    offset: u64,
}

fn parse<T>(body: &[u8]) -> Result<T, Error>
where
    T: for<'a> Deserialize<'a>,
{
    serde_json::from_slice(body).map_err(|error| {
        Error::may_have_run(
            ErrorKind::Malformed,
            format!("unexpected answer of the store: {error}"),
        )
    })
}

fn length(bytes: usize) -> Result<u32, Error> {
    u32::try_from(bytes).map_err(|_| Error::not_run(ErrorKind::TooLarge, "record too long"))
}

fn malformed() -> Error {
    Error::may_have_run(ErrorKind::Malformed, "unexpected records of the store")
}

/// Decodes a page: the end and the first offset that is kept, then records with their lengths.
fn page(mut body: Bytes, from: u64, keyed: bool) -> Result<Page, Error> {
    if body.len() < PAGE_HEAD {
        return Err(malformed());
    }
    let end = body.get_u64();
    let _first_kept = body.get_u64();
    let mut records = Vec::new();
    let mut offset = from;
    while body.has_remaining() {
        if body.remaining() < RECORD_HEAD {
            return Err(malformed());
        }
        let length = body.get_u32() as usize;
        if body.remaining() < length {
            return Err(malformed());
        }
        let content = body.split_to(length);
        records.push(record(content, offset, keyed)?);
        offset += 1;
    }
    Ok(Page::Records { records, end })
}

/// Decodes the content of a record; in keyed topics a key and its length come first, and a record
/// without a value drops the key.
fn record(mut content: Bytes, offset: u64, keyed: bool) -> Result<Record, Error> {
    if !keyed {
        return Ok(Record {
            key: None,
            value: Some(content),
            offset,
        });
    }
    if !content.has_remaining() {
        return Err(malformed());
    }
    let length = usize::from(content.get_u8());
    if content.remaining() < length {
        return Err(malformed());
    }
    let key = content.split_to(length);
    Ok(Record {
        key: Some(String::from_utf8_lossy(&key).into()),
        value: (!content.is_empty()).then_some(content),
        offset,
    })
}

#[async_trait]
impl Store for LogStore {
    async fn snapshot(&self, topic: Topic) -> Result<Snapshot, Error> {
        let mut snapshot = Snapshot::default();
        let mut after: Option<Arc<str>> = None;
        loop {
            let mut target = format!("/api/log-newest?topic={}&part=0", name(topic));
            if let Some(after) = &after {
                target.push_str(&format!("&after={after}"));
            }
            let sent = self.call(&self.client, Method::GET, &target, Bytes::new());
            let (status, body) = sent.await?;
            if status != StatusCode::OK {
                return Err(http::refused("a list", status));
            }
            let part: Newest = parse(&body)?;
            if after.is_none() {
                // Pages are not a snapshot: records after the first page are read again.
                snapshot.end = part.end_offset;
            }
            after = part.items.last().map(|item| Arc::clone(&item.key));
            for item in part.items {
                let value = STANDARD.decode(&item.value).map_err(|_| malformed())?;
                snapshot.records.push(Record {
                    key: Some(item.key),
                    value: Some(value.into()),
                    offset: item.offset,
                });
            }
            if !part.truncated || after.is_none() {
                return Ok(snapshot);
            }
        }
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Page, Error> {
        let mut target = format!("/api/log-read?topic={}&part=0&from={from}", name(topic));
        let client = self.client.clone().with_timeout(wait + WAIT_MARGIN);
        if wait > Millis::ZERO {
            target.push_str(&format!("&wait_ms={}", wait.0));
        }
        let sent = self.call(&client, Method::GET, &target, Bytes::new());
        let (status, body) = sent.await?;
        match status {
            StatusCode::OK => page(body, from, is_keyed(topic)),
            StatusCode::GONE => {
                parse::<Gone>(&body).map(|gone| Page::Expired { first: gone.first })
            }
            status => Err(http::refused("a read", status)),
        }
    }

    async fn append(&self, topic: Topic, at: Option<u64>, value: &[u8]) -> Result<Append, Error> {
        self.append_record(topic, at, value).await
    }

    async fn put(
        &self,
        topic: Topic,
        at: Option<u64>,
        key: &str,
        value: &[u8],
    ) -> Result<Append, Error> {
        let key_length = u8::try_from(key.len())
            .map_err(|_| Error::not_run(ErrorKind::TooLarge, "key too long"))?;
        let mut record = BytesMut::with_capacity(1 + key.len() + value.len());
        record.put_u8(key_length);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        self.append_record(topic, at, &record).await
    }
}
