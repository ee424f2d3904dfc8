use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::HeaderMap;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) path: &'static str,
    pub(crate) key: Option<&'static str>,
    pub(crate) deadline_ms: u64,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: &'static str,
}

impl Request {
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

/// The response that a caller received.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// Whether the body was received to its end.
    pub(crate) complete: bool,
    pub(crate) took: Duration,
    /// Id of the request.
    pub(crate) id: String,
}

/// A connection of a caller, kept for several requests.
pub(crate) struct KeptConnection(SendRequest<Full<Bytes>>);

/// Sends requests to an address, each on a new connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller(pub(crate) SocketAddr);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Caller {
    /// Sends a request and reads the whole response; `None` if there is no response head.
    pub(crate) async fn send(self, spec: &Request) -> Option<Response> {
        self.connect().await?.send(spec).await
    }

    /// Opens a connection to keep.
    pub(crate) async fn connect(self) -> Option<KeptConnection> {
        let stream = TcpStream::connect(self.0).await.ok()?;
        let io = TokioIo::new(stream);
        let (sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        Some(KeptConnection(sender))
    }
}

impl KeptConnection {
    /// Sends a request and reads the whole response; `None` if there is no response head.
    pub(crate) async fn send(&mut self, spec: &Request) -> Option<Response> {
        let started = Instant::now();
        let id = format!("attempt{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let mut request = hyper::Request::post(spec.path)
            .header("host", "h.example")
            .header("x-almondpath-attempt-id", &id)
            .header("x-almondpath-deadline-ms", spec.deadline_ms);
        if let Some(key) = spec.key {
            request = request.header("x-api-key", key);
        }
        for (name, value) in &spec.headers {
            request = request.header(*name, value);
        }
        let body = Full::new(Bytes::from(spec.body));
        let request = request.body(body).expect("a valid request");
        self.0.ready().await.ok()?;
        let response = self.0.send_request(request).await.ok()?;
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
        Some(Response {
            status: head.status.as_u16(),
            headers: head.headers,
            body: String::from_utf8_lossy(&text).into_owned(),
            complete,
            took: started.elapsed(),
            id,
        })
    }
}
