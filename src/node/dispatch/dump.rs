use std::collections::HashMap;
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::endpoint::Key;
use crate::routing;

use super::Dispatch;

/// Admission and routing state of one service in the dump.
#[derive(Debug, Serialize)]
pub(in crate::node) struct ServiceDump {
    endpoints: Vec<routing::View<Key>>,
    prefix_entries: usize,
    decisions: Vec<routing::Choice<Key>>,
    admission: serde_json::Value,
    estimates: HashMap<Arc<str>, crate::admission::Estimate>,
}

/// Admission, routing and retry state in the dump.
#[derive(Debug, Serialize)]
pub(in crate::node) struct PolicyDump {
    seed: u64,
    services: HashMap<Arc<str>, ServiceDump>,
    retry_budgets: HashMap<Arc<str>, crate::retry::Budget>,
    shares: HashMap<Arc<str>, f64>,
}

impl Dispatch {
    /// Returns the state for the dump.
    pub(in crate::node) fn dump(&self, now: Millis) -> PolicyDump {
        let state = self.state.lock().expect("dispatch lock");
        let services = state.services.iter().map(|(name, service)| {
            let scheduler = &service.scheduler;
            let dump = ServiceDump {
                endpoints: scheduler.router.views().cloned().collect(),
                prefix_entries: scheduler.router.prefix_len(),
                decisions: scheduler.router.recent().copied().collect(),
                admission: serde_json::to_value(&scheduler.admission).unwrap_or_default(),
                estimates: scheduler
                    .estimates()
                    .map(|(k, v)| (Arc::clone(k), *v))
                    .collect(),
            };
            (Arc::clone(name), dump)
        });
        let budgets = state.retry.accounts();
        let shares = state.shares.iter();
        PolicyDump {
            seed: state.seed,
            services: services.collect(),
            retry_budgets: budgets.map(|(k, v)| (Arc::clone(k), *v)).collect(),
            shares: shares
                .map(|(k, v)| (Arc::clone(k), v.current(now)))
                .collect(),
        }
    }
}
