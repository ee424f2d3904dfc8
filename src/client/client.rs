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
use super::post::{Answer, Post};

/// Time for a whole call, retries and reconnects included, unless the caller says otherwise.
const DEADLINE: Millis = Millis::from_secs(600);

/// Time without a byte after which a connection counts as stalled. Nodes send keep-alives every
/// second; the rest allows for a lost packet and a paused process.
const STALL_TIMEOUT: Millis = Millis(3_000);

/// A caller with the token of a client account.
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
    /// The text of a model's response.
    Text(String),
    /// The body that a plain service sent.
    Body(Bytes),
}

/// Construction.
impl Client {
    /// Creates a caller that knows these nodes.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>, token: Arc<str>) -> Self {
        Self {
            http: transport::Client::new(DEADLINE),
            clock: Clock::system(),
            stall_timeout: STALL_TIMEOUT,
            nodes,
            token,
            deadline: DEADLINE,
            session: uuid::Uuid::new_v4().to_string().into(),
        }
    }

    /// Replaces the time for a whole call, retries and reconnects included; 10 minutes by default.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Millis) -> Self {
        self.deadline = deadline;
        self
    }

    /// Replaces the time without a byte after which a connection counts as stalled.
    #[must_use]
    pub fn with_stall_timeout(mut self, stall_timeout: Millis) -> Self {
        self.stall_timeout = stall_timeout;
        self
    }

    /// Replaces the session, a random name by default; calls of one session prefer one node.
    #[must_use]
    pub fn with_session(mut self, session: Arc<str>) -> Self {
        self.session = session;
        self
    }
}

/// Calls.
impl Client {
    /// Asks the known nodes in turn which addresses to use.
    ///
    /// # Errors
    ///
    /// Fails when none of them answers.
    pub async fn resolve(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut directory = self.directory();
        let mut found = vec![directory.next(self.clock.now()).await?];
        while let Some(address) = directory.pop() {
            found.push(address);
        }
        Ok(found)
    }

    /// Calls a route and collects the response; `progress` sees each piece of text.
    ///
    /// A call that may have run is sent again with the same idempotency key. A call without a key
    /// is sent again as well: nodes refuse non-idempotent routes without one.
    ///
    /// # Errors
    ///
    /// Fails with the greatest verdict of all attempts.
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
        let until = self.clock.now() + self.deadline;
        let mut directory = self.directory();
        loop {
            let post = Post::new(self, route, key, body.clone(), until);
            let (id, response) = match post.send(&mut directory).await? {
                Answer::Body(body) => return Ok(Reply::Body(body)),
                Answer::Stream(id, response) => (id, response),
            };
            let followed = follow::follow(self, &mut directory, id, response, until, &mut progress);
            if let Some(text) = followed.await? {
                return Ok(Reply::Text(text));
            }
            // No node knows the request any more; it starts again from nothing.
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

pub(super) fn header(text: &str) -> Result<HeaderValue, Error> {
    HeaderValue::from_str(text).map_err(|_| {
        Error::not_run(
            ErrorKind::Malformed,
            "a header value has invalid characters",
        )
    })
}
