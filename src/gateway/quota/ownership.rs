use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slog::{debug, info};
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::Error;
use crate::gateway::cluster::{Message, decode, encode};
use crate::gateway::trailing::or_default;
use crate::gateway::{Account, Denial, Node, Quota};
use crate::peer::{Handle, Method};

use super::ask::{Ask, Profile};

/// Timeout of asking an owner: a few times the round trip between failure domains plus a decision.
const DECISION_TIMEOUT: Millis = Millis(60);

/// Time for which a node that did not respond is not asked again.
const BACKOFF: Millis = Millis(1_000);

/// Maximum number of nodes that are asked for one request, one after the other: the preferred ones may
/// all be lost at once.
const MAX_OWNERS: usize = 4;

/// Time after which no further node is asked for a request.
const MAX_ASKING_TIME: Millis = Millis(100);

/// A request to the owner of an account's bucket to grant units.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Name of the node that asks.
    pub node: Arc<str>,
    /// The account.
    pub account: Arc<str>,
    /// Quota units that the request costs.
    pub units: f64,
    /// Which request it is. Earlier releases neither send it nor read it.
    #[serde(deserialize_with = "or_default")]
    pub profile: Option<Profile>,
}

impl GrantRequest {
    fn ask(&self) -> Ask {
        Ask {
            units: self.units,
            profile: self.profile,
        }
    }
}

/// Why a node is asked for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Succession {
    /// It is the preferred owner of the bucket.
    Preferred,
    /// The nodes that are preferred to it did not respond, and may be lost with their grants.
    AfterLoss,
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

/// What a request took from the quota of its account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::gateway) struct Charge {
    /// Quota units.
    pub(in crate::gateway) units: f64,
    pub(in crate::gateway) decider: Decider,
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

/// Takes the cost of a request from an account's quota, by the decision of the bucket's owner; returns
/// the node that decided.
///
/// # Errors
///
/// Fails with the denial and the node that decided when the account is over its quota.
pub(in crate::gateway) async fn take(
    node: &Node,
    account: &Account,
    quota: &Quota,
    ask: &Ask,
) -> Result<Decider, (Denial, Decider)> {
    if quota.rate <= 0.0 {
        return Ok(Decider::Own);
    }
    let started = node.clock.now();
    let mut succession = Succession::Preferred;
    for owner in owners(node, &account.name) {
        let now = node.clock.now();
        if now - started > MAX_ASKING_TIME {
            break;
        }
        if is_backed_off(node, owner, now) {
            succession = Succession::AfterLoss;
            continue;
        }
        let Some(owner) = owner else {
            let taken = decide(node, &account.name, quota, ask, succession);
            return decided_by(Decider::Own, taken);
        };
        match request_decision(node, owner, &account.name, ask, succession).await {
            Some(Decision::Granted) => return Ok(Decider::Owner(owner)),
            Some(Decision::Denied(denial)) => return Err((denial, Decider::Owner(owner))),
            Some(Decision::Unknown) => {}
            None => succession = Succession::AfterLoss,
        }
    }
    metrics::counter!("almondpath_quota_alone_total").increment(1);
    let now = node.clock.now();
    let state = &mut *node.state();
    let reachability = state.reachability(now);
    let taken = state
        .quotas
        .take_local(&account.name, quota, ask.units, reachability, now);
    decided_by(Decider::Alone, taken)
}

fn decided_by(decider: Decider, taken: Result<(), Denial>) -> Result<Decider, (Denial, Decider)> {
    taken.map(|()| decider).map_err(|denial| (denial, decider))
}

/// Returns the nodes that may decide for an account, in order of preference; `None` stands for this
/// node.
fn owners(node: &Node, account: &str) -> Vec<Option<SocketAddr>> {
    let now = node.clock.now();
    let phase = node.phase(now);
    let state = node.state();
    state.roster.owners(phase, account, now, MAX_OWNERS)
}

fn is_backed_off(node: &Node, owner: Option<SocketAddr>, now: Millis) -> bool {
    owner.is_some_and(|address| node.state().owner_backoff.is_backed_off(address, now))
}

/// Decides on a request as the owner of the account's bucket.
fn decide(
    node: &Node,
    account: &Arc<str>,
    quota: &Quota,
    ask: &Ask,
    succession: Succession,
) -> Result<(), Denial> {
    let now = node.clock.now();
    let state = &mut *node.state();
    if succession == Succession::AfterLoss {
        state.partition.record_takeover(account, now);
    }
    let (mut reachability, is_new) = state.owner_reachability(account, quota, now);
    if is_new {
        info!(node.log, "quota owner counts nodes"; "account" => &**account,
            "nodes" => reachability.nodes, "unreachable" => reachability.unreachable,
            "succession" => ?succession);
    }
    if succession == Succession::AfterLoss {
        reachability.lost_at = Some(now);
    }
    let taken = state.quotas.take(account, quota, *ask, reachability, now);
    count_decision(&taken);
    taken?;
    if state.quotas.has_to_report(account, quota) {
        node.grants_unreported.notify_one();
    }
    Ok(())
}

fn count_decision(taken: &Result<(), Denial>) {
    let outcome = match taken {
        Ok(()) => "granted",
        Err(denial) if denial.is_promised => "promised",
        Err(_) => "denied",
    };
    metrics::counter!("almondpath_quota_decisions_total", "outcome" => outcome).increment(1);
}

async fn request_decision(
    node: &Node,
    owner: SocketAddr,
    account: &Arc<str>,
    ask: &Ask,
    succession: Succession,
) -> Option<Decision> {
    let handle = node.peer_handle.get()?;
    let request = GrantRequest {
        node: Arc::clone(&node.settings.node),
        account: Arc::clone(account),
        units: ask.units,
        profile: ask.profile,
    };
    let message = match succession {
        Succession::Preferred => Message::Quota(request),
        Succession::AfterLoss => Message::QuotaAfterLoss(request),
    };
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
pub(in crate::gateway) fn respond(
    node: &Node,
    request: &GrantRequest,
    succession: Succession,
) -> Result<Bytes, Error> {
    let now = node.clock.now();
    let active = node.active.load();
    let config = active.as_ref().map(|active| &active.config);
    let account = config.and_then(|config| config.account_by_name(&request.account));
    if account.is_some() {
        node.state()
            .partition
            .record_question(&request.account, &request.node, now);
    }
    let quota = account.and_then(|account| account.quota);
    let decide = |quota| decide(node, &request.account, &quota, &request.ask(), succession);
    let decision = match quota.map(decide) {
        None => Decision::Unknown,
        Some(Ok(())) => Decision::Granted,
        Some(Err(denial)) => Decision::Denied(denial),
    };
    encode(&decision)
}
