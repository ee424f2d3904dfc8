//! How nodes exchange the measured speeds of endpoints.
//!
//! Each node passes its measurements on to the node that watches it, and receives the speeds that
//! changed since. A lost exchange costs the measurements of one round.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::gateway::Node;
use crate::gateway::capacity::{Coefficients, Delay, Sample};
use crate::peer::{Handle, Method};

use super::message::{Message, decode, encode};

/// Measurements of a node, and the version of the receiver's speeds that it has.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct SpeedRequest {
    /// Incarnation of the receiver that the version belongs to.
    incarnation: u64,
    version: u64,
    samples: Vec<Sample>,
    delays: Vec<Delay>,
}

/// The speeds that changed after the version of the requester.
#[derive(Debug, Serialize, Deserialize)]
struct SpeedResponse {
    incarnation: u64,
    version: u64,
    samples: Vec<Sample>,
    /// The endpoints that are behind.
    delays: Vec<Delay>,
    /// What a node that starts needs to know of each service.
    services: Vec<(Arc<str>, Coefficients)>,
}

/// Exchanges speeds with the node that watches this one.
pub(super) async fn exchange(node: Arc<Node>, handle: Handle) {
    if let Err(error) = try_exchange(&node, &handle).await {
        slog::debug!(node.log, "speeds not exchanged"; "reason" => %error);
    }
}

async fn try_exchange(node: &Node, handle: &Handle) -> Result<(), Error> {
    let (peer, request) = {
        let state = &mut *node.state();
        let watcher = state.selector.watcher();
        let Some(member) = watcher.and_then(|name| state.roster.member(name)) else {
            return Ok(());
        };
        let peer = member.announcement.peer;
        let (incarnation, version) = state.speeds.position();
        let (samples, delays) = state.speeds.take_unsent();
        let request = SpeedRequest {
            incarnation,
            version,
            samples,
            delays,
        };
        (peer, request)
    };
    let payload = encode(&Message::Speeds(request))?;
    let response = handle.call_bytes(peer, Method::Gossip, payload).await?;
    let response: SpeedResponse = decode(&response)?;
    let now = node.clock.now();
    let state = &mut *node.state();
    state.adopt_delays(&response.delays, now);
    let position = (response.incarnation, response.version);
    state.speeds.adopt(&response.samples, position);
    state.apply_speeds();
    for (service, coefficients) in response.services {
        state.fleet.profiles.get_mut(&service).adopt(coefficients);
    }
    Ok(())
}

/// Merges the measurements of another node.
pub(super) fn respond(node: &Node, request: &SpeedRequest) -> Result<Bytes, Error> {
    let now = node.clock.now();
    let state = &mut *node.state();
    state.speeds.merge_delays(&request.delays, now);
    let delays = state.speeds.backlogs(now);
    state.adopt_delays(&delays, now);
    state.speeds.merge(&request.samples);
    state.apply_speeds();
    let is_known = request.incarnation == node.incarnation;
    let since = if is_known { request.version } else { 0 };
    let changes = state.speeds.changes_since(since);
    let services = if is_known {
        Vec::new()
    } else {
        state.fleet.profiles.coefficients()
    };
    encode(&SpeedResponse {
        incarnation: node.incarnation,
        version: changes.until,
        samples: changes.samples,
        delays,
        services,
    })
}
