use std::sync::Arc;

use crate::clock::Millis;
use crate::config::Class;
use crate::endpoint::Key;
use crate::node::Node;
use crate::retry::{Attempt, Decision, Occupancy};
use crate::routing;

use super::criteria::{ChosenEndpoint, Criteria};
use super::reservation::Reservation;

/// Routing and retries.
impl Node {
    /// Chooses the endpoint of an attempt.
    pub(in crate::node) fn choose(&self, criteria: &Criteria<'_>) -> Option<ChosenEndpoint> {
        let now = self.clock.now();
        let blocks = routing::block_hashes(criteria.prompt);
        let mut exclude = {
            let mut endpoints = self.endpoints.lock().expect("endpoints lock");
            endpoints.excluded(criteria.service, criteria.draw)
        };
        exclude.extend_from_slice(criteria.exclude);
        let query = criteria.query(&blocks, &exclude);
        let mut refreshed = false;
        loop {
            let mut state = self.dispatch.state.lock().expect("dispatch lock");
            let router = &mut state.services.get_mut(criteria.service)?.scheduler.router;
            let chosen = router.choose(&query, now);
            drop(state);
            let Some(choice) = chosen else {
                // An endpoint may have been added since the last refresh.
                if std::mem::replace(&mut refreshed, true) {
                    return None;
                }
                self.refresh_policy();
                continue;
            };
            let key = choice.key;
            let endpoints = self.endpoints.lock().expect("endpoints lock");
            let endpoint = endpoints.get(key).filter(|e| !e.leaving);
            if let Some(endpoint) = endpoint {
                return Some(ChosenEndpoint {
                    key,
                    host: Arc::clone(&endpoint.host.host),
                    address: endpoint.host.address,
                });
            }
            drop(endpoints);
            // The endpoint is leaving, but the router has not been refreshed since. Each round
            // closes one endpoint, so the loop ends.
            let mut state = self.dispatch.state.lock().expect("dispatch lock");
            let router = &mut state.services.get_mut(criteria.service)?.scheduler.router;
            router.close(key);
        }
    }

    /// Counts an attempt as in flight at an endpoint until the reservation is dropped.
    pub(in crate::node) fn reserve(
        self: &Arc<Self>,
        key: Key,
        criteria: &Criteria<'_>,
    ) -> Reservation {
        let now = self.clock.now();
        let blocks = routing::block_hashes(criteria.prompt);
        let query = criteria.query(&blocks, &[]);
        let prompt_tokens = query.prompt_tokens;
        let mut predicted_cached_tokens = 0;
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(criteria.service) {
            let router = &mut service.scheduler.router;
            predicted_cached_tokens = router.matched_tokens(key, &blocks);
            router.dispatched(key, &query, now);
        }
        drop(state);
        let mut endpoints = self.endpoints.lock().expect("endpoints lock");
        endpoints.count_request(key, true);
        Reservation {
            node: Arc::clone(self),
            service: Arc::clone(criteria.service),
            class: criteria.class,
            blocks,
            prompt_tokens,
            predicted_cached_tokens,
            reserved_at: now,
            prefill_pending: true,
            succeeded: false,
            key,
        }
    }

    /// Records a first attempt in the retry budgets.
    pub(in crate::node) fn record_first_attempt(&self, account: &Arc<str>, endpoint: Key) {
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        state.retry.record_first(account, endpoint);
    }

    /// Decides whether to retry a failed request.
    pub(in crate::node) fn retry(&self, attempt: &Attempt<'_, Key>) -> Decision {
        let now = self.clock.now();
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        state.retry.decide(attempt, now)
    }

    /// Records the latency of an attempt at a plain service.
    pub(in crate::node) fn record_latency(
        &self,
        service: &Arc<str>,
        route: &Arc<str>,
        took: Millis,
    ) {
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(service) {
            let latencies = service.latencies.entry(Arc::clone(route)).or_default();
            latencies.record(took);
        }
    }

    /// Returns the time after which an attempt on a route counts as slow, if known.
    pub(in crate::node) fn slow_threshold(
        &self,
        service: &Arc<str>,
        route: &Arc<str>,
    ) -> Option<Millis> {
        let state = self.dispatch.state.lock().expect("dispatch lock");
        let latencies = state.services.get(service)?.latencies.get(route)?;
        latencies.slow_threshold()
    }

    /// Decides whether to hedge a slow attempt with a second one, and charges the budgets if so.
    pub(in crate::node) fn hedge(
        &self,
        service: &Arc<str>,
        attempt: &Attempt<'_, Key>,
        waited: Millis,
        slow_threshold: Millis,
    ) -> bool {
        let now = self.clock.now();
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        let occupancy = state.services.get(service).map(|service| Occupancy {
            queued: service.scheduler.admission.queued(),
            free: service.scheduler.router.free_slots(Class::Interactive, now),
            slots: service.scheduler.router.slots(),
        });
        occupancy.is_some_and(Occupancy::allows_hedge)
            && state.retry.hedge(attempt, waited, slow_threshold, now)
    }
}
