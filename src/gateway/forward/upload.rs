use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request::Parts;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::gateway::activity::{Activity, InUse};
use crate::gateway::intake::{Connection, Intake, Kind, Share};
use crate::gateway::{Node, Reason, Refusal};

use super::admit::OVERLOAD_RETRY_AFTER;

/// Time for which the rest of a refused request is read; the time that a request head may take by
/// default.
const MAX_DISCARD_TIME: Millis = Millis(5_000);

/// Bytes of each body that do not count towards the memory for bodies, so that small requests are read
/// while large ones have used it up.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// The body of a caller's request, which may still be on its way.
pub(super) struct Upload {
    intake: Arc<Intake>,
    body: Incoming,
    /// Whether the caller waits for a go-ahead before it sends the body.
    awaits_go_ahead: bool,
    /// The connection on which the body arrives.
    activity: Option<Arc<Activity>>,
}

impl Upload {
    /// Creates the upload of a request with this head.
    pub(super) fn new(node: &Node, head: &Parts, body: Incoming) -> Self {
        Self {
            intake: Arc::clone(&node.intake),
            body,
            awaits_go_ahead: head.headers.contains_key(header::EXPECT),
            activity: head.extensions.get::<Arc<Activity>>().cloned(),
        }
    }

    /// Records that the request has a route and a valid key.
    pub(super) fn admit(&self) {
        if let Some(connection) = self.connection() {
            connection.admit();
        }
    }

    /// Reads the whole body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too large, late or malformed, or for which there is no memory.
    pub(super) async fn read(
        &mut self,
        limit: usize,
        time_limit: Millis,
    ) -> Result<Bytes, Refusal> {
        // The HTTP server gives the go-ahead when the body is read.
        self.awaits_go_ahead = false;
        if self.body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let connection = self.connection().cloned();
        if let Some(connection) = &connection {
            connection.start_body();
        }
        let read = timeout(time_limit.into(), self.collect(limit)).await;
        if let Some(connection) = &connection {
            connection.end_body();
        }
        read.unwrap_or(Err(Refusal::new(Reason::SlowCaller)))
    }

    async fn collect(&mut self, limit: usize) -> Result<Bytes, Refusal> {
        let mut share = self.intake.share(Kind::Bodies);
        if let Some(connection) = self.connection() {
            share = share.with_address(connection.address());
        }
        let mut read = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| Refusal::new(Reason::Malformed))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if data.len() > limit - read.len() {
                return Err(Refusal::new(Reason::TooLarge));
            }
            if read.is_empty() && self.body.is_end_stream() {
                return Ok(data);
            }
            if let Some(connection) = self.connection() {
                connection.record_body(data.len());
            }
            self.reserve(&mut read, data.len(), limit, &mut share)?;
            read.extend_from_slice(&data);
        }
        Ok(share.attach(read.freeze()))
    }

    /// Makes room for more of a body. The pieces are copied, since each of them would keep the whole
    /// buffer in memory into which it was read.
    fn reserve(
        &self,
        read: &mut BytesMut,
        more: usize,
        limit: usize,
        share: &mut Share,
    ) -> Result<(), Refusal> {
        let needed = read.len() + more;
        if needed <= read.capacity() {
            return Ok(());
        }
        let announced = self.body.size_hint().exact();
        let rest = announced.and_then(|rest| usize::try_from(rest).ok());
        let most = rest.map_or(limit, |rest| needed.saturating_add(rest).min(limit));
        let capacity = needed.max(read.capacity() * 2).min(most).max(needed);
        let counted = capacity.saturating_sub(UNCOUNTED_BYTES);
        if !self.intake.hold(share, Kind::Bodies, counted) {
            let refusal = Refusal::new(Reason::Memory);
            return Err(refusal.with_retry_after(OVERLOAD_RETRY_AFTER));
        }
        read.reserve(capacity - read.len());
        Ok(())
    }

    fn connection(&self) -> Option<&Arc<Connection>> {
        Some(self.activity.as_ref()?.connection())
    }

    /// Reads and drops the rest of a refused request's body in the background, at most `limit` bytes.
    /// The connection counts as in use until then.
    ///
    /// Closing a connection with unread bytes resets it, and the reset may overtake the refusal.
    pub(super) fn discard(self, limit: usize) {
        // Without a go-ahead, the caller sends nothing after the refusal.
        if self.body.is_end_stream() || self.awaits_go_ahead {
            return;
        }
        tokio::spawn(async move {
            let _in_use = self.activity.as_ref().map(InUse::new);
            let mut rest = Limited::new(self.body, limit);
            let reading = async { while let Some(Ok(_)) = rest.frame().await {} };
            // The connection closes unless the body ended in time.
            let _ = timeout(MAX_DISCARD_TIME.into(), reading).await;
        });
    }
}
