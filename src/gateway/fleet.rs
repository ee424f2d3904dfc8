use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;

use crate::clock::Millis;

use super::capacity::Profiles;
use super::endpoint::{Endpoint, Key, Lifecycle};
use super::{Evacuations, Identity, Registration};

/// Time for which an endpoint without requests is remembered after its entry was removed.
const RETENTION: Millis = Millis::from_secs(60);

/// Time after the return of the store within which endpoints whose entries expired register again.
pub(super) const MISSING_TIMEOUT: Millis = Millis(2_500);

/// Time for which an endpoint serves until those that join its service count as new.
const SETTLE_TIME: Millis = Millis(3_000);

/// A change of an endpoint's lifecycle, as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The endpoint.
    pub identity: Identity,
    /// Its service.
    pub service: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Its new lifecycle stage.
    pub lifecycle: Lifecycle,
}

/// The outcome of [`Fleet::register`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterOutcome {
    /// The registration is late, or contradicts a departure, and has no effect.
    Superseded,
    /// It says nothing new, as a heartbeat.
    Confirmed,
    /// It says something new, and may have caused a transition.
    Changed(Option<Transition>),
}

/// All endpoints that this node knows.
///
/// That an endpoint says that it leaves is final for its run: a registration that arrives late must not
/// bring it back. An endpoint whose entry was removed may merely have been cut off from the store, and
/// returns once it registers again.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: SlotMap<Key, Endpoint>,
    by_id: HashMap<Arc<str>, Key>,
    /// Departures that became known before the endpoint registered.
    early_departures: HashMap<Identity, Millis>,
    /// Failure domains whose endpoints get no requests.
    pub evacuations: Evacuations,
    /// What the endpoints of each service have in common.
    pub profiles: Profiles,
    /// Whether the nodes announce their requests at each endpoint to each other.
    pub inflight_announced: bool,
}

/// Lookup.
impl Fleet {
    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns a mutable reference to an endpoint.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// Returns the key of the endpoint that currently has this id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Returns mutable references to all endpoints.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut Endpoint)> {
        self.endpoints.iter_mut()
    }

    /// Returns the endpoints of a service that accept new requests, outside evacuated domains.
    ///
    /// An endpoint whose entry is missing gets none, although the entry may merely have expired. If
    /// at least half of the entries are missing, the store was unavailable, and the endpoints keep
    /// getting requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Endpoint)> {
        let is_ready = move |endpoint: &Endpoint| {
            endpoint.lifecycle == Lifecycle::Ready && &*endpoint.registration.service == service
        };
        let all = self.endpoints.values().filter(|e| is_ready(e));
        let (missing, present) = all.fold((0, 0), |(missing, present), endpoint| {
            let is_missing = usize::from(endpoint.missing_since.is_some());
            (missing + is_missing, present + 1 - is_missing)
        });
        let most_missing = missing >= present;
        let endpoints = self.endpoints.iter();
        endpoints.filter(move |(_, endpoint)| {
            is_ready(endpoint)
                && (most_missing || endpoint.missing_since.is_none())
                && !self.is_evacuated(endpoint)
        })
    }

    /// Returns the number of a service's endpoints of one version that accept requests.
    #[must_use]
    pub fn count_of_version(&self, service: &str, version: &str) -> usize {
        let ready = self.ready(service);
        ready
            .filter(|(_, endpoint)| &*endpoint.registration.version == version)
            .count()
    }

    /// Returns whether an endpoint is among those that [`Fleet::ready`] returns for its service.
    #[must_use]
    pub fn accepts_requests(&self, key: Key) -> bool {
        let Some(endpoint) = self.get(key) else {
            return false;
        };
        if endpoint.missing_since.is_none() {
            return endpoint.lifecycle == Lifecycle::Ready && !self.is_evacuated(endpoint);
        }
        let mut ready = self.ready(&endpoint.registration.service);
        ready.any(|(other, _)| other == key)
    }

    /// Returns whether an endpoint accepts new requests and its entry is present.
    #[must_use]
    pub fn is_ready(&self, key: Key) -> bool {
        self.get(key).is_some_and(|endpoint| {
            endpoint.lifecycle == Lifecycle::Ready && endpoint.missing_since.is_none()
        })
    }

    /// Returns whether the endpoint with this id is leaving, or has left as far as its entry tells.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        let endpoint = self.find(id).and_then(|key| self.get(key));
        endpoint.is_some_and(|endpoint| {
            matches!(endpoint.lifecycle, Lifecycle::Leaving | Lifecycle::Unlisted)
        })
    }

    /// Returns the time until an endpoint of a service wants requests from this node again, if all of
    /// them currently want none.
    #[must_use]
    pub fn declined_for(&self, service: &str, now: Millis) -> Option<Millis> {
        let ends = self.ready(service).map(|(_, e)| e.declines_until);
        ends.min().filter(|end| *end > now).map(|end| end - now)
    }

    /// Returns whether endpoints of a service serve, but all of them in evacuated domains.
    #[must_use]
    pub fn is_all_evacuated(&self, service: &str) -> bool {
        let mut serving = self.endpoints.values().filter(|endpoint| {
            endpoint.lifecycle == Lifecycle::Ready && &*endpoint.registration.service == service
        });
        let first = serving.next();
        first.is_some_and(|first| self.is_evacuated(first))
            && serving.all(|endpoint| self.is_evacuated(endpoint))
    }

    fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        let domain = &endpoint.registration.domain;
        self.evacuations.is_evacuated(domain)
    }

    /// Returns whether any endpoint accepts new requests.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        self.endpoints
            .values()
            .any(|endpoint| endpoint.lifecycle == Lifecycle::Ready)
    }
}

/// Updates.
impl Fleet {
    /// Applies the registration of an endpoint. An older registration has no effect.
    pub fn register(
        &mut self,
        registration: Registration,
        memory_tokens: u64,
        now: Millis,
    ) -> RegisterOutcome {
        let inserted = |transition| RegisterOutcome::Changed(Some(transition));
        let joins = self.has_settled(&registration.service, now);
        let Some(key) = self.find(&registration.identity.id) else {
            return inserted(self.insert(registration, memory_tokens, now));
        };
        let known = &mut self.endpoints[key];
        let (old, new) = (known.registration.identity.born, registration.identity.born);
        if new < old || (new == old && registration.sequence < known.registration.sequence) {
            return RegisterOutcome::Superseded;
        }
        if new > old {
            known.deregistered.cancel();
            known.lifecycle = Lifecycle::Gone;
            known.lifecycle_since = now;
            known.unlisted_at = Some(now);
            return inserted(self.insert(registration, memory_tokens, now));
        }
        let is_heartbeat = registration.sequence > known.registration.sequence;
        let returns = match known.lifecycle {
            Lifecycle::Ready | Lifecycle::Gone => true,
            Lifecycle::Leaving => registration.leaving,
            Lifecycle::Unlisted => is_heartbeat,
        };
        if !returns {
            return RegisterOutcome::Superseded;
        }
        let leaving = registration.leaving;
        let turns_cold = registration.cold > Millis::ZERO && known.cold_left(now) == Millis::ZERO;
        let is_new = known.registration.differs_from(&registration)
            || known.missing_since.is_some()
            || turns_cold;
        known.missing_since = None;
        known.unlisted_at = None;
        if known.deregistered.is_cancelled() {
            // Its entry had expired.
            known.deregistered = tokio_util::sync::CancellationToken::new();
        }
        if is_heartbeat {
            known.cold_until = now + registration.cold;
        }
        known.registration = registration;
        let lifecycle = if leaving {
            Lifecycle::Leaving
        } else {
            Lifecycle::Ready
        };
        let transition = Self::transition(known, lifecycle, now);
        if joins && transition.is_some() {
            known.start_ramp(now);
        }
        if is_new || transition.is_some() {
            RegisterOutcome::Changed(transition)
        } else {
            RegisterOutcome::Confirmed
        }
    }

    /// Records that the entry of an endpoint was removed. The endpoint finishes its current
    /// requests.
    pub fn remove(&mut self, id: &str, now: Millis) -> Option<Transition> {
        let key = self.find(id)?;
        let known = &mut self.endpoints[key];
        known.deregistered.cancel();
        known.unlisted_at.get_or_insert(now);
        if known.lifecycle == Lifecycle::Leaving {
            return None;
        }
        Self::transition(known, Lifecycle::Unlisted, now)
    }

    /// Notes that the registration of a removed endpoint was written before its removal, also if the
    /// sequence number is higher than the known one.
    pub fn note_outdated(&mut self, registration: &Registration) {
        let Some(key) = self.find(&registration.identity.id) else {
            return;
        };
        let known = &mut self.endpoints[key].registration;
        if known.identity == registration.identity {
            known.sequence = known.sequence.max(registration.sequence);
        }
    }

    /// Records that the entry of an endpoint is missing, which may be because it expired while the
    /// store was unavailable until `since`. The endpoint counts as gone unless it registers again in
    /// time.
    ///
    /// Returns whether other nodes have to learn of it. For an endpoint that leaves, they do not.
    pub fn mark_missing(&mut self, id: &str, since: Millis) -> bool {
        let Some(key) = self.find(id) else {
            return false;
        };
        let known = &mut self.endpoints[key];
        known.unlisted_at.get_or_insert(since);
        let is_new = known.lifecycle == Lifecycle::Ready && known.missing_since.is_none();
        if is_new {
            known.missing_since = Some(since);
        }
        is_new
    }

    /// Returns the time since the end of the outage in which an endpoint's entry may have expired, if
    /// the entry is missing.
    #[must_use]
    pub fn missing_for(&self, id: &str, now: Millis) -> Option<Millis> {
        let endpoint = self.find(id).and_then(|key| self.get(key))?;
        endpoint.missing_since.map(|since| now - since)
    }

    /// Marks endpoints as gone whose entries have been missing for too long; returns the
    /// transitions.
    pub fn expire_missing(&mut self, now: Millis) -> Vec<Transition> {
        let mut transitions = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            let missing = endpoint
                .missing_since
                .is_some_and(|at| at + MISSING_TIMEOUT <= now);
            if missing && endpoint.lifecycle == Lifecycle::Ready {
                endpoint.deregistered.cancel();
                transitions.extend(Self::transition(endpoint, Lifecycle::Gone, now));
            }
        }
        transitions
    }

    /// Returns whether an endpoint is still unlisted, as it was when its token was cancelled.
    #[must_use]
    pub fn is_deregistered(&self, key: Key) -> bool {
        self.get(key)
            .is_none_or(|endpoint| endpoint.deregistered.is_cancelled())
    }

    /// Records that an endpoint is leaving, as learned from elsewhere than its entry.
    pub fn record_departure(&mut self, identity: &Identity, now: Millis) -> Option<Transition> {
        let Some(key) = self.find(&identity.id) else {
            self.early_departures.insert(identity.clone(), now);
            return None;
        };
        let known = &mut self.endpoints[key];
        if known.registration.identity.born != identity.born {
            self.early_departures.insert(identity.clone(), now);
            return None;
        }
        Self::transition(known, Lifecycle::Leaving, now)
    }

    /// Forgets endpoints that no longer serve and whose entries were removed long ago.
    ///
    /// As long as its entry is present, a leaving endpoint could register again.
    pub fn prune(&mut self, now: Millis) {
        self.endpoints.retain(|_, endpoint| {
            endpoint.lifecycle == Lifecycle::Ready
                || endpoint.inflight > 0
                || endpoint.unlisted_at.is_none_or(|at| at + RETENTION > now)
        });
        let endpoints = &self.endpoints;
        self.by_id.retain(|_, key| endpoints.contains_key(*key));
        self.early_departures.retain(|_, at| *at + RETENTION > now);
    }

    fn insert(
        &mut self,
        registration: Registration,
        memory_tokens: u64,
        now: Millis,
    ) -> Transition {
        let identity = registration.identity.clone();
        let leaving = registration.leaving || self.early_departures.contains_key(&identity);
        let service = Arc::clone(&registration.service);
        let version = Arc::clone(&registration.version);
        let mut endpoint = Endpoint::new(registration, memory_tokens, now);
        if leaving {
            endpoint.lifecycle = Lifecycle::Leaving;
        }
        if self.has_settled(&service, now) {
            endpoint.start_ramp(now);
        }
        let lifecycle = endpoint.lifecycle;
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(Arc::clone(&identity.id), key);
        Transition {
            identity,
            service,
            version,
            lifecycle,
        }
    }

    /// Returns whether an endpoint of a service has served for some time, so that one that joins it is
    /// new, and not merely new to this node.
    fn has_settled(&self, service: &str, now: Millis) -> bool {
        self.endpoints.values().any(|endpoint| {
            endpoint.lifecycle == Lifecycle::Ready
                && endpoint.lifecycle_since + SETTLE_TIME <= now
                && &*endpoint.registration.service == service
        })
    }

    fn transition(
        endpoint: &mut Endpoint,
        lifecycle: Lifecycle,
        now: Millis,
    ) -> Option<Transition> {
        if endpoint.lifecycle == lifecycle {
            return None;
        }
        endpoint.lifecycle = lifecycle;
        endpoint.lifecycle_since = now;
        Some(Transition {
            identity: endpoint.registration.identity.clone(),
            service: Arc::clone(&endpoint.registration.service),
            version: Arc::clone(&endpoint.registration.version),
            lifecycle,
        })
    }
}
