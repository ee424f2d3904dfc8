//! Runs a non-idempotent call at most once.
//!
//! A node records the call in the log, claims the right to send it, and sends it only when the log
//! shows that its claim was first.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};

use crate::clock::Millis;
use crate::endpoint;
use crate::error::{Error, ErrorKind};
use crate::ledger::{
    self, Action, Blob, Call, Digest, Key, MAX_STORED_BODY_BYTES, MAX_STORED_RESPONSE_BYTES,
    NextStep, Outcome,
};
use crate::log::writer::Group;
use crate::rollout::Timing;
use crate::transport::Connection;
use crate::verdict::Verdict;

use super::Node;
use super::calls::{RETRY_AFTER, key_expired};
use super::lookup::{LOOKUP_TIMEOUT, Lookup};
use super::plain::Reply;
use super::rollouts::{RETRY_DRAW, version_draw};
use super::shard::{AppendError, Shard, Waiter};

/// Maximum number of endpoints that are tried when connections are refused.
const MAX_ENDPOINTS: usize = 3;

/// Maximum number of rounds in which a call reads the key's state and claims the key. Another round
/// follows when another writer's record came first, or when its attempt has ended.
const MAX_CLAIMS: usize = 8;

/// Time that a call waits for the first read of the log at a node that has just started.
const READY_TIMEOUT: Millis = Millis(500);

/// Time after the deadline for which a response is still awaited, so that it can be stored.
const LATE_RESPONSE_TIMEOUT: Millis = Millis(30_000);

/// An attempt of this node at a non-idempotent call.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) key: Key,
    pub(super) digest: Digest,
    pub(super) account: Arc<str>,
    pub(super) route: Arc<str>,
    pub(super) service: Arc<str>,
    /// Route of the service that reports the outcome of a call.
    pub(super) status_route: Option<Arc<str>>,
    /// On the monotonic clock.
    pub(super) deadline: Millis,
    pub(super) body: Bytes,
}

/// An endpoint and the request to send to it.
struct Target {
    endpoint: endpoint::Key,
    host: Arc<str>,
    address: std::net::SocketAddr,
    request: Request<Full<Bytes>>,
}

type Records = Group<Action, Waiter>;

/// Deciding what to do from the key's state.
impl Attempt {
    /// Runs the call, or returns the outcome of an earlier attempt with the same key.
    pub(super) async fn run(&self, node: &Node) -> Result<Reply, Error> {
        let shard = node.calls.shard(self.key);
        let layout = node.calls.layout_shard();
        layout.wait_ready(READY_TIMEOUT).await;
        shard.wait_ready(READY_TIMEOUT).await;
        if !layout.is_ready() {
            return Err(log_unavailable());
        }
        for _ in 0..MAX_CLAIMS {
            let Some(next_step) = shard.next_step(self.key, self.digest) else {
                return Err(log_unavailable());
            };
            let accept = match next_step {
                NextStep::Accept => true,
                NextStep::Dispatch => false,
                NextStep::Await(_) => match self.wait_for_release(node, shard).await {
                    Ok(()) => continue,
                    Err(error) => return self.look_up(node).await.ok_or(error),
                },
                // The outcome in the log is final, but the service may know more.
                NextStep::Finished(Outcome::Unknown) => {
                    let looked_up = self.look_up(node).await;
                    return looked_up.map_or_else(|| self.final_result(next_step), Ok);
                }
                step => return self.final_result(step),
            };
            if !shard.is_available(node.clock.now()) {
                return Err(log_unavailable());
            }
            if let Some(result) = self.claim(node, shard, accept).await {
                return result;
            }
        }
        Err(self.undecided())
    }

    /// Returns the result for a key whose state is final.
    fn final_result(&self, next_step: NextStep) -> Result<Reply, Error> {
        match next_step {
            NextStep::Finished(Outcome::Answered { body: None, .. }) => Err(Error::not_run(
                ErrorKind::ResponseGone,
                "the call ran; its response was not stored",
            )
            .with_verdict(Verdict::Ran)),
            NextStep::Finished(Outcome::Answered {
                status,
                content_type,
                body: Some(Blob(body)),
            }) => Ok(Reply::stored(status, content_type, body)),
            NextStep::Finished(Outcome::Unknown) => Err(Error::may_have_run(
                ErrorKind::EndpointFailed,
                "the response to the first attempt was lost",
            )),
            NextStep::Void => Err(Error::not_run(
                ErrorKind::KeyVoid,
                "the call was refused before and did not run; a new attempt needs a new key",
            )),
            NextStep::Reused => Err(Error::not_run(
                ErrorKind::KeyReused,
                "the key belongs to another call; this call did not run",
            )),
            NextStep::Full => Err(overloaded()),
            NextStep::Expired => Err(key_expired()),
            NextStep::Accept | NextStep::Dispatch | NextStep::Await(_) => Err(self.undecided()),
        }
    }

    /// Waits until another attempt with the key ends or the wait times out.
    async fn wait_for_release(&self, node: &Node, shard: &Shard) -> Result<(), Error> {
        let remaining = self.deadline - node.clock.now();
        // If little time is left, half of it is reserved for the status lookup that may follow.
        let remaining = match &self.status_route {
            Some(_) if remaining < node.settings.dispatch_bound_ms + LOOKUP_TIMEOUT => {
                Millis(remaining.0 / 2)
            }
            _ => remaining,
        };
        let dispatch_limit = remaining.min(node.settings.dispatch_bound_ms);
        shard
            .wait_for_release(self.key, self.digest, dispatch_limit)
            .await;
        match shard.next_step(self.key, self.digest) {
            Some(NextStep::Await(_)) | None => Err(self.undecided()),
            Some(_) => Ok(()),
        }
    }

    /// Looks up the response to a call that was already sent, at the service's status route if it
    /// has one.
    ///
    /// Only an attempt whose digest matches the entry does so, so that no account sees the response
    /// to a call of another account.
    async fn look_up(&self, node: &Node) -> Option<Reply> {
        self.status_lookup(self.deadline)?.query(node).await
    }

    fn status_lookup(&self, deadline: Millis) -> Option<Lookup<'_>> {
        Some(Lookup {
            key: self.key,
            account: &self.account,
            route: &self.route,
            service: &self.service,
            status_route: self.status_route.as_ref()?,
            deadline,
        })
    }

    fn undecided(&self) -> Error {
        Error::may_have_run(
            ErrorKind::Conflict,
            "another attempt with the key has not ended; retry with the same key",
        )
        .with_retry_after(RETRY_AFTER)
    }
}

/// Claiming the right to send.
impl Attempt {
    /// Claims the key and sends the call; returns `None` if another writer's record came first.
    async fn claim(
        &self,
        node: &Node,
        shard: &Shard,
        mut accept: bool,
    ) -> Option<Result<Reply, Error>> {
        let mut failed_endpoints = Vec::new();
        let mut group = Records::default();
        loop {
            let target = match self.target(node, &failed_endpoints) {
                Ok(target) => target,
                Err(error) => return Some(self.refuse(node, shard, group, error).await),
            };
            let claimed_at = node.clock.now();
            if std::mem::take(&mut accept) {
                group = group.once(self.accept_action(node));
            }
            group = group.once(self.dispatch_action(&target.host));
            let dispatch_limit = node.settings.dispatch_bound_ms;
            let appended = shard.append(self.key, std::mem::take(&mut group), dispatch_limit);
            let dispatch = match appended.await {
                Ok((sequence, effect)) if effect.permits_sending() => sequence,
                Ok(_) | Err(AppendError::Lost) => return None,
                Err(AppendError::Full) => return Some(Err(overloaded())),
                Err(AppendError::TimedOut) => return Some(Err(log_unavailable())),
            };
            let connection = node.http.connect(target.address).await;
            // The claim expires, so that a process that was paused does not send much later than
            // its caller and the other nodes expect.
            let now = node.clock.now();
            let in_time = now < self.deadline && now - claimed_at <= dispatch_limit;
            match connection {
                Ok(connection) if in_time => {
                    return Some(self.send(node, shard, dispatch, target, connection).await);
                }
                Ok(_) => {
                    let group = Records::default().durable(self.release_action(dispatch));
                    return Some(self.refuse(node, shard, group, deadline_passed()).await);
                }
                Err(_) => {
                    metrics::counter!("almondpath_call_connections_refused_total").increment(1);
                    failed_endpoints.push(target.endpoint);
                    group = Records::default().durable(self.release_action(dispatch));
                }
            }
        }
    }

    /// Refuses the call; the verdict is "not run" only if the call's `void` record took effect.
    async fn refuse(
        &self,
        node: &Node,
        shard: &Shard,
        group: Records,
        error: Error,
    ) -> Result<Reply, Error> {
        let dispatch_limit = node.settings.dispatch_bound_ms;
        let void = group.once(Action::Void {
            key: self.key,
            digest: self.digest,
            horizon: self.horizon(node),
        });
        match shard.append(self.key, void, dispatch_limit).await {
            Ok((_, effect)) if effect.permits_refusal() => Err(error),
            Ok(_) => match shard.next_step(self.key, self.digest) {
                Some(step @ (NextStep::Finished(_) | NextStep::Void | NextStep::Reused)) => {
                    self.final_result(step)
                }
                _ => Err(super::calls::without_proof(error, true).with_retry_after(RETRY_AFTER)),
            },
            Err(_) => Err(super::calls::without_proof(error, true).with_retry_after(RETRY_AFTER)),
        }
    }

    /// Chooses an endpoint that did not fail for this call, and builds the request to it.
    fn target(&self, node: &Node, failed_endpoints: &[endpoint::Key]) -> Result<Target, Error> {
        if node.clock.now() >= self.deadline {
            return Err(deadline_passed());
        }
        let chosen = (failed_endpoints.len() < MAX_ENDPOINTS)
            .then(|| {
                let draw = if failed_endpoints.is_empty() {
                    version_draw(self.key.to_string().as_bytes())
                } else {
                    RETRY_DRAW
                };
                node.choose_untried(&self.service, failed_endpoints, draw)
            })
            .flatten();
        let (endpoint, host, address) = chosen.ok_or_else(|| {
            Error::not_run(ErrorKind::Unavailable, "no endpoint accepts the call now")
        })?;
        let path = format!("/call/{}", self.route);
        let body = self.body.clone();
        let mut request = node.http.request(Method::POST, address, &path, body)?;
        let key = hyper::header::HeaderValue::try_from(self.key.to_string())
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?;
        request.headers_mut().insert("idempotency-key", key);
        Ok(Target {
            endpoint,
            host,
            address,
            request,
        })
    }
}

/// Sending.
impl Attempt {
    /// Sends the call and records its outcome; from here on every failure is "may have run".
    async fn send(
        &self,
        node: &Node,
        shard: &Shard,
        dispatch: u64,
        target: Target,
        connection: Connection,
    ) -> Result<Reply, Error> {
        let limit = self.deadline - node.clock.now() + LATE_RESPONSE_TIMEOUT;
        node.count_request(target.endpoint, true);
        let mut timing = Timing::start(node.clock.now());
        let result = async {
            let response = connection.send(target.request, limit).await?;
            let (status, content_type) = Reply::head(&response);
            let body = node.http.clone().with_timeout(limit).body(response).await?;
            Ok(Reply::new(status, content_type, body))
        }
        .await;
        timing.record_token(node.clock.now());
        node.count_request(target.endpoint, false);
        let outcome = Reply::rollout_outcome(&result, &timing);
        node.record_evidence(target.endpoint, &self.route, outcome);
        // The response is lost, but this node can still record what the status route reports.
        let looked_up = match (
            &result,
            self.status_lookup(node.clock.now() + LOOKUP_TIMEOUT),
        ) {
            (Err(_), Some(lookup)) => lookup.query(node).await,
            _ => None,
        };
        let result = looked_up.map_or(result, Ok);
        let outcome = match &result {
            Ok(reply) => reply.outcome(MAX_STORED_RESPONSE_BYTES),
            Err(_) => Outcome::Unknown,
        };
        let finish = Action::Finish {
            key: self.key,
            dispatch,
            outcome,
        };
        shard
            .committer
            .submit_unbounded(Records::default().durable(finish));
        metrics::counter!("almondpath_calls_sent_total").increment(1);
        result
    }
}

/// Building log records.
impl Attempt {
    fn accept_action(&self, node: &Node) -> Action {
        let remaining = self.deadline - node.clock.now();
        let keep = self.body.len() <= MAX_STORED_BODY_BYTES;
        Action::Accept {
            key: self.key,
            digest: self.digest,
            call: Box::new(Call {
                account: Arc::clone(&self.account),
                route: Arc::clone(&self.route),
                deadline: node.clock.wall() + remaining,
                body: keep.then(|| Blob(self.body.clone())),
            }),
            horizon: self.horizon(node),
        }
    }

    fn dispatch_action(&self, host: &Arc<str>) -> Action {
        Action::Dispatch {
            key: self.key,
            digest: self.digest,
            endpoint: Arc::clone(host),
        }
    }

    fn release_action(&self, dispatch: u64) -> Action {
        Action::Release {
            key: self.key,
            dispatch,
        }
    }

    fn horizon(&self, node: &Node) -> Millis {
        ledger::horizon(node.clock.wall(), node.settings.retry_window_ms)
    }
}

fn deadline_passed() -> Error {
    Error::not_run(
        ErrorKind::DeadlineExceeded,
        "the deadline passed before the call was sent",
    )
}

fn overloaded() -> Error {
    Error::may_have_run(
        ErrorKind::Overloaded,
        "too many calls are open; retry with the same key",
    )
    .with_retry_after(RETRY_AFTER)
}

fn log_unavailable() -> Error {
    Error::may_have_run(
        ErrorKind::LogUnavailable,
        "the call can't be recorded in the log now; retry with the same key",
    )
    .with_retry_after(RETRY_AFTER)
}
