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
const INTERVAL: Millis = Millis(1_000);

/// Nodes that get this node's counters in each exchange.
const FANOUT: usize = 3;

/// What nodes tell each other about rollouts, the payload of `trip` of the peer protocol.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Exchange {
    /// Name of the sender.
    from: Arc<str>,
    /// Its counters.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    reports: Vec<Report>,
    /// Trips it knows, of rollouts that are not over.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    trips: Vec<Trip>,
}

/// Sends this node's evidence and the trips it knows to a few nodes every second.
///
/// The trips are repeated so that a node that missed the announcement, or was started after it,
/// learns of them without the log.
pub(super) async fn run(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    while !token.is_cancelled() {
        let peers = node.rollout_peers();
        node.rollouts
            .set_nodes(u32::try_from(peers.len() + 1).unwrap_or(u32::MAX));
        let (reports, trips) = node.rollouts.shared(node.clock.wall());
        if !reports.is_empty() || !trips.is_empty() {
            let few: Vec<SocketAddr> = peers
                .choose_multiple(&mut rand::rng(), FANOUT)
                .copied()
                .collect();
            node.tell(few, reports, trips);
        }
        tokio::select! {
            () = token.cancelled() => {}
            () = tokio::time::sleep(INTERVAL.into()) => {}
        }
    }
    Ok(())
}

impl Node {
    /// Tells all nodes of a trip; each of them announces it further once.
    pub(super) fn announce_trip(self: &Arc<Self>, trip: Trip) {
        warn!(self.log, "version tripped"; "reason" => trip.to_string());
        metrics::counter!("almondpath_rollout_trips_total").increment(1);
        self.tell(self.rollout_peers(), Vec::new(), vec![trip]);
    }

    /// Takes in what another node tells about rollouts.
    pub(super) fn learn(&self, exchange: &Exchange) {
        for report in &exchange.reports {
            self.rollouts.absorb(&exchange.from, report);
        }
        for trip in &exchange.trips {
            if self.rollouts.adopt(trip) {
                info!(self.log, "version tripped by another node";
                    "node" => exchange.from.to_string(), "reason" => trip.to_string());
                metrics::counter!("almondpath_rollout_trips_adopted_total").increment(1);
                let mut endpoints = self.endpoints.lock().expect("endpoints lock");
                let (now, wall) = (self.clock.now(), self.clock.wall());
                self.rollouts.tick(&mut endpoints, now, wall);
            }
        }
    }

    fn tell(self: &Arc<Self>, to: Vec<SocketAddr>, reports: Vec<Report>, trips: Vec<Trip>) {
        let exchange = Arc::new(Exchange {
            from: Arc::clone(&self.settings.name),
            reports,
            trips,
        });
        for address in to {
            let (node, exchange) = (Arc::clone(self), Arc::clone(&exchange));
            tokio::spawn(async move {
                // A lost message is repeated by the exchanges that follow.
                let _ = node.send_exchange(address, &exchange).await;
            });
        }
    }
}
