use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slog::debug;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::Error;
use crate::gateway::cluster::{Message, decode, encode};
use crate::gateway::{Account, Denial, Node, Quota};
use crate::peer::{Handle, Method};

/// Timeout of asking an owner: a few times the round trip between failure domains plus a decision.
const DECISION_TIMEOUT: Millis = Millis(60);

/// Time for which a node that did not respond is not asked again.
const BACKOFF: Millis = Millis(1_000);

/// Maximum number of nodes that are asked for one request, one after the other.
const MAX_OWNERS: usize = 2;

/// A request to the owner of an account's bucket to grant units.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct GrantRequest {
    account: Arc<str>,
    units: f64,
}

/// The decision of a bucket's owner.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Decision {
    Granted,
    Denied(Denial),
    /// The node does not know the account.
    Unknown,
}

/// Which node decided on a request. Its `Debug` form appears in the `request` log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Decider {
    /// This node, as the owner of the bucket.
    Own,
    /// Another node, as the owner of the bucket.
    Owner(SocketAddr),
    /// This node, from its share of the quota, because no owner responded.
    Alone,
}

/// Backoff for owners of buckets that did not respond.
#[derive(Debug, Default)]
pub(in crate::gateway) struct OwnerBackoff {
    /// Time until which a node is not asked.
    backed_off_until: HashMap<SocketAddr, Millis>,
}

impl OwnerBackoff {
    fn is_backed_off(&self, node: SocketAddr, now: Millis) -> bool {
        self.backed_off_until
            .get(&node)
            .is_some_and(|until| *until > now)
    }

    fn back_off(&mut self, node: SocketAddr, now: Millis) {
        self.backed_off_until.retain(|_, until| *until > now);
        self.backed_off_until.insert(node, now + BACKOFF);
    }
}

/// Takes the cost of a request from an account's quota, by the decision of the bucket's owner.
///
/// # Errors
///
/// Fails with the denial and the node that decided when the account is over its quota.
pub(in crate::gateway) async fn take(
    node: &Node,
    account: &Account,
    quota: &Quota,
    cost: f64,
) -> Result<(), (Denial, Decider)> {
    if quota.rate <= 0.0 {
        return Ok(());
    }
    for owner in candidates(node, &account.name) {
        let Some(owner) = owner else {
            let taken = decide(node, &account.name, quota, cost);
            return taken.map_err(|denial| (denial, Decider::Own));
        };
        match request_decision(node, owner, &account.name, cost).await {
            Some(Decision::Granted) => return Ok(()),
            Some(Decision::Denied(denial)) => return Err((denial, Decider::Owner(owner))),
            Some(Decision::Unknown) | None => {}
        }
    }
    metrics::counter!("almondpath_quota_alone_total").increment(1);
    let now = node.clock.now();
    let state = &mut *node.state();
    let reachability = state.reachability(now);
    let taken = state
        .quotas
        .take_local(&account.name, quota, cost, reachability, now);
    taken.map_err(|denial| (denial, Decider::Alone))
}

/// Returns the nodes that may decide for an account, in order of preference; `None` stands for this
/// node.
fn candidates(node: &Node, account: &str) -> Vec<Option<SocketAddr>> {
    let now = node.clock.now();
    let phase = node.phase(now);
    let state = node.state();
    let owners = state.roster.owners(phase, account, now, MAX_OWNERS);
    let is_backed_off = |owner: &Option<SocketAddr>| {
        owner.is_some_and(|address| state.owner_backoff.is_backed_off(address, now))
    };
    owners
        .into_iter()
        .filter(|owner| !is_backed_off(owner))
        .collect()
}

/// Decides on a request as the owner of the account's bucket.
fn decide(node: &Node, account: &Arc<str>, quota: &Quota, cost: f64) -> Result<(), Denial> {
    let now = node.clock.now();
    let state = &mut *node.state();
    let reachability = state.reachability(now);
    state.quotas.take(account, quota, cost, reachability, now)?;
    if state.quotas.has_to_report(account, quota) {
        node.grants_unreported.notify_one();
    }
    Ok(())
}

async fn request_decision(
    node: &Node,
    owner: SocketAddr,
    account: &Arc<str>,
    units: f64,
) -> Option<Decision> {
    let handle = node.peer_handle.get()?;
    let message = Message::Quota(GrantRequest {
        account: Arc::clone(account),
        units,
    });
    let response = timeout(DECISION_TIMEOUT.into(), call(handle, owner, &message)).await;
    let reason = match response {
        Ok(Ok(decision)) => return Some(decision),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no response within {DECISION_TIMEOUT}"),
    };
    debug!(node.log, "asking the quota owner failed"; "owner" => %owner, "account" => &**account,
        "reason" => reason);
    node.state().owner_backoff.back_off(owner, node.clock.now());
    None
}

async fn call(handle: &Handle, owner: SocketAddr, message: &Message) -> Result<Decision, Error> {
    let response = handle.call_bytes(owner, Method::Gossip, encode(message)?);
    decode(&response.await?)
}

/// Responds to another node that asks this one as the owner of an account's bucket.
///
/// A request that is delivered twice is charged twice, which only makes the account wait longer.
pub(in crate::gateway) fn respond(node: &Node, request: &GrantRequest) -> Result<Bytes, Error> {
    let active = node.active.load();
    let config = active.as_ref().map(|active| &active.config);
    let account = config.and_then(|config| config.account_by_name(&request.account));
    let quota = account.and_then(|account| account.quota);
    let decision = match quota.map(|quota| decide(node, &request.account, &quota, request.units)) {
        None => Decision::Unknown,
        Some(Ok(())) => Decision::Granted,
        Some(Err(denial)) => Decision::Denied(denial),
    };
    encode(&decision)
}
