use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How an engine responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Responds with this status after a delay in ms.
    Respond(u16, u64),
    /// Streams this many events, with a pause in ms before each.
    Stream(u64, u64),
    /// Streams this many events, pauses for this time in ms, and streams the rest up to this number.
    StreamWithPause(u64, u64, u64),
    /// Streams this many events and a part of the next one, then resets the connection.
    Truncate(u64),
    /// Streams this many events and then this text, with neither a length nor chunks, and closes the
    /// connection regularly.
    StreamUntilClose(u64, &'static str),
    /// Writes the first text, and the second one until the gateway closes the connection.
    Endless(&'static str, &'static str),
    /// Responds with this body, framed as whole. `{next}` stands for the next event of the stream,
    /// `{last}` for the one before, and `{skip}` for the one after.
    Whole(Framing, &'static str),
    /// Writes this text and ends the connection. `{head}` stands for a status line and the headers of
    /// a success, without the empty line, and `{id}` for the id of the request.
    Raw(&'static str, End),
    /// Declines the request and states that it was not run.
    Decline,
    /// Responds that the request was meant for another endpoint.
    Misdirected,
    /// Runs the request, but first writes this status line and headers, as a refusal.
    Refuse(&'static str),
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds without the signature header.
    Unsigned,
    /// Responds without a content length and resets the connection within the body.
    NoLength,
    /// Sends the response twice.
    DuplicateResponse,
    /// Reads the request and does not respond.
    Hang,
    /// As [`Behaviour::Hang`], and closes the connection after this time in ms.
    HangThenClose(u64),
    /// Closes the connection without a response.
    Close,
}

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length.
    Length,
    /// In one chunk, and the last one.
    Chunks,
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Close,
    Reset,
    /// The end of the data is sent first, and the connection is closed later.
    Finish,
}

/// A request that an engine received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// Request line and headers.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether the engine ran the request.
    pub(crate) ran: bool,
    /// Whether the gateway closed the connection before the response ended.
    pub(crate) disconnected: bool,
    /// Whether the connection had carried an earlier request.
    pub(crate) reused: bool,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut lines = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        lines.next().map(|(_, value)| value)
    }
}

/// Test double of an endpoint of the platform.
#[derive(Clone)]
pub(crate) struct Engine {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Behaviours for the next requests, in order; shared by the engines of a group.
    sequence: Arc<Mutex<VecDeque<Behaviour>>>,
    /// Header lines that all responses have in addition.
    headers: Arc<Mutex<String>>,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl Engine {
    pub(crate) async fn start(id: &str, service: &str, behaviour: Behaviour) -> Self {
        Self::start_with(id, service, behaviour, Arc::default()).await
    }

    /// Starts engines that behave like this in the order in which they get requests, whichever of
    /// them gets one, and like the last behaviour from then on.
    pub(crate) async fn group(service: &str, count: usize, behaviours: &[Behaviour]) -> Vec<Self> {
        let sequence: Arc<Mutex<VecDeque<_>>> =
            Arc::new(Mutex::new(behaviours.iter().copied().collect()));
        let last = *behaviours.last().expect("a behaviour");
        let mut engines = Vec::new();
        for number in 0..count {
            let sequence = Arc::clone(&sequence);
            engines.push(Self::start_with(&format!("e{number}"), service, last, sequence).await);
        }
        engines
    }

    async fn start_with(
        id: &str,
        service: &str,
        behaviour: Behaviour,
        sequence: Arc<Mutex<VecDeque<Behaviour>>>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            behaviour: Arc::new(Mutex::new(behaviour)),
            sequence,
            headers: Arc::default(),
            received: Arc::default(),
        };
        let serving = engine.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = serving.clone();
                tokio::spawn(async move { engine.connection(stream).await });
            }
        });
        engine
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no panic") = behaviour;
    }

    /// Adds a header to all responses from now on.
    pub(crate) fn add_header(&self, name: &str, value: &str) {
        let line = format!("{name}: {value}\r\n");
        self.headers.lock().expect("no panic").push_str(&line);
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("no panic").clone()
    }

    /// Returns the number of requests that the engine ran.
    pub(crate) fn ran(&self) -> usize {
        self.received().iter().filter(|request| request.ran).count()
    }

    /// Returns the engine's entry for the store.
    pub(crate) fn entry(&self, state: &str, sequence: u64) -> Value {
        self.entry_of_version("v1", state, sequence)
    }

    /// Returns the entry of an engine whose software has this version.
    pub(crate) fn entry_of_version(&self, version: &str, state: &str, sequence: u64) -> Value {
        json!({
            "service": self.service, "address": self.address, "zone": "a", "version": version,
            "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": sequence,
            "born": 1_000,
        })
    }

    async fn connection(&self, mut stream: TcpStream) {
        let mut reused = false;
        while let Some((head, body)) = read(&mut stream).await {
            let next = self.sequence.lock().expect("no panic").pop_front();
            let behaviour = next.unwrap_or(*self.behaviour.lock().expect("no panic"));
            let ran = !matches!(behaviour, Behaviour::Decline | Behaviour::Misdirected);
            let request = ReceivedRequest {
                head,
                body,
                ran,
                disconnected: false,
                reused,
            };
            reused = true;
            let index = {
                let mut all = self.received.lock().expect("no panic");
                all.push(request.clone());
                all.len() - 1
            };
            if !self.respond(&mut stream, behaviour, &request, index).await {
                return;
            }
        }
    }

    /// Responds to a request; returns whether the connection can be reused.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        behaviour: Behaviour,
        request: &ReceivedRequest,
        index: usize,
    ) -> bool {
        let id = request.header("x-almondpath-attempt-id").unwrap_or("none");
        let added = self.headers.lock().expect("no panic").clone();
        let head = |status: u16, id: &str, rest: &str| {
            format!(
                "HTTP/1.1 {status} X\r\nX-Almondpath-Attempt-Id: {id}\r\n{added}\
                 X-Almondpath-Engine-Signature: {}.1\r\nX-Almondpath-Engine-Load: 1,0,8\r\n{rest}\r\n",
                self.id
            )
        };
        let body = format!("response of {}", self.id);
        let plain = |status: u16, id: &str| {
            let length = format!("Content-Length: {}\r\n", body.len());
            head(status, id, &length) + &body
        };
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let first = after.map_or(0, |id: u64| id + 1);
        match behaviour {
            Behaviour::Respond(status, ms) => {
                if !self.pause(stream, ms, index).await {
                    return false;
                }
                write(stream, &plain(status, id)).await
            }
            Behaviour::Stream(count, gap) => {
                let mut open =
                    write(stream, &head(200, id, "Transfer-Encoding: chunked\r\n")).await;
                for number in first..count {
                    open = open && self.pause(stream, gap, index).await;
                    open = open && write(stream, &chunk(&event(number))).await;
                }
                open && write(stream, "0\r\n\r\n").await
            }
            Behaviour::StreamWithPause(before, ms, count) => {
                let mut open =
                    write(stream, &head(200, id, "Transfer-Encoding: chunked\r\n")).await;
                for number in first..count {
                    if number == first + before {
                        open = open && self.pause(stream, ms, index).await;
                    }
                    open = open && write(stream, &chunk(&event(number))).await;
                }
                open && write(stream, "0\r\n\r\n").await
            }
            Behaviour::Truncate(count) => {
                write(stream, &head(200, id, "Transfer-Encoding: chunked\r\n")).await;
                for number in first..first + count {
                    write(stream, &chunk(&event(number))).await;
                }
                write(stream, "9\r\nid: 99\nda\r\n").await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                reset(stream);
                false
            }
            Behaviour::StreamUntilClose(count, rest) => {
                let events: String = (first..count).map(event).collect();
                write(stream, &(head(200, id, "") + &events + rest)).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                false
            }
            Behaviour::Endless(start, filler) => {
                let start = start.replace("{head}", &head(200, id, ""));
                let block = filler.repeat(65_536 / filler.len());
                let mut open = write(stream, &start).await;
                while open {
                    open = write(stream, &block).await;
                }
                self.received.lock().expect("no panic")[index].disconnected = true;
                false
            }
            Behaviour::Whole(framing, body) => {
                let body = number_events(body, first);
                let text = match framing {
                    Framing::Length => {
                        let length = format!("Content-Length: {}\r\n", body.len());
                        head(200, id, &length) + &body
                    }
                    Framing::Chunks => {
                        let chunks = if body.is_empty() { body } else { chunk(&body) };
                        head(200, id, "Transfer-Encoding: chunked\r\n") + &chunks + "0\r\n\r\n"
                    }
                };
                write(stream, &text).await
            }
            Behaviour::Raw(text, end) => {
                let head = head(200, id, "");
                let lines = head.strip_suffix("\r\n").expect("an empty line");
                write(stream, &text.replace("{head}", lines).replace("{id}", id)).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                if end == End::Reset {
                    reset(stream);
                }
                false
            }
            Behaviour::Decline => {
                let text = format!(
                    "HTTP/1.1 503 X\r\nX-Almondpath-Attempt-Id: {id}\r\n{added}X-Almondpath-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                write(stream, &text).await
            }
            Behaviour::Misdirected => {
                let text = format!(
                    "HTTP/1.1 421 X\r\nX-Almondpath-Attempt-Id: {id}\r\nX-Almondpath-Instance-Id: other\r\nContent-Length: 0\r\n\r\n"
                );
                write(stream, &text).await
            }
            Behaviour::Refuse(head) => {
                write(
                    stream,
                    &format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n"),
                )
                .await
            }
            Behaviour::WrongRequestId => write(stream, &plain(200, "another")).await,
            Behaviour::Unsigned => {
                let text = format!(
                    "HTTP/1.1 200 X\r\nX-Almondpath-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
                );
                write(stream, &text).await
            }
            Behaviour::NoLength => {
                write(stream, &(head(200, id, "") + "half of the")).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                reset(stream);
                false
            }
            Behaviour::DuplicateResponse => {
                write(stream, &(plain(200, id) + &plain(200, id))).await
            }
            Behaviour::Hang => self.pause(stream, 60_000, index).await,
            Behaviour::HangThenClose(ms) => {
                self.pause(stream, ms, index).await;
                false
            }
            Behaviour::Close => false,
        }
    }

    /// Waits; returns false if the peer closes the connection in the meantime.
    async fn pause(&self, stream: &mut TcpStream, ms: u64, index: usize) -> bool {
        let mut byte = [0];
        let closed = stream.peek(&mut byte);
        let open = tokio::time::timeout(Duration::from_millis(ms), closed)
            .await
            .map_or(true, |peeked| peeked.is_ok_and(|count| count > 0));
        if !open {
            self.received.lock().expect("no panic")[index].disconnected = true;
        }
        open
    }
}

/// Returns the text of an event.
pub(crate) fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// Replaces the placeholders of a body, which continues a stream at the event `first`.
fn number_events(body: &str, first: u64) -> String {
    let mut body = body
        .replace("{last}", &event(first.saturating_sub(1)))
        .replace("{skip}", &event(first + 1));
    for number in first.. {
        if !body.contains("{next}") {
            break;
        }
        body = body.replacen("{next}", &event(number), 1);
    }
    body
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Makes dropping the connection send a reset instead of closing it regularly.
pub(super) fn reset(stream: &TcpStream) {
    #[allow(
        deprecated,
        reason = "no time is spent on lingering with a timeout of 0"
    )]
    stream
        .set_linger(Some(Duration::ZERO))
        .expect("an open socket");
}

pub(super) async fn read(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut body = bytes.split_off(end + 4);
    let length = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, value)| value.parse().expect("a length"));
    while body.len() < length {
        if stream.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    Some((head, body))
}
