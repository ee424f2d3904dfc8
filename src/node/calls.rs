//! Non-idempotent calls: checks of the idempotency key, the tasks of the shards, and responses to
//! callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use warp::reply::Response;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::ledger::{Digest, Key, MAX_KEY_LEAD};
use crate::log::{self, writer};
use crate::settings;
use crate::supervisor::Supervisor;
use crate::verdict::Verdict;

use super::Node;
use super::attempt::Attempt;
use super::dispatch::Permit;
use super::lookup::MAX_LOOKUPS;
use super::request::{Request, header};
use super::shard::{Shard, Summary};
use super::shard_reader::ShardReader;
use super::takeover;

/// Timeout of an append to the log service, and of a read that does not wait for records.
const LOG_TIMEOUT: Millis = Millis(1_000);

/// Time after the deadline for which a caller still waits, because its call may prove in this time
/// that it did not run.
const DEADLINE_GRACE: Millis = Millis(500);

/// Time after which a caller should retry a call that was refused because the log was unavailable.
pub(super) const RETRY_AFTER: Millis = Millis(1_000);

/// Time for which a writer counts as active after one of its records.
const WRITER_ACTIVE_TIME: Millis = Millis(10_000);

/// Time between two checks of whether the calls of a stopping node have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Consecutive checks that must find no open call before the tasks of the shards stop.
const IDLE_CHECKS: u32 = 5;

/// The `calls-<shard>` streams of a node.
#[derive(Debug)]
pub(super) struct Calls {
    shards: Vec<Arc<Shard>>,
    log: log::Client,
    open: AtomicUsize,
    /// Limits concurrent lookups at status routes.
    pub(super) lookups: Semaphore,
}

impl Calls {
    pub(super) fn new(settings: &settings::Node) -> Self {
        let incarnation = rand::random();
        let shards = 0..settings.call_shards.max(1);
        Self {
            shards: shards
                .map(|number| Shard::new(number, incarnation))
                .collect(),
            log: log::Client::new(settings.log_service).with_timeout(LOG_TIMEOUT),
            open: AtomicUsize::new(0),
            lookups: Semaphore::new(MAX_LOOKUPS),
        }
    }

    /// Returns the shard of a key.
    pub(super) fn shard(&self, key: Key) -> &Arc<Shard> {
        let shards = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        &self.shards[key.shard(shards) as usize]
    }

    /// Returns the shard whose stream records the number of shards.
    pub(super) fn layout_shard(&self) -> &Arc<Shard> {
        &self.shards[0]
    }

    /// Returns a summary of each shard.
    pub(super) fn summaries(&self) -> Vec<Summary> {
        self.shards.iter().map(|shard| shard.summary()).collect()
    }

    /// Returns whether no call is open and all records are appended.
    fn is_idle(&self) -> bool {
        let is_appended = |shard: &Arc<Shard>| shard.committer.queue().is_empty();
        self.open.load(Ordering::Acquire) == 0 && self.shards.iter().all(is_appended)
    }
}

/// Counts a call as open until dropped.
pub(super) struct OpenCall(Arc<Node>);

impl OpenCall {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        node.calls.open.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(node))
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.calls.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Starts a task for each shard.
pub(super) fn spawn(node: &Arc<Node>, supervisor: &mut Supervisor) {
    for shard in &node.calls.shards {
        let node = Arc::clone(node);
        let shard = Arc::clone(shard);
        supervisor.spawn("calls", move |token| {
            run(Arc::clone(&node), Arc::clone(&shard), token)
        });
    }
}

/// Runs one shard until the node stops and its open calls are finished.
async fn run(node: Arc<Node>, shard: Arc<Shard>, token: CancellationToken) -> eyre::Result<()> {
    let stop = CancellationToken::new();
    let log = node.calls.log.clone();
    let reader = ShardReader::new(Arc::clone(&node), Arc::clone(&shard), log.clone());
    let interval = || {
        let since = node.clock.wall() - WRITER_ACTIVE_TIME;
        writer::append_interval(
            shard.projection().active_writers(since),
            node.settings.call_shards,
        )
    };
    let report = |succeeded| shard.health().record_append(node.clock.now(), succeeded);
    tokio::join!(
        reader.run(&stop),
        shard
            .committer
            .run(&log, &node.clock, &stop, interval, report),
        takeover::run(&node, &shard, &stop),
        async {
            token.cancelled().await;
            wait_drained(&node).await;
            stop.cancel();
        }
    );
    Ok(())
}

/// Waits until no call is open and all records are appended, at most for the drain time.
async fn wait_drained(node: &Node) {
    let limit = node.clock.now() + node.settings.drain_ms;
    let mut idle_checks = 0;
    while idle_checks < IDLE_CHECKS && node.clock.now() < limit {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        idle_checks = if node.calls.is_idle() {
            idle_checks + 1
        } else {
            0
        };
    }
}

/// Runs a non-idempotent call at most once.
pub(super) async fn call(
    node: &Arc<Node>,
    request: Request,
    mut permit: Permit,
) -> Result<Response, Error> {
    let key = parse_key(node, &request)?;
    let attempt = Attempt {
        key,
        digest: Digest::of(&request.account, &request.route.name, &request.body),
        account: request.account,
        route: Arc::clone(&request.route.name),
        service: Arc::clone(&request.route.service),
        status_route: request.route.status_route.clone(),
        deadline: request.deadline,
        body: request.body,
    };
    let limit = attempt.deadline + DEADLINE_GRACE - node.clock.now();
    let open = OpenCall::new(node);
    let this = Arc::clone(node);
    // The call runs in a task of its own, which continues when the caller disconnects, so that the
    // outcome of a call that was sent is recorded in the log.
    let task = tokio::spawn(async move {
        let result = attempt.run(&this).await;
        if result.is_ok() {
            permit.succeeded(0);
        }
        drop((open, permit));
        result
    });
    match tokio::time::timeout(limit.into(), task).await {
        Ok(Ok(result)) => result.map(|reply| reply.response()),
        Ok(Err(failure)) => Err(Error::may_have_run(
            ErrorKind::Internal,
            failure.to_string(),
        )),
        Err(_) => Err(Error::may_have_run(
            ErrorKind::DeadlineExceeded,
            "the deadline has passed; retry with the same key",
        )
        .with_retry_after(RETRY_AFTER)),
    }
}

/// Parses the idempotency key and checks its time.
///
/// A key outside the retry window may have been used earlier, while it was inside, or may be
/// accepted by a node that handles another copy of the request at another time. It is therefore
/// never refused with "not run".
fn parse_key(node: &Node, request: &Request) -> Result<Key, Error> {
    let text = header(&request.headers, "idempotency-key").ok_or_else(|| {
        let route = &request.route.name;
        let message = format!("the route `{route}` requires an idempotency key");
        Error::not_run(ErrorKind::KeyMissing, message)
    })?;
    let key = Key::parse(text).ok_or_else(|| {
        Error::not_run(ErrorKind::Malformed, "the idempotency key is not a UUIDv7")
    })?;
    let now = node.clock.wall();
    if key.time() + node.settings.retry_window_ms < now {
        return Err(key_expired());
    }
    if key.time() > now + MAX_KEY_LEAD {
        return Err(Error::may_have_run(
            ErrorKind::KeyExpired,
            format!(
                "the idempotency key is {} ahead of this node's clock",
                key.time() - now
            ),
        ));
    }
    Ok(key)
}

/// Returns the error for a key that may have been used before its state was dropped.
pub(super) fn key_expired() -> Error {
    Error::may_have_run(
        ErrorKind::KeyExpired,
        "the idempotency key is older than the retry window; an earlier attempt may have run",
    )
}

/// Raises the verdict of a refusal that was decided without reading the key's state.
///
/// Another attempt with the same key may have run, or may run, at another node whose checks
/// passed, unless the request is refused because it has no key.
pub(super) fn without_proof(error: Error, has_key: bool) -> Error {
    if !has_key || matches!(error.kind(), ErrorKind::KeyMissing) {
        return error;
    }
    let verdict = error.verdict().combine(Verdict::MayHaveRun);
    error.with_verdict(verdict)
}
