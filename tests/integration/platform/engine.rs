use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How an engine treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Answers with this status after some ms.
    Answer(u16, u64),
    /// Streams so many events with a pause in ms.
    Stream(u64, u64),
    /// Streams so many events, then a part of one, and resets the connection.
    Cut(u64),
    /// States that the request was not run.
    Shed,
    /// Answers that it is another endpoint.
    Misdirected,
    /// Answers with the id of another request.
    Foreign,
    /// Answers without its mark.
    Unsigned,
    /// Answers without a length and resets the connection.
    Unframed,
    /// Answers twice.
    Twice,
    /// Reads and never answers.
    Silent,
    /// Closes the connection without an answer.
    Close,
}

/// A request that an engine got.
#[derive(Clone, Debug)]
pub(crate) struct Got {
    /// Request line and headers, lowercase names.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether the engine worked on it.
    pub(crate) ran: bool,
    /// Whether the connection was closed before the answer ended.
    pub(crate) left: bool,
}

impl Got {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut lines = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        lines.next().map(|(_, value)| value)
    }
}

/// An endpoint of the platform.
#[derive(Clone)]
pub(crate) struct Engine {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    got: Arc<Mutex<Vec<Got>>>,
}

impl Engine {
    pub(crate) async fn start(id: &str, service: &str, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            behaviour: Arc::new(Mutex::new(behaviour)),
            got: Arc::default(),
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

    pub(crate) fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no panic") = behaviour;
    }

    pub(crate) fn got(&self) -> Vec<Got> {
        self.got.lock().expect("no panic").clone()
    }

    /// Returns the number of requests that it worked on.
    pub(crate) fn ran(&self) -> usize {
        self.got().iter().filter(|got| got.ran).count()
    }

    /// Returns its entry in the store.
    pub(crate) fn entry(&self, state: &str, sequence: u64) -> Value {
        json!({
            "service": self.service, "address": self.address, "zone": "a", "version": "v1",
            "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": sequence,
            "born": 1_000,
        })
    }

    async fn connection(&self, mut stream: TcpStream) {
        while let Some((head, body)) = read(&mut stream).await {
            let behaviour = *self.behaviour.lock().expect("no panic");
            let ran = !matches!(behaviour, Behaviour::Shed | Behaviour::Misdirected);
            let got = Got {
                head,
                body,
                ran,
                left: false,
            };
            let index = {
                let mut all = self.got.lock().expect("no panic");
                all.push(got.clone());
                all.len() - 1
            };
            if !self.answer(&mut stream, behaviour, &got, index).await {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection goes on.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        behaviour: Behaviour,
        got: &Got,
        index: usize,
    ) -> bool {
        let id = got.header("x-almondpath-attempt-id").unwrap_or("none");
        let head = |status: u16, id: &str, rest: &str| {
            format!(
                "HTTP/1.1 {status} X\r\nX-Almondpath-Attempt-Id: {id}\r\n\
                 X-Almondpath-Engine-Signature: {}.1\r\nX-Almondpath-Engine-Load: 1,0,8\r\n{rest}\r\n",
                self.id
            )
        };
        let body = format!("answer of {}", self.id);
        let plain = |status: u16, id: &str| {
            let length = format!("Content-Length: {}\r\n", body.len());
            head(status, id, &length) + &body
        };
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let after = got.header("last-event-id").and_then(|id| id.parse().ok());
        let first = after.map_or(0, |id: u64| id + 1);
        match behaviour {
            Behaviour::Answer(status, ms) => {
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
            Behaviour::Cut(count) => {
                write(stream, &head(200, id, "Transfer-Encoding: chunked\r\n")).await;
                for number in first..first + count {
                    write(stream, &chunk(&event(number))).await;
                }
                write(stream, "9\r\nid: 99\nda\r\n").await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                reset(stream);
                false
            }
            Behaviour::Shed => {
                let text =
                    "HTTP/1.1 503 X\r\nX-Almondpath-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                write(stream, text).await
            }
            Behaviour::Misdirected => {
                let text = "HTTP/1.1 421 X\r\nX-Almondpath-Instance-Id: other\r\nContent-Length: 0\r\n\r\n";
                write(stream, text).await
            }
            Behaviour::Foreign => write(stream, &plain(200, "another")).await,
            Behaviour::Unsigned => {
                let text = format!(
                    "HTTP/1.1 200 X\r\nX-Almondpath-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
                );
                write(stream, &text).await
            }
            Behaviour::Unframed => {
                write(stream, &(head(200, id, "") + "half of the")).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                reset(stream);
                false
            }
            Behaviour::Twice => write(stream, &(plain(200, id) + &plain(200, id))).await,
            Behaviour::Silent => self.pause(stream, 60_000, index).await,
            Behaviour::Close => false,
        }
    }

    /// Waits; returns false when the other side has closed the connection meanwhile.
    async fn pause(&self, stream: &mut TcpStream, ms: u64, index: usize) -> bool {
        let mut byte = [0];
        let closed = stream.peek(&mut byte);
        let open = tokio::time::timeout(Duration::from_millis(ms), closed)
            .await
            .map_or(true, |peeked| peeked.is_ok_and(|count| count > 0));
        if !open {
            self.got.lock().expect("no panic")[index].left = true;
        }
        open
    }
}

/// Returns the text of an event.
pub(crate) fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Makes the connection end with a reset instead of a regular close.
fn reset(stream: &TcpStream) {
    #[allow(
        deprecated,
        reason = "no time is spent on lingering with a timeout of 0"
    )]
    stream
        .set_linger(Some(Duration::ZERO))
        .expect("an open socket");
}

async fn read(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
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
