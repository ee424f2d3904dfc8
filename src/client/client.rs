use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderValue;

use crate::clock::{Clock, Millis};
use crate::error::{Error, ErrorKind};
use crate::transport;

use super::Progress;
use super::directory::Directory;
use super::follow;
use super::submission::{NodeResponse, Submission};

/// Default time limit of a whole call, including retries and reconnects.
const DEFAULT_DEADLINE: Millis = Millis::from_secs(600);

/// Default time without received data after which a connection counts as stalled. Nodes send
/// keep-alives every second; the rest allows for a lost packet and a paused process.
const DEFAULT_STALL_TIMEOUT: Millis = Millis(3_000);

/// A client that calls routes on behalf of a client account.
#[derive(Clone, Debug)]
pub struct Client {
    pub(super) http: transport::Client,
    pub(super) clock: Clock,
    pub(super) stall_timeout: Millis,
    nodes: Vec<SocketAddr>,
    token: Arc<str>,
    deadline: Millis,
    session: Arc<str>,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The text that a model generated.
    Text(String),
    /// The response body of a plain service.
    Body(Bytes),
}

/// Construction.
impl Client {
    /// Creates a client that knows the addresses of some nodes and has the account's token.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>, token: Arc<str>) -> Self {
        Self {
            http: transport::Client::new(DEFAULT_DEADLINE),
            clock: Clock::system(),
            stall_timeout: DEFAULT_STALL_TIMEOUT,
            nodes,
            token,
            deadline: DEFAULT_DEADLINE,
            session: uuid::Uuid::new_v4().to_string().into(),
        }
    }

    /// Replaces the time limit of a whole call, including retries and reconnects; 10 minutes by
    /// default.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Millis) -> Self {
        self.deadline = deadline;
        self
    }

    /// Replaces the time without received data after which a connection counts as stalled; 3 s by
    /// default.
    #[must_use]
    pub fn with_stall_timeout(mut self, stall_timeout: Millis) -> Self {
        self.stall_timeout = stall_timeout;
        self
    }

    /// Replaces the session id, which is random by default. Calls of one session prefer the same
    /// node.
    #[must_use]
    pub fn with_session(mut self, session: Arc<str>) -> Self {
        self.session = session;
        self
    }
}

/// Calls.
impl Client {
    /// Requests the addresses to use from the known nodes, one after the other.
    ///
    /// # Errors
    ///
    /// Fails if none of them responds.
    pub async fn resolve(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut directory = self.directory();
        let mut addresses = vec![directory.next(self.clock.now()).await?];
        while let Some(address) = directory.pop() {
            addresses.push(address);
        }
        Ok(addresses)
    }

    /// Calls a route and collects the response; `progress` is called with each piece of streamed
    /// text.
    ///
    /// A call that may have run is retried with the same idempotency key. A call without a key is
    /// retried as well, because nodes reject calls of non-idempotent routes without one.
    ///
    /// # Errors
    ///
    /// Fails with the last error, and with the combined verdict of all attempts.
    pub async fn call<F>(
        &self,
        route: &str,
        key: Option<&str>,
        body: Bytes,
        mut progress: F,
    ) -> Result<Reply, Error>
    where
        F: FnMut(Progress<'_>),
    {
        let expires_at = self.clock.now() + self.deadline;
        let mut directory = self.directory();
        loop {
            let submission = Submission::new(self, route, key, body.clone(), expires_at);
            let (id, response) = match submission.send(&mut directory).await? {
                NodeResponse::Body(body) => return Ok(Reply::Body(body)),
                NodeResponse::Stream(id, response) => (id, response),
            };
            let stream = follow::follow(
                self,
                &mut directory,
                id,
                response,
                expires_at,
                &mut progress,
            );
            if let Some(text) = stream.await? {
                return Ok(Reply::Text(text));
            }
            // No node knows the request any more, so the call starts again from the beginning.
            progress(Progress::Restart(""));
        }
    }

    fn directory(&self) -> Directory {
        Directory::new(
            self.http.clone(),
            self.nodes.clone(),
            Arc::clone(&self.session),
        )
    }

    pub(super) fn authorization(&self) -> Result<HeaderValue, Error> {
        header(&format!("Bearer {}", self.token))
    }

    pub(super) fn session(&self) -> Result<HeaderValue, Error> {
        header(&self.session)
    }
}

/// Converts text to a header value.
pub(super) fn header(text: &str) -> Result<HeaderValue, Error> {
    HeaderValue::from_str(text)
        .map_err(|_| Error::not_run(ErrorKind::Malformed, "invalid character in a header value"))
}
