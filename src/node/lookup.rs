//! Looks up the outcome of a call at its service when the log does not have it.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderValue;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::ledger::Key;

use super::Node;
use super::plain::Reply;
use super::rollouts::RETRY_DRAW;

/// Timeout of one lookup.
pub(super) const LOOKUP_TIMEOUT: Millis = Millis(1_000);

/// Maximum number of concurrent lookups of a node, so that a service that lost many responses is
/// not queried for all of them at once.
pub(super) const MAX_LOOKUPS: usize = 32;

/// Request header with the idempotency key of the call.
///
/// It is not `idempotency-key`, with which the service could mistake the lookup for the call
/// itself.
const STATUS_OF: &str = "x-almondpath-status-of";

/// Response header in which the service reports the outcome.
const OUTCOME: &str = "x-almondpath-outcome";

/// Value of the response header when the call ran.
const RAN: &str = "ran";

/// A call whose outcome is looked up.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lookup<'a> {
    pub(super) key: Key,
    pub(super) account: &'a Arc<str>,
    pub(super) route: &'a Arc<str>,
    pub(super) service: &'a Arc<str>,
    pub(super) status_route: &'a Arc<str>,
    /// On the monotonic clock.
    pub(super) deadline: Millis,
}

impl Lookup<'_> {
    /// Returns the response of the call if the service reports that it ran.
    ///
    /// Sends one request to one endpoint, within [`LOOKUP_TIMEOUT`]. Any other response leaves the
    /// outcome unknown: a service that does not know the call may still execute it.
    pub(super) async fn query(&self, node: &Node) -> Option<Reply> {
        let limit = LOOKUP_TIMEOUT.min(self.deadline - node.clock.now());
        if limit == Millis::ZERO {
            return None;
        }
        let _permit = node.calls.lookups.try_acquire().ok()?;
        metrics::counter!("almondpath_status_calls_total").increment(1);
        let response = tokio::time::timeout(limit.into(), self.send(node)).await;
        let reply = response.ok()?.ok().flatten();
        if reply.is_some() {
            metrics::counter!("almondpath_status_calls_resolved_total").increment(1);
        }
        reply
    }

    async fn send(&self, node: &Node) -> Result<Option<Reply>, Error> {
        let Some((endpoint, _, address)) = node.choose_untried(self.service, &[], RETRY_DRAW)
        else {
            return Ok(None);
        };
        let path = format!("/call/{}", self.status_route);
        let body = serde_json::json!({
            "idempotency_key": self.key.to_string(),
            "account": self.account,
            "route": self.route,
        });
        let body = Bytes::from(body.to_string());
        let mut request = node.http.request(Method::POST, address, &path, body)?;
        let key = HeaderValue::try_from(self.key.to_string())
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?;
        request.headers_mut().insert(STATUS_OF, key);
        let _in_flight = node.count_in_flight(endpoint);
        let response = node.http.send(request).await?;
        let ran = response.headers().get(OUTCOME).is_some_and(|v| v == RAN);
        if !ran {
            return Ok(None);
        }
        let (status, content_type) = Reply::head(&response);
        let body = node.http.body(response).await?;
        Ok(Some(Reply::stored(status, content_type, body)))
    }
}
