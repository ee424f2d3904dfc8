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

/// Time within which an owner answers: a few times the way between failure domains and a decision.
const ANSWER_BOUND: Millis = Millis(60);

/// Time for which a node that did not answer is not asked.
const NOT_ASKED: Millis = Millis(1_000);

/// Nodes that are asked one after the other.
const MOST_ASKED: usize = 2;

/// A question to the owner of an account's bucket.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct GrantRequest {
    account: Arc<str>,
    units: f64,
}

/// What the owner decided.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Decision {
    Granted,
    Denied(Denial),
    /// The node does not know the account.
    Unknown,
}

/// Who decided on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Decider {
    /// This node, as the owner of the bucket.
    Own,
    /// Another node, as the owner.
    Owner(SocketAddr),
    /// This node from its own part, because no owner answered.
    Alone,
}

/// The nodes that own buckets, as far as this node could ask them.
#[derive(Debug, Default)]
pub(in crate::gateway) struct OwnerBackoff {
    /// Until when nodes that did not answer are not asked.
    silent: HashMap<SocketAddr, Millis>,
}

impl OwnerBackoff {
    fn is_silent(&self, node: SocketAddr, now: Millis) -> bool {
        self.silent.get(&node).is_some_and(|until| *until > now)
    }

    fn unanswered(&mut self, node: SocketAddr, now: Millis) {
        self.silent.retain(|_, until| *until > now);
        self.silent.insert(node, now + NOT_ASKED);
    }
}

/// Grants a request of an account, by the decision of the bucket's owner.
///
/// # Errors
///
/// Fails with the time after which the request may be granted, what decided it, and who.
pub(in crate::gateway) async fn take(
    node: &Node,
    account: &Account,
    quota: &Quota,
    cost: f64,
) -> Result<(), (Denial, Decider)> {
    if quota.rate <= 0.0 {
        return Ok(());
    }
    for owner in owners(node, &account.name) {
        let Some(owner) = owner else {
            let taken = own(node, &account.name, quota, cost);
            return taken.map_err(|denial| (denial, Decider::Own));
        };
        match ask(node, owner, &account.name, cost).await {
            Some(Decision::Granted) => return Ok(()),
            Some(Decision::Denied(denial)) => return Err((denial, Decider::Owner(owner))),
            Some(Decision::Unknown) | None => {}
        }
    }
    metrics::counter!("almondpath_quota_alone_total").increment(1);
    let now = node.clock.now();
    let state = &mut *node.state();
    let silence = state.reachability(now);
    let taken = state
        .quotas
        .take_local(&account.name, quota, cost, silence, now);
    taken.map_err(|denial| (denial, Decider::Alone))
}

/// Returns the nodes to ask for an account in turn; none stands for this node.
fn owners(node: &Node, account: &str) -> Vec<Option<SocketAddr>> {
    let now = node.clock.now();
    let state = node.state();
    let uptime = now - node.started;
    let owners = state.roster.owners(uptime, account, now, MOST_ASKED);
    let silent = |owner: &Option<SocketAddr>| {
        owner.is_some_and(|address| state.owner_backoff.is_silent(address, now))
    };
    owners.into_iter().filter(|owner| !silent(owner)).collect()
}

fn own(node: &Node, account: &Arc<str>, quota: &Quota, cost: f64) -> Result<(), Denial> {
    let now = node.clock.now();
    let state = &mut *node.state();
    let silence = state.reachability(now);
    state.quotas.take(account, quota, cost, silence, now)
}

async fn ask(node: &Node, owner: SocketAddr, account: &Arc<str>, units: f64) -> Option<Decision> {
    let handle = node.peer_handle.get()?;
    let question = Message::Quota(GrantRequest {
        account: Arc::clone(account),
        units,
    });
    let asked = timeout(ANSWER_BOUND.into(), call(handle, owner, &question)).await;
    let why = match asked {
        Ok(Ok(decision)) => return Some(decision),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no answer within {ANSWER_BOUND}"),
    };
    debug!(node.log, "quota owner not reached"; "owner" => %owner, "account" => &**account,
        "reason" => why);
    node.state()
        .owner_backoff
        .unanswered(owner, node.clock.now());
    None
}

async fn call(handle: &Handle, owner: SocketAddr, question: &Message) -> Result<Decision, Error> {
    let answer = handle.call_bytes(owner, Method::Gossip, encode(question)?);
    decode(&answer.await?)
}

/// Answers another node that asks this one as the owner of an account's bucket.
///
/// A question that is delivered twice counts twice, which only makes the account wait.
pub(in crate::gateway) fn answer(node: &Node, ask: &GrantRequest) -> Result<Bytes, Error> {
    let active = node.active.load();
    let config = active.as_ref().map(|active| &active.config);
    let account = config.and_then(|config| config.account_by_name(&ask.account));
    let known = account.and_then(|account| account.quota);
    let decision = match known.map(|quota| own(node, &ask.account, &quota, ask.units)) {
        None => Decision::Unknown,
        Some(Ok(())) => Decision::Granted,
        Some(Err(denial)) => Decision::Denied(denial),
    };
    encode(&decision)
}
