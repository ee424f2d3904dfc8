//! A node's part in rollouts: evidence about versions, the traffic split, trips and the controller.

mod controller;
mod exchange;
mod outcome;
mod peer;
mod tracker;

use self::exchange::Exchange;
pub(super) use self::outcome::outcome;
pub(super) use self::tracker::Tracker;

use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::endpoint::Key;
use crate::rollout::Outcome;
use crate::supervisor::Supervisor;

use super::Node;

/// Time between two evaluations of all rollouts. It bounds the delay until a rollout that misses
/// its deadline is rolled back.
const EVALUATION_INTERVAL: Millis = Millis(100);

/// Starts the background tasks for rollouts.
pub(super) fn spawn(node: &Arc<Node>, supervisor: &mut Supervisor) {
    let this = Arc::clone(node);
    supervisor.spawn("rollouts", move |token| evaluate(Arc::clone(&this), token));
    let this = Arc::clone(node);
    supervisor.spawn("rollout evidence", move |token| {
        exchange::run(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("rollout control", move |token| {
        controller::run(Arc::clone(&this), token)
    });
}

/// Evaluates all rollouts periodically and announces new trips, until `token` is cancelled.
async fn evaluate(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    while !token.is_cancelled() {
        let (now, wall) = (node.clock.now(), node.clock.wall());
        let trips = {
            let mut endpoints = node.endpoints.lock().expect("endpoints lock");
            node.rollouts.tick(&mut endpoints, now, wall)
        };
        for trip in trips {
            node.announce_trip(trip);
        }
        tokio::select! {
            () = token.cancelled() => {}
            () = tokio::time::sleep(EVALUATION_INTERVAL.into()) => {}
        }
    }
    Ok(())
}

/// Draw for every attempt after the first: it selects the old version, so that a request does not
/// hit a fault of the new version twice.
pub(super) const RETRY_DRAW: f64 = 1.0;

/// Returns the draw in [0, 1) that selects the version for a request.
///
/// It is a hash of the request id, so that all nodes select the same version for a request.
pub(super) fn version_draw(request: &[u8]) -> f64 {
    xxh3_64(request) as f64 / (u64::MAX as f64 + 1.0)
}

impl Node {
    /// Records the outcome of a request to an endpoint as evidence about the endpoint's version.
    pub(super) fn record_evidence(&self, key: Key, route: &Arc<str>, outcome: Outcome) {
        let endpoints = self.endpoints.lock().expect("endpoints lock");
        if let Some(endpoint) = endpoints.get(key) {
            let now = self.clock.now();
            self.rollouts.record_evidence(endpoint, route, outcome, now);
        }
    }
}
