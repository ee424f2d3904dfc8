use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use crate::clock::Millis;
use crate::membership::{self, Notice, short_hash};

use super::departures::Departures;
use super::{Endpoint, Host, Load, Split, State};

new_key_type! {
    /// Key of an endpoint in a [`Table`].
    pub struct Key;
}

/// All endpoints known to a node.
#[derive(Debug, Default)]
pub struct Table {
    endpoints: SlotMap<Key, Endpoint>,
    by_host: HashMap<Arc<str>, Key>,
    by_hash: HashMap<u32, Key>,
    departures: Departures,
    splits: HashMap<Arc<str>, Split>,
}

impl Table {
    /// Applies a host list: adds new hosts, updates known ones and removes the others.
    ///
    /// Returns a notice for each endpoint that is newly listed as leaving.
    pub fn update(&mut self, hosts: Vec<Host>) -> Vec<Notice> {
        let listed: HashSet<Arc<str>> = hosts.iter().map(|h| Arc::clone(&h.host)).collect();
        self.by_host.retain(|host, key| {
            let keep = listed.contains(host);
            if !keep {
                self.endpoints.remove(*key);
            }
            keep
        });
        let endpoints = &self.endpoints;
        self.by_hash.retain(|_, key| endpoints.contains_key(*key));
        let mut notices = Vec::new();
        for host in hosts {
            let leaving = (host.state == State::Leaving).then(|| Arc::clone(&host.host));
            self.upsert(host);
            notices.extend(leaving.and_then(|name| self.mark_leaving(&name)));
        }
        notices
    }

    fn upsert(&mut self, host: Host) {
        if let Some(&key) = self.by_host.get(&host.host) {
            if self.endpoints[key].host.service == host.service {
                self.endpoints[key].host = host;
                return;
            }
            // The scheduler of each service stores endpoints by key, so that an endpoint that moves
            // to another service needs a new key.
            self.endpoints.remove(key);
        }
        let name = Arc::clone(&host.host);
        let leaving = self.departures.contains(&name, 0);
        let key = self.endpoints.insert(Endpoint {
            host,
            load: Load::default(),
            loaded_at: Millis::ZERO,
            in_flight: 0,
            leaving,
        });
        self.by_hash.insert(short_hash(&name), key);
        self.by_host.insert(name, key);
    }

    /// Marks the current process of a host as leaving, and returns a notice if this is new.
    pub fn mark_leaving(&mut self, host: &Arc<str>) -> Option<Notice> {
        let endpoint = self.by_host.get(host).map(|key| &self.endpoints[*key]);
        let notice = Notice {
            host: Arc::clone(host),
            incarnation: endpoint.map_or(0, |e| e.load.incarnation),
        };
        self.apply_notice(&notice).then_some(notice)
    }

    /// Marks an endpoint as leaving by a notice, and returns whether the notice was new.
    ///
    /// The process stays marked for its lifetime, whatever later host lists contain.
    pub fn apply_notice(&mut self, notice: &Notice) -> bool {
        let Some(&key) = self.by_host.get(&notice.host) else {
            return self.departures.insert(&notice.host, notice.incarnation);
        };
        let endpoint = &mut self.endpoints[key];
        let known = endpoint.load.incarnation;
        let incarnation = match (notice.incarnation, known) {
            (0, known) => known,
            (named, _) => named,
        };
        // While the incarnation of the process is not known, the notice is assumed to be about it.
        endpoint.leaving |= known == 0 || incarnation == known;
        self.departures.insert(&notice.host, incarnation)
    }

    /// Applies a load report of an endpoint, and returns a notice if the report newly announces
    /// that the endpoint is leaving.
    pub fn apply_load(&mut self, key: Key, load: Load, now: Millis) -> Option<Notice> {
        let endpoint = self.endpoints.get_mut(key)?;
        let host = Arc::clone(&endpoint.host.host);
        if endpoint.load.incarnation != load.incarnation {
            if endpoint.load.incarnation == 0 {
                self.departures.resolve(&host, load.incarnation);
            }
            // A notice about the previous process doesn't apply to this one; only a notice that
            // names the incarnation of this one does.
            endpoint.leaving = self.departures.contains(&host, load.incarnation)
                || endpoint.host.state == State::Leaving;
        }
        let leaving = load.leaving;
        endpoint.load = load;
        endpoint.loaded_at = now;
        leaving.then(|| self.mark_leaving(&host)).flatten()
    }

    /// Applies a load report that another node polled and relayed.
    ///
    /// Returns false if the endpoint or its process is not known here, so that this node has to
    /// poll the endpoint itself.
    pub fn apply_relayed_load(&mut self, load: &membership::Load, now: Millis) -> bool {
        let Some(&key) = self.by_hash.get(&load.host) else {
            return false;
        };
        let endpoint = &mut self.endpoints[key];
        if endpoint.load.incarnation & 0xff != u64::from(load.incarnation) {
            return false;
        }
        endpoint.load.running = u32::from(load.running);
        endpoint.load.queued = u32::from(load.queued);
        endpoint.loaded_at = now;
        true
    }

    /// Counts a request that starts (`true`) or ends (`false`) at an endpoint.
    ///
    /// Returns the endpoint's service if the endpoint is still listed.
    pub fn count_request(&mut self, key: Key, starts: bool) -> Option<&Arc<str>> {
        let endpoint = self.endpoints.get_mut(key)?;
        endpoint.in_flight = if starts {
            endpoint.in_flight + 1
        } else {
            endpoint.in_flight.saturating_sub(1)
        };
        Some(&endpoint.host.service)
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

    /// Returns the endpoints of a service that accept new requests independently of rollouts: those
    /// of the serving version, or of the old version during a rollout.
    pub fn available(&self, service: &str) -> impl Iterator<Item = (Key, &Endpoint)> {
        let version = self.splits.get(service).map(|split| Arc::clone(&split.old));
        self.not_leaving(service)
            .filter(move |(_, e)| version.as_ref().is_none_or(|v| v == e.version()))
    }

    /// Returns the endpoints of a service that are not leaving.
    fn not_leaving(&self, service: &str) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.endpoints
            .iter()
            .filter(move |(_, e)| !e.leaving && &*e.host.service == service)
    }
}

/// Rollouts.
impl Table {
    /// Sets the traffic split of a service.
    ///
    /// The count of requests sent to the new version is kept while the stage stays the same.
    pub fn set_split(&mut self, service: &Arc<str>, mut split: Split) {
        let previous = self.splits.get(service).and_then(|s| s.new.as_ref());
        if let (Some((version, exposure)), Some((previous, last))) = (&mut split.new, previous)
            && version == previous
            && exposure.stage == last.stage
        {
            exposure.sent = last.sent;
        }
        self.splits.insert(Arc::clone(service), split);
    }

    /// Returns the endpoints of a service that must not get a request because of a rollout.
    ///
    /// `draw` selects the version; it is uniform in [0, 1) and the same for all attempts of a
    /// request. Endpoints of other versions are excluded. In the first stages of a rollout, so are
    /// some endpoints of the new version, the same at all nodes. Endpoints that are leaving are not
    /// returned.
    ///
    /// Each call counts a request to the new version, so that it must be called once per attempt.
    pub fn excluded(&mut self, service: &str, draw: f64) -> Vec<Key> {
        let Some(version) = self.choose_version(service, draw) else {
            return Vec::new();
        };
        let others = self
            .not_leaving(service)
            .filter(|(_, e)| *e.version() != version);
        let mut excluded: Vec<Key> = others.map(|(key, _)| key).collect();
        let rollout = self.splits.get(service).filter(|s| s.is_new(&version));
        if let Some(split) = rollout {
            let mut chosen: Vec<(Key, &Endpoint)> = self
                .not_leaving(service)
                .filter(|(_, e)| *e.version() == version)
                .collect();
            let in_use = split.in_use(&version, chosen.len());
            // The order matters only while some endpoints get no requests.
            if in_use < chosen.len() {
                chosen.sort_by(|(_, a), (_, b)| a.host.host.cmp(&b.host.host));
                excluded.extend(chosen[in_use..].iter().map(|(key, _)| *key));
            }
        }
        excluded
    }

    fn choose_version(&mut self, service: &str, draw: f64) -> Option<Arc<str>> {
        let split = self.splits.get_mut(service)?;
        let endpoints = &self.endpoints;
        let has_endpoints = |version: &str| {
            endpoints
                .values()
                .any(|e| !e.leaving && &*e.host.service == service && &**e.version() == version)
        };
        Some(split.choose(draw, has_endpoints))
    }
}
