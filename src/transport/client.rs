use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::Connection;
use super::connector::Connector;
use super::head::check_head;

const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Longest time that an idle connection stays in the pool. A network device on the path may
/// silently drop a connection that is idle for longer.
///
/// Shorter than the 5 s after which [`Server`](super::Server) closes an idle connection: with equal
/// times, a request was occasionally sent on a connection that the server was closing, and failed.
const POOL_IDLE_TIMEOUT: Millis = Millis(3_000);

const MAX_RESPONSE_BODY_BYTES: usize = 8 * 1024 * 1024;

/// An HTTP/1.1 client for IP addresses; it does not resolve host names.
#[derive(Clone, Debug)]
pub struct Client {
    pool: legacy::Client<Connector, Full<Bytes>>,
    timeout: Millis,
}

/// Construction.
impl Client {
    /// Creates a client that waits up to `timeout` for the headers of a response, and up to the
    /// same time for its body.
    #[must_use]
    pub fn new(timeout: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.into()));
        connector.set_nodelay(true);
        let pool = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from(POOL_IDLE_TIMEOUT))
            .retry_canceled_requests(false)
            .build(Connector::new(connector));
        Self { pool, timeout }
    }

    /// Replaces the timeout for the headers of a response, and for its body.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Millis) -> Self {
        self.timeout = timeout;
        self
    }
}

/// Requests.
impl Client {
    /// Sends a request over a pooled connection.
    ///
    /// # Errors
    ///
    /// `NotRun` if no connection could be opened, `MayHaveRun` for every later failure and for a
    /// malformed response.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        let target = request.uri().clone();
        match timeout(self.timeout.into(), self.pool.request(request)).await {
            Ok(Ok(response)) => check_head(&response).map(|()| response),
            Ok(Err(error)) if error.is_connect() => Err(Error::not_run(
                ErrorKind::Unavailable,
                format!("connecting to {target} failed: {error}"),
            )),
            Ok(Err(error)) => Err(Error::may_have_run(
                ErrorKind::EndpointFailed,
                format!("request to {target} failed: {error}"),
            )),
            Err(_) => Err(Error::may_have_run(
                ErrorKind::EndpointFailed,
                format!("no response from {target} within {}", self.timeout),
            )),
        }
    }

    /// Sends a request over a new connection, which is not reused.
    ///
    /// Used for non-idempotent calls: an endpoint may close a pooled connection while a request is
    /// on its way, and then it is unknown whether the request ran.
    ///
    /// # Errors
    ///
    /// `NotRun` if no connection could be opened, `MayHaveRun` for every later failure.
    pub async fn send_unpooled(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let connection = self.connect(address).await?;
        connection.send(request, self.timeout).await
    }

    /// Opens a new connection for one request.
    ///
    /// # Errors
    ///
    /// `NotRun` if no connection can be opened.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        Connection::open(address, CONNECT_TIMEOUT).await
    }

    /// Gets a JSON document from `http://{address}{path}`.
    ///
    /// # Errors
    ///
    /// Same as for [`Client::send`], and `EndpointFailed` for a status other than success or for a
    /// body that does not match `T`.
    pub async fn get_json<T>(&self, address: SocketAddr, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let request = self.request(Method::GET, address, path, Bytes::new())?;
        self.json(request).await
    }

    /// Posts a JSON document and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Same as for [`Client::get_json`].
    pub async fn post_json<B, T>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, Error>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?;
        let request = self.request(Method::POST, address, path, body.into())?;
        self.json(request).await
    }

    /// Builds a request with a JSON body to `http://{address}{path}`.
    ///
    /// # Errors
    ///
    /// `Malformed` if `path` is not a valid path.
    pub fn request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::not_run(ErrorKind::Malformed, error.to_string()))
    }

    /// Reads a whole response body of at most 8 MiB within the client's timeout.
    ///
    /// # Errors
    ///
    /// `MayHaveRun` if the body is incomplete, too large or late.
    pub async fn body(&self, response: Response<Incoming>) -> Result<Bytes, Error> {
        let incomplete = |reason: String| {
            Error::may_have_run(
                ErrorKind::EndpointFailed,
                format!("the response body is incomplete: {reason}"),
            )
        };
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BODY_BYTES);
        timeout(self.timeout.into(), body.collect())
            .await
            .map_err(|_| incomplete(format!("timed out after {}", self.timeout)))?
            .map(http_body_util::Collected::to_bytes)
            .map_err(|error| incomplete(error.to_string()))
    }

    /// Sends a request and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Same as for [`Client::get_json`]. If the body of an error response is an encoded [`Error`],
    /// that error is returned.
    pub async fn json<T>(&self, request: Request<Full<Bytes>>) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let target = request.uri().clone();
        let response = self.send(request).await?;
        let status = response.status();
        let body = self.body(response).await?;
        if !status.is_success() {
            return Err(serde_json::from_slice(&body).unwrap_or_else(|_| {
                Error::may_have_run(
                    ErrorKind::EndpointFailed,
                    format!("{target} responded with status {status}"),
                )
            }));
        }
        serde_json::from_slice(&body).map_err(|error| {
            Error::may_have_run(
                ErrorKind::EndpointFailed,
                format!("unexpected response body from {target}: {error}"),
            )
        })
    }
}
