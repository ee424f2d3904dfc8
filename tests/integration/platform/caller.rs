use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) path: &'static str,
    pub(crate) key: Option<&'static str>,
    pub(crate) deadline_ms: u64,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: &'static str,
}

impl Ask {
    pub(crate) fn new(path: &'static str) -> Self {
        Self {
            path,
            key: Some("key-one"),
            deadline_ms: 3_000,
            headers: Vec::new(),
            body: "the body",
        }
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// Whether the body ended as it should.
    pub(crate) complete: bool,
    pub(crate) took: Duration,
    /// Id of the attempt.
    pub(crate) id: String,
}

/// Sends requests on connections of their own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller(pub(crate) SocketAddr);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Caller {
    /// Sends a request and reads the whole answer; none when there is no head.
    pub(crate) async fn send(self, ask: &Ask) -> Option<Answer> {
        let begun = Instant::now();
        let id = format!("attempt{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let stream = TcpStream::connect(self.0).await.ok()?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        let mut request = Request::post(ask.path)
            .header("host", "h.example")
            .header("x-almondpath-attempt-id", &id)
            .header("x-almondpath-deadline-ms", ask.deadline_ms);
        if let Some(key) = ask.key {
            request = request.header("x-api-key", key);
        }
        for (name, value) in &ask.headers {
            request = request.header(*name, value);
        }
        let body = Full::new(Bytes::from(ask.body));
        let request = request.body(body).expect("a valid request");
        let response = sender.send_request(request).await.ok()?;
        let (head, mut body) = response.into_parts();
        let (mut text, mut complete) = (Vec::new(), true);
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => text.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        Some(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: String::from_utf8_lossy(&text).into_owned(),
            complete,
            took: begun.elapsed(),
            id,
        })
    }
}
