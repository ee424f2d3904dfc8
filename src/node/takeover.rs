//! Takes over accepted calls that no node is sending.

use std::collections::HashMap;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::clock::Millis;
use crate::ledger::{self, Action, Call, Digest, Key};
use crate::log::writer::Group;

use super::Node;
use super::attempt::Attempt;
use super::calls::OpenCall;
use super::shard::Shard;

/// Time between two scans for calls to take over.
const SCAN_INTERVAL: Millis = Millis(500);

/// Time for which a node sees a call as accepted but not sent before it takes the call over.
const TAKEOVER_DELAY: Millis = Millis(3_000);

/// Longest additional delay; the hash of key and writer chooses it, so that usually only one node
/// takes a call over.
const MAX_EXTRA_DELAY: Millis = Millis(3_000);

/// Maximum number of calls taken over in one scan.
const MAX_TAKEOVERS_PER_SCAN: usize = 16;

/// Scans for accepted calls until `token` is cancelled.
pub(super) async fn run(node: &Arc<Node>, shard: &Arc<Shard>, token: &CancellationToken) {
    let mut first_seen: HashMap<Key, Millis> = HashMap::new();
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(SCAN_INTERVAL.into()) => {}
        }
        let now = node.clock.now();
        if !shard.is_available(now) {
            continue;
        }
        let incarnation = shard.committer.queue().incarnation();
        let mut due = Vec::new();
        {
            let projection = shard.projection();
            first_seen.retain(|key, _| projection.is_dispatchable(*key));
            for (key, digest, call) in projection.dispatchable() {
                let first = *first_seen.entry(key).or_insert(now);
                let extra = Millis(key.hash(incarnation) % MAX_EXTRA_DELAY.0);
                if now - first >= TAKEOVER_DELAY + extra && due.len() < MAX_TAKEOVERS_PER_SCAN {
                    first_seen.insert(key, now);
                    due.push((key, digest, call.clone()));
                }
            }
        }
        for (key, digest, call) in due {
            take_over(node, shard, key, digest, call);
        }
    }
}

/// Runs an abandoned call, or voids it when it can no longer run.
fn take_over(node: &Arc<Node>, shard: &Arc<Shard>, key: Key, digest: Digest, call: Call) {
    metrics::counter!("almondpath_call_takeovers_total").increment(1);
    let wall = node.clock.wall();
    let active = node.active.load_full();
    let route = active
        .as_ref()
        .and_then(|active| active.config.route(&call.route));
    let (Some(route), Some(body)) = (route, call.body) else {
        if wall > call.deadline {
            append_void(node, shard, key, digest);
        }
        return;
    };
    let attempt = Attempt {
        key,
        digest,
        account: call.account,
        route: call.route,
        service: Arc::clone(&route.service),
        status_route: route.status_route.clone(),
        deadline: node.clock.now() + (call.deadline - wall),
        body: body.0,
    };
    let open = OpenCall::new(node);
    let node = Arc::clone(node);
    tokio::spawn(async move {
        // No task waits for the reply: the caller retries with the same key.
        let _ = attempt.run(&node).await;
        drop(open);
    });
}

/// Records that a call did not run and never will.
fn append_void(node: &Node, shard: &Shard, key: Key, digest: Digest) {
    let horizon = ledger::horizon(node.clock.wall(), node.settings.retry_window_ms);
    let void = Action::Void {
        key,
        digest,
        horizon,
    };
    // A full queue does no harm: the next scan tries again.
    let _ = shard.committer.submit(Group::default().once(void));
}
