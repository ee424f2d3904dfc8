use std::collections::HashMap;
use std::fs::File;
use std::sync::{Arc, Mutex};

use eyre::WrapErr;

use crate::clock::Millis;
use crate::config::{Class, Config};
use crate::endpoint::{Key, Table};
use crate::node::recording::Recording;
use crate::replay::Recorder;
use crate::retry::{Backoff, Retry};
use crate::routing::{Query, Report};
use crate::settings;

use super::state::{State, stable_id};

/// The admission, routing and retry state of a node for all services.
#[derive(Debug)]
pub(in crate::node) struct Dispatch {
    pub(super) state: Mutex<State>,
    pub(in crate::node) recording: Option<Recording>,
}

impl Dispatch {
    /// Creates the state of a node without services, with an open trace file if one is set.
    pub(in crate::node) fn new(settings: &settings::Node, now: Millis) -> eyre::Result<Self> {
        let seed = rand::random();
        let recording = match &settings.trace_file {
            Some(path) => {
                let file = File::create(path)
                    .wrap_err_with(|| format!("creating the trace {}", path.display()))?;
                Some(Recording::new(Recorder::new(file), now))
            }
            None => None,
        };
        Ok(Self {
            state: Mutex::new(State {
                services: HashMap::new(),
                retry: Retry::new(Backoff::default(), seed),
                shares: HashMap::new(),
                seed,
            }),
            recording,
        })
    }

    /// Applies the services, routes and accounts of a configuration.
    pub(in crate::node) fn configure(&self, config: &Config) {
        let mut state = self.state.lock().expect("dispatch lock");
        for service in &config.services {
            state.service(&service.name, config.weights.cost);
        }
        for service in state.services.values_mut() {
            service
                .latencies
                .retain(|route, _| config.route(route).is_some());
            for account in &config.client_accounts {
                let limit = account.limit_cost_per_s;
                service
                    .scheduler
                    .admission
                    .configure(&account.name, account.weight, limit);
            }
        }
        if let Some(recording) = &self.recording {
            recording.configure(config);
        }
    }

    /// Updates the routers with the endpoints, their prices and their load.
    pub(in crate::node) fn refresh(&self, endpoints: &Table) {
        let mut state = self.state.lock().expect("dispatch lock");
        for (key, endpoint) in endpoints.iter() {
            let host = &endpoint.host;
            if let Some(service) = state.services.get_mut(&host.service) {
                let router = &mut service.scheduler.router;
                router.upsert(key, stable_id(&host.host), host.price, !endpoint.leaving);
                let load = &endpoint.load;
                let report = Report {
                    running: load.running,
                    queued: load.queued,
                    slots: load.slots,
                };
                router.report_newer(key, report, endpoint.loaded_at);
            }
        }
        for service in state.services.values_mut() {
            service
                .scheduler
                .router
                .retain(|key| endpoints.get(key).is_some());
        }
        state.retry.retain(|key| endpoints.get(key).is_some());
        if let Some(recording) = &self.recording {
            recording.add_endpoints(endpoints.iter().map(|(_, endpoint)| &endpoint.host));
        }
    }
}

impl Dispatch {
    /// Counts an attempt at a plain service that starts or ends.
    pub(in crate::node) fn count_plain(&self, service: &Arc<str>, key: Key, starts: bool) {
        let mut state = self.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(service) {
            let router = &mut service.scheduler.router;
            if starts {
                router.dispatched(key, &PLAIN_QUERY, Millis::ZERO);
            } else {
                router.finished(key, Class::Interactive, None);
            }
        }
    }
}

/// The query of a plain service, which has no prompt.
const PLAIN_QUERY: Query<'_, Key> = Query {
    blocks: &[],
    prompt_tokens: 0,
    class: Class::Interactive,
    exclude: &[],
};

/// Demand, for the shares of global limits.
impl Dispatch {
    /// Records the demand of an account that this node announces, in requests a second.
    pub(in crate::node) fn record_own_demand(&self, account: &Arc<str>, rate: f64, now: Millis) {
        let mut state = self.state.lock().expect("dispatch lock");
        state.share(account, now).record_own(rate, now);
    }

    /// Records the demand that a peer announced.
    pub(in crate::node) fn record_peer_demand(
        &self,
        account: &Arc<str>,
        peer: &Arc<str>,
        rate: f64,
        at: Millis,
    ) {
        let mut state = self.state.lock().expect("dispatch lock");
        let share = state.share(account, at);
        share.record_peer(peer, rate, at);
        share.forget(None, at);
    }
}
