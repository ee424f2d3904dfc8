use std::net::SocketAddr;
use std::sync::Arc;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;
use crate::rollout::{Report, Trip};

use super::Node;

/// Time between two exchanges of evidence.
const EXCHANGE_INTERVAL: Millis = Millis(1_000);

/// Number of nodes that receive this node's counters in each exchange.
const FANOUT: usize = 3;

/// What nodes report to each other about rollouts; the payload of a `trip` RPC.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Exchange {
    /// Name of the sender.
    from: Arc<str>,
    /// Counters of the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    reports: Vec<Report>,
    /// Trips that the sender knows, of rollouts that have not ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    trips: Vec<Trip>,
}

/// Sends this node's evidence and the trips that it knows to a few random nodes every second.
///
/// Trips are repeated so that a node that missed the announcement, or that started after it, learns
/// of them without the log.
pub(super) async fn run(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    while !token.is_cancelled() {
        let peers = node.rollout_peers();
        node.rollouts
            .set_node_count(u32::try_from(peers.len() + 1).unwrap_or(u32::MAX));
        let (reports, trips) = node.rollouts.reports_and_trips(node.clock.wall());
        if !reports.is_empty() || !trips.is_empty() {
            let targets: Vec<SocketAddr> = peers
                .choose_multiple(&mut rand::rng(), FANOUT)
                .copied()
                .collect();
            node.send_to(targets, reports, trips);
        }
        tokio::select! {
            () = token.cancelled() => {}
            () = tokio::time::sleep(EXCHANGE_INTERVAL.into()) => {}
        }
    }
    Ok(())
}

impl Node {
    /// Announces a trip of this node to all other nodes.
    pub(super) fn announce_trip(self: &Arc<Self>, trip: Trip) {
        warn!(self.log, "version tripped"; "reason" => trip.to_string());
        metrics::counter!("almondpath_rollout_trips_total").increment(1);
        self.send_to(self.rollout_peers(), Vec::new(), vec![trip]);
    }

    /// Handles what another node reports about rollouts: merges its counters and adopts its trips.
    pub(super) fn handle_exchange(&self, exchange: &Exchange) {
        for report in &exchange.reports {
            self.rollouts.merge_report(&exchange.from, report);
        }
        for trip in &exchange.trips {
            if self.rollouts.adopt_trip(trip) {
                info!(self.log, "version tripped by another node";
                    "node" => exchange.from.to_string(), "reason" => trip.to_string());
                metrics::counter!("almondpath_rollout_trips_adopted_total").increment(1);
                let mut endpoints = self.endpoints.lock().expect("endpoints lock");
                let (now, wall) = (self.clock.now(), self.clock.wall());
                self.rollouts.tick(&mut endpoints, now, wall);
            }
        }
    }

    /// Sends counters and trips to nodes in background tasks.
    fn send_to(self: &Arc<Self>, to: Vec<SocketAddr>, reports: Vec<Report>, trips: Vec<Trip>) {
        let exchange = Arc::new(Exchange {
            from: Arc::clone(&self.settings.name),
            reports,
            trips,
        });
        for address in to {
            let (node, exchange) = (Arc::clone(self), Arc::clone(&exchange));
            tokio::spawn(async move {
                // Later exchanges make up for a lost message.
                let _ = node.send_exchange(address, &exchange).await;
            });
        }
    }
}
