use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::clock::Millis;
use crate::membership::short_hash;

use super::Node;

/// Time between two refreshes; it bounds how long a new load report waits to be used.
const REFRESH_INTERVAL: Millis = Millis(100);

/// Refreshes between two updates of the shares of limits.
const REFRESHES_PER_SHARE_UPDATE: u32 = 10;

/// Refreshes the dispatch state with the endpoints and the peers' demand, and dispatches or refuses
/// queued requests that are due.
pub(super) async fn run(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let mut refreshes = 0_u32;
    while !token.is_cancelled() {
        node.refresh_policy();
        if refreshes.is_multiple_of(REFRESHES_PER_SHARE_UPDATE) {
            node.update_shares();
        }
        refreshes = refreshes.wrapping_add(1);
        node.dispatch_due();
        tokio::select! {
            () = token.cancelled() => {}
            () = tokio::time::sleep(REFRESH_INTERVAL.into()) => {}
        }
    }
    Ok(())
}

impl Node {
    /// Updates the routers with the endpoints and their newest load reports.
    pub(super) fn refresh_policy(&self) {
        let endpoints = self.endpoints.lock().expect("endpoints lock");
        self.dispatch.refresh(&endpoints);
    }

    /// Updates the demand of the accounts that have a limit, at this node and at its peers.
    fn update_shares(&self) {
        let Some(active) = self.active.load_full() else {
            return;
        };
        let now = self.clock.now();
        let accounts = &active.config.client_accounts;
        for account in accounts.iter().filter(|a| a.limit_cost_per_s.is_some()) {
            let hash = short_hash(&account.name);
            let own = self.cluster.rates.lock().expect("rates lock").demand(now);
            let rate = own
                .iter()
                .find(|d| d.account == hash)
                .map_or(0.0, |d| d.rate);
            self.dispatch
                .record_own_demand(&account.name, f64::from(rate), now);
            let announced: Vec<_> = self
                .cluster
                .view()
                .peers()
                .filter_map(|peer| {
                    let demand = &peer.header.as_ref()?.demand;
                    let rate = demand.iter().find(|d| d.account == hash);
                    let rate = rate.map_or(0.0, |d| d.rate);
                    Some((Arc::clone(&peer.member.name), rate, peer.heard_at?))
                })
                .collect();
            for (peer, rate, at) in announced {
                self.dispatch
                    .record_peer_demand(&account.name, &peer, f64::from(rate), at);
            }
        }
    }
}
