use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request::Parts;
use tokio::time::timeout;

use crate::clock::Millis;

/// Time for which the rest of a refused request is read; the time that a request head may take by
/// default.
const MAX_TIME: Millis = Millis(5_000);

/// Reads and drops the rest of a refused request's body in the background, at most `limit` bytes.
///
/// Closing a connection with unread bytes resets it, and the reset may overtake the refusal.
pub(super) fn discard(head: &Parts, body: Incoming, limit: usize) {
    // A caller that waits for a go-ahead sends nothing after a refusal.
    if body.is_end_stream() || head.headers.contains_key(header::EXPECT) {
        return;
    }
    tokio::spawn(async move {
        let mut rest = Limited::new(body, limit);
        let reading = async { while let Some(Ok(_)) = rest.frame().await {} };
        // The connection closes unless the body ended in time.
        let _ = timeout(MAX_TIME.into(), reading).await;
    });
}
