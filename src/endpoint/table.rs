use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use crate::clock::Millis;

use super::{Endpoint, Host, Load, State};

new_key_type! {
    /// Key of an endpoint in a [`Table`].
    pub struct Key;
}

/// All endpoints that a node knows.
#[derive(Debug, Default)]
pub struct Table {
    endpoints: SlotMap<Key, Endpoint>,
    by_host: HashMap<Arc<str>, Key>,
}

impl Table {
    /// Takes over a host list: adds new hosts, updates known ones and drops the others.
    pub fn update(&mut self, hosts: Vec<Host>) {
        let listed: HashSet<Arc<str>> = hosts.iter().map(|h| Arc::clone(&h.host)).collect();
        self.by_host.retain(|host, key| {
            let keep = listed.contains(host);
            if !keep {
                self.endpoints.remove(*key);
            }
            keep
        });
        for host in hosts {
            self.upsert(host);
        }
    }

    fn upsert(&mut self, host: Host) {
        let leaving = host.state == State::Leaving;
        if let Some(&key) = self.by_host.get(&host.host) {
            let endpoint = &mut self.endpoints[key];
            endpoint.leaving |= leaving;
            endpoint.host = host;
            return;
        }
        let name = Arc::clone(&host.host);
        let key = self.endpoints.insert(Endpoint {
            host,
            load: Load::default(),
            loaded_at: Millis::ZERO,
            in_flight: 0,
            leaving,
        });
        self.by_host.insert(name, key);
    }

    /// Records a load report.
    pub fn report(&mut self, key: Key, load: Load, now: Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.leaving |= load.leaving;
            endpoint.load = load;
            endpoint.loaded_at = now;
        }
    }

    /// Counts a request that starts (`true`) or ends at an endpoint.
    pub fn count(&mut self, key: Key, starts: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.in_flight = if starts {
                endpoint.in_flight + 1
            } else {
                endpoint.in_flight.saturating_sub(1)
            };
        }
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Returns the endpoints of a service that may get new work.
    pub fn available(&self, service: &str) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.endpoints
            .iter()
            .filter(move |(_, e)| !e.leaving && &*e.host.service == service)
    }
}
