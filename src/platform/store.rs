use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::{HeaderMap, Method, StatusCode};
use serde::Deserialize;
use serde_json::Value;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::gateway::{Append, Era, Page, Record, Reply, Snapshot, Store, Topic};
use crate::transport::Client;

use super::http;

/// Timeout of a call that does not wait for records; the store usually responds within a few ms.
const CALL_TIMEOUT: Millis = Millis(1_200);

/// Time beyond its wait after which a long poll times out.
const WAIT_MARGIN: Millis = Millis(1_000);

/// Size of a page's header in bytes: two offsets.
const PAGE_HEADER_BYTES: usize = 16;

/// Size of a record's header in bytes: the length of its content.
const RECORD_HEADER_BYTES: usize = 4;

/// Header of all responses: a number that rises with each restore of the store.
const ERA_HEADER: &str = "store-era";

/// The platform's store, in the variant that keeps each topic as a log.
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
            client: Client::new(CALL_TIMEOUT),
        }
    }

    async fn call(
        &self,
        client: &Client,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<(Era, StatusCode, Bytes), Error> {
        let call = http::call(client, method, self.address, target, &[], body);
        let response = call.await?;
        Ok((era(&response.headers), response.status, response.body))
    }

    /// Appends an encoded record. If `at` is given, the record is stored only if the topic ends at
    /// that offset.
    async fn append_record(
        &self,
        topic: Topic,
        at: Option<u64>,
        record: &[u8],
    ) -> Result<Reply<Append>, Error> {
        let mut body = BytesMut::with_capacity(RECORD_HEADER_BYTES + record.len());
        body.put_u32(length(record.len())?);
        body.put_slice(record);
        let mut target = format!("/api/log-append?topic={}&part=0", topic_name(topic));
        if let Some(at) = at {
            target.push_str(&format!("&at={at}"));
        }
        let call = self.call(&self.client, Method::POST, &target, body.freeze());
        let (era, status, body) = call.await?;
        let content = match status {
            StatusCode::OK => parse::<Appended>(&body).map(|a| Append::Stored { offset: a.offset }),
            StatusCode::PRECONDITION_FAILED => {
                parse::<Ended>(&body).map(|e| Append::Conflict { end: e.end_offset })
            }
            status => Err(http::unexpected_status("store append", status)),
        }?;
        Ok(Reply { era, content })
    }
}

/// Returns the era that a response names; the lowest one if it names none.
fn era(headers: &HeaderMap) -> Era {
    let value = headers.get(ERA_HEADER).and_then(|v| v.to_str().ok());
    Era(value.and_then(|v| v.parse().ok()).unwrap_or_default())
}

/// Returns the platform's name for a topic.
const fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operator => "keyed.op",
        Topic::Endpoints => "keyed.servers",
        Topic::Nodes => "keyed.nodes",
        Topic::Status => "keyed.status",
        Topic::Duties => "duties",
    }
}

/// Returns whether the records of a topic have keys.
const fn is_keyed(topic: Topic) -> bool {
    !matches!(topic, Topic::Duties)
}

/// Response to an append that was stored.
#[derive(Deserialize)]
struct Appended {
    /// Offset of the first appended record.
    offset: u64,
}

/// Response to an append at another offset than the end of the topic.
#[derive(Deserialize)]
struct Ended {
    end_offset: u64,
}

/// Response to a read from an offset at which there is no record.
#[derive(Deserialize)]
struct Gone {
    /// First offset that is retained.
    first: u64,
}

/// One page of the latest records of all keys.
#[derive(Deserialize)]
struct Newest {
    /// Objects with a key, a value in Base64 and an offset; another writer may have left others.
    items: Vec<Value>,
    truncated: bool,
    end_offset: u64,
}

fn parse<T>(body: &[u8]) -> Result<T, Error>
where
    T: for<'a> Deserialize<'a>,
{
    serde_json::from_slice(body).map_err(|error| {
        Error::may_have_run(
            ErrorKind::Malformed,
            format!("unexpected response from the store: {error}"),
        )
    })
}

/// Converts the length of a record.
fn length(bytes: usize) -> Result<u32, Error> {
    u32::try_from(bytes)
        .map_err(|_| Error::not_run(ErrorKind::TooLarge, "record is too long for the store"))
}

fn malformed() -> Error {
    Error::may_have_run(
        ErrorKind::Malformed,
        "malformed records in the response of the store",
    )
}

/// Decodes an item of the latest records; none if its key is unreadable. If anything else is, the record
/// has an empty value: the key is present, but its value describes nothing.
fn decode_item(item: &Value) -> Option<Record> {
    let key = item.get("key")?.as_str()?;
    let value = item.get("value").and_then(Value::as_str);
    let value = value.and_then(|value| STANDARD.decode(value).ok());
    let offset = item.get("offset").and_then(Value::as_u64);
    let (value, offset) = value.zip(offset).unwrap_or_default();
    Some(Record {
        key: Some(key.into()),
        value: Some(value.into()),
        offset,
    })
}

/// Encodes text for the query of a URL.
fn percent_encode(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte);
    let encode = |byte: u8| {
        if is_plain(byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    };
    text.bytes().map(encode).collect()
}

/// Decodes a page: the end offset of the topic and the first retained offset, then the records,
/// each preceded by its length.
fn decode_page(mut body: Bytes, from: u64, keyed: bool) -> Result<Page, Error> {
    if body.len() < PAGE_HEADER_BYTES {
        return Err(malformed());
    }
    let end = body.get_u64();
    let _first_retained = body.get_u64();
    let mut records = Vec::new();
    let mut offset = from;
    while body.has_remaining() {
        if body.remaining() < RECORD_HEADER_BYTES {
            return Err(malformed());
        }
        let length = body.get_u32() as usize;
        if body.remaining() < length {
            return Err(malformed());
        }
        let content = body.split_to(length);
        records.push(decode_record(content, offset, keyed));
        offset += 1;
    }
    Ok(Page::Records { records, end })
}

/// Decodes the content of a record. In keyed topics it starts with the length of the key and the
/// key, and a record without a value removes the key. A malformed record has neither key nor value, so
/// that the topic is read on after it.
fn decode_record(content: Bytes, offset: u64, keyed: bool) -> Record {
    let (key, value) = if keyed {
        split_key(content).unzip()
    } else {
        (None, Some(content))
    };
    Record {
        key: key.map(|key| String::from_utf8_lossy(&key).into()),
        value: value.filter(|value| !keyed || !value.is_empty()),
        offset,
    }
}

/// Splits the content of a record into key and value.
fn split_key(mut content: Bytes) -> Option<(Bytes, Bytes)> {
    let length = usize::from(content.try_get_u8().ok()?);
    (content.remaining() >= length).then(|| (content.split_to(length), content))
}

#[async_trait]
impl Store for LogStore {
    async fn snapshot(&self, topic: Topic) -> Result<Reply<Snapshot>, Error> {
        let mut snapshot = Snapshot::default();
        let mut after: Option<Arc<str>> = None;
        let mut first_era = None;
        loop {
            let mut target = format!("/api/log-newest?topic={}&part=0", topic_name(topic));
            if let Some(after) = &after {
                target.push_str(&format!("&after={}", percent_encode(after)));
            }
            let call = self.call(&self.client, Method::GET, &target, Bytes::new());
            let (era, status, body) = call.await?;
            if status != StatusCode::OK {
                return Err(http::unexpected_status("store snapshot", status));
            }
            if *first_era.get_or_insert(era) != era {
                return Err(Error::not_run(
                    ErrorKind::Unavailable,
                    "the store was restored during the snapshot",
                ));
            }
            let page: Newest = parse(&body)?;
            if after.is_none() {
                // The pages are not read at one point in time. With the end as of the first page,
                // the caller reads all records that were appended since then.
                snapshot.end = page.end_offset;
            }
            let records: Vec<_> = page.items.iter().filter_map(decode_item).collect();
            let last = records.last().and_then(|record| record.key.clone());
            snapshot.records.extend(records);
            if !page.truncated || page.items.is_empty() {
                return Ok(Reply {
                    era,
                    content: snapshot,
                });
            }
            if last.is_none() || last == after {
                return Err(malformed());
            }
            after = last;
        }
    }

    async fn read(&self, topic: Topic, from: u64, wait: Millis) -> Result<Reply<Page>, Error> {
        let mut target = format!(
            "/api/log-read?topic={}&part=0&from={from}",
            topic_name(topic)
        );
        let client = self.client.clone().with_timeout(wait + WAIT_MARGIN);
        if wait > Millis::ZERO {
            target.push_str(&format!("&wait_ms={}", wait.0));
        }
        let call = self.call(&client, Method::GET, &target, Bytes::new());
        let (era, status, body) = call.await?;
        let content = match status {
            StatusCode::OK => decode_page(body, from, is_keyed(topic)),
            StatusCode::GONE => {
                parse::<Gone>(&body).map(|gone| Page::Expired { first: gone.first })
            }
            status => Err(http::unexpected_status("store read", status)),
        }?;
        Ok(Reply { era, content })
    }

    async fn append(
        &self,
        topic: Topic,
        at: Option<u64>,
        value: &[u8],
    ) -> Result<Reply<Append>, Error> {
        self.append_record(topic, at, value).await
    }

    async fn put(
        &self,
        topic: Topic,
        at: Option<u64>,
        key: &str,
        value: &[u8],
    ) -> Result<Reply<Append>, Error> {
        let key_length = u8::try_from(key.len()).map_err(|_| {
            Error::not_run(
                ErrorKind::TooLarge,
                "key is too long for the store: more than 255 bytes",
            )
        })?;
        let mut record = BytesMut::with_capacity(1 + key.len() + value.len());
        record.put_u8(key_length);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        self.append_record(topic, at, &record).await
    }
}
