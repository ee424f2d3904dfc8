use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request::Parts;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::gateway::activity::{Activity, InUse};
use crate::gateway::{Reason, Refusal};

/// Time for which the rest of a refused request is read; the time that a request head may take by
/// default.
const MAX_DISCARD_TIME: Millis = Millis(5_000);

/// The body of a caller's request, which may still be on its way.
pub(super) struct Upload {
    body: Incoming,
    /// Whether the caller waits for a go-ahead before it sends the body.
    awaits_go_ahead: bool,
    /// The connection on which the body arrives.
    activity: Option<Arc<Activity>>,
}

impl Upload {
    /// Creates the upload of a request with this head.
    pub(super) fn new(head: &Parts, body: Incoming) -> Self {
        Self {
            body,
            awaits_go_ahead: head.headers.contains_key(header::EXPECT),
            activity: head.extensions.get::<Arc<Activity>>().cloned(),
        }
    }

    /// Reads the whole body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too large, late or malformed.
    pub(super) async fn read(
        &mut self,
        limit: usize,
        time_limit: Millis,
    ) -> Result<Bytes, Refusal> {
        // The HTTP server gives the go-ahead when the body is read.
        self.awaits_go_ahead = false;
        let reading = Limited::new(&mut self.body, limit).collect();
        match timeout(time_limit.into(), reading).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::new(Reason::TooLarge)),
            Ok(Err(_)) => Err(Refusal::new(Reason::Malformed)),
            Err(_) => Err(Refusal::new(Reason::SlowCaller)),
        }
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
