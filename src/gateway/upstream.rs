use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock::{Clock, Millis};
use crate::error::{Error, ErrorKind};
use crate::transport::{Stream, check_head};

use super::endpoint::Key;
use super::limited_stream::{HeadLimit, LimitedStream};

/// Timeout of connecting to an endpoint; endpoints are a few ms away.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// Maximum number of bytes that are read ahead from an endpoint on one connection, which bounds the head
/// of a response.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// The sending half of a connection.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
}

impl Sender {
    /// Sends a request and waits for the head of the response.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_limit.start();
        let response = self.requests.try_send_request(request).await?;
        self.head_limit.stop();
        Ok(response)
    }
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Millis,
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct Connection {
    key: Key,
    sender: Sender,
    /// Whether an earlier request was sent on it.
    reused: bool,
}

impl Connection {
    fn new(key: Key, sender: Sender, reused: bool) -> Self {
        Self {
            key,
            sender,
            reused,
        }
    }

    /// Returns whether an earlier request was sent on the connection, so that a response may belong
    /// to that one.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.reused
    }
}

/// Pool of HTTP/1 connections to endpoints.
///
/// A connection is reused only after a complete response, for a short time, and never when a byte
/// arrived on it while it was idle. The pool never repeats a request that may have been sent.
#[derive(Debug)]
pub struct Upstream {
    idle: Mutex<HashMap<Key, Vec<Idle>>>,
    clock: Clock,
}

impl Upstream {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            idle: Mutex::default(),
            clock,
        }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Connections that were idle for `max_idle` or longer are not reused. The request is sent only
    /// if `may_send` still returns true once there is a connection: opening one takes up to
    /// 400 ms, in which the endpoint may begin to leave.
    ///
    /// # Errors
    ///
    /// Fails with the verdict `NotRun` when nothing was sent, and with `MayHaveRun` on every later
    /// failure and after a malformed response.
    pub async fn send<F>(
        &self,
        key: Key,
        address: SocketAddr,
        max_idle: Millis,
        mut request: Request<Full<Bytes>>,
        may_send: F,
    ) -> Result<(Response<Incoming>, Connection), Error>
    where
        F: Fn() -> bool,
    {
        while let Some(mut sender) = self.take_idle(key, max_idle) {
            check_may_send(&may_send)?;
            match sender.send(request).await {
                Ok(response) => return received(response, Connection::new(key, sender, true)),
                Err(mut error) => match error.take_message() {
                    // The connection was closed before anything was written.
                    Some(unsent) => request = unsent,
                    None => return Err(request_error(address, &error.into_error())),
                },
            }
        }
        let mut sender = connect(address).await?;
        check_may_send(&may_send)?;
        match sender.send(request).await {
            Ok(response) => received(response, Connection::new(key, sender, false)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = request_error(address, &error.into_error());
                Err(if unsent {
                    error.with_verdict(crate::verdict::Verdict::NotRun)
                } else {
                    error
                })
            }
        }
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn release(&self, connection: Connection) {
        if connection.sender.requests.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(connection.key).or_default();
        if kept.len() < MAX_IDLE_PER_ENDPOINT {
            kept.push(Idle {
                sender: connection.sender,
                since: self.clock.now(),
            });
        }
    }

    /// Closes connections that were idle for `age` or longer.
    pub fn prune(&self, age: Millis) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, kept| {
            kept.retain(|connection| {
                now - connection.since < age && !connection.sender.requests.is_closed()
            });
            !kept.is_empty()
        });
    }

    fn take_idle(&self, key: Key, max_idle: Millis) -> Option<Sender> {
        let now = self.clock.now();
        let mut idle_by_endpoint = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle_by_endpoint.get_mut(&key)?;
        // The connection used last is the least likely to have been closed by the endpoint.
        while let Some(connection) = kept.pop() {
            if now - connection.since < max_idle && connection.sender.requests.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }
}

fn check_may_send<F>(may_send: F) -> Result<(), Error>
where
    F: Fn() -> bool,
{
    if may_send() {
        return Ok(());
    }
    Err(Error::not_run(
        ErrorKind::Unavailable,
        "the endpoint accepts no more requests",
    ))
}

async fn connect(address: SocketAddr) -> Result<Sender, Error> {
    let connect_error = |reason: String| {
        Error::not_run(
            ErrorKind::Unavailable,
            format!("connecting to {address} failed: {reason}"),
        )
    };
    let stream = timeout(CONNECT_TIMEOUT.into(), TcpStream::connect(address))
        .await
        .map_err(|_| connect_error(format!("timed out after {CONNECT_TIMEOUT}")))?
        .map_err(|error| connect_error(error.to_string()))?;
    // Nagle's algorithm would only delay a request that is written at once. Failing to disable it
    // costs latency only.
    let _ = stream.set_nodelay(true);
    let (stream, head_limit) = LimitedStream::new(Stream::new(stream));
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_AHEAD)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| connect_error(error.to_string()))?;
    // A failure of the connection is reported by the request on it.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Sender {
        requests,
        head_limit,
    })
}

/// Returns a response whose head has arrived with its connection, unless the head is malformed.
fn received(
    response: Response<Incoming>,
    connection: Connection,
) -> Result<(Response<Incoming>, Connection), Error> {
    check_head(&response)?;
    Ok((response, connection))
}

fn request_error(address: SocketAddr, error: &hyper::Error) -> Error {
    Error::may_have_run(
        ErrorKind::EndpointFailed,
        format!("request to {address} failed: {error}"),
    )
}
