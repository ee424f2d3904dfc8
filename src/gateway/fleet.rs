use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;

use crate::clock::Millis;

use super::endpoint::{Endpoint, Key, Lifecycle};
use super::{Identity, Registration};

/// Time after which an endpoint that is gone and has no requests is forgotten.
const FORGET: Millis = Millis::from_secs(60);

/// Time after the return of the register within which endpoints whose entries lapsed are listed
/// again.
const DOUBT: Millis = Millis(2_500);

/// A change of what this node believes about an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub identity: Identity,
    /// Its service.
    pub service: Arc<str>,
    /// How it takes part from now on.
    pub lifecycle: Lifecycle,
}

/// What became of a statement of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Whether it says something that was not known; a late or superseded statement does not.
    pub is_new: bool,
    /// The change that it made.
    pub change: Option<Change>,
}

/// All endpoints that this node knows, with the order of what was said about them.
///
/// A departure is final for one run of an endpoint, whatever is heard later: a late statement must
/// not bring it back. Only an entry that lapsed while the register was away is taken back.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: SlotMap<Key, Endpoint>,
    by_id: HashMap<Arc<str>, Key>,
    /// Departures of endpoints that were not listed yet.
    announced: HashMap<Identity, Millis>,
}

/// Lookup.
impl Fleet {
    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns an endpoint for changes.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// Returns the endpoint that has this id now.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Returns all endpoints for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut Endpoint)> {
        self.endpoints.iter_mut()
    }

    /// Returns the endpoints of a service that take new requests.
    ///
    /// An endpoint whose entry is missing takes none, although the entry may only have lapsed. Where
    /// most entries are missing, the register was away and the endpoints take requests as before.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Endpoint)> {
        let listed = move |endpoint: &Endpoint| {
            endpoint.lifecycle == Lifecycle::Ready && &*endpoint.registration.service == service
        };
        let all = self.endpoints.values().filter(|e| listed(e));
        let (doubtful, certain) = all.fold((0, 0), |(doubtful, certain), endpoint| {
            let doubt = usize::from(endpoint.missing_since.is_some());
            (doubtful + doubt, certain + 1 - doubt)
        });
        let all_serve = doubtful >= certain;
        let endpoints = self.endpoints.iter();
        endpoints.filter(move |(_, endpoint)| {
            listed(endpoint) && (all_serve || endpoint.missing_since.is_none())
        })
    }

    /// Returns whether any endpoint takes new requests.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        self.endpoints
            .values()
            .any(|endpoint| endpoint.lifecycle == Lifecycle::Ready)
    }
}

/// Statements.
impl Fleet {
    /// Takes in what an endpoint states about itself. Older statements have no effect.
    pub fn listed(
        &mut self,
        registration: Registration,
        memory_tokens: u64,
        now: Millis,
    ) -> Update {
        let inserted = |change| Update {
            is_new: true,
            change: Some(change),
        };
        let Some(key) = self.find(&registration.identity.id) else {
            return inserted(self.insert(registration, memory_tokens, now));
        };
        let known = &mut self.endpoints[key];
        let (old, new) = (known.registration.identity.born, registration.identity.born);
        if new < old || (new == old && registration.sequence < known.registration.sequence) {
            return Update::default();
        }
        if new > old {
            known.lost.cancel();
            known.lifecycle = Lifecycle::Gone;
            known.lifecycle_since = now;
            return inserted(self.insert(registration, memory_tokens, now));
        }
        if known.lifecycle == Lifecycle::Leaving && !registration.leaving {
            return Update::default();
        }
        let leaving = registration.leaving;
        let is_new = known.registration.tells_more(&registration) || known.missing_since.is_some();
        known.missing_since = None;
        if known.lifecycle == Lifecycle::Gone {
            // Its entry had lapsed.
            known.lost = tokio_util::sync::CancellationToken::new();
        }
        known.registration = registration;
        let lifecycle = if leaving {
            Lifecycle::Leaving
        } else {
            Lifecycle::Ready
        };
        Update {
            is_new,
            change: Self::stand(known, lifecycle, now),
        }
    }

    /// Notes that the entry of an endpoint was removed; the endpoint goes on with what it has.
    pub fn removed(&mut self, id: &str, now: Millis) -> Option<Change> {
        let key = self.find(id)?;
        let known = &mut self.endpoints[key];
        known.lost.cancel();
        Self::stand(known, Lifecycle::Leaving, now)
    }

    /// Notes that the entry of an endpoint is missing while entries may have lapsed because the
    /// register was away. It counts as gone unless it is listed again soon.
    ///
    /// Returns whether that is news; nothing is doubtful about an endpoint that leaves.
    pub fn lapsed(&mut self, id: &str, now: Millis) -> bool {
        let Some(key) = self.find(id) else {
            return false;
        };
        let known = &mut self.endpoints[key];
        let is_new = known.lifecycle == Lifecycle::Ready && known.missing_since.is_none();
        if is_new {
            known.missing_since = Some(now);
        }
        is_new
    }

    /// Removes endpoints that were not listed again in time; returns the changes.
    pub fn settle(&mut self, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            let doubtful = endpoint.missing_since.is_some_and(|at| at + DOUBT <= now);
            if doubtful && endpoint.lifecycle == Lifecycle::Ready {
                endpoint.lost.cancel();
                changes.extend(Self::stand(endpoint, Lifecycle::Gone, now));
            }
        }
        changes
    }

    /// Notes that another node saw an endpoint leave.
    pub fn departs(&mut self, identity: &Identity, now: Millis) -> Option<Change> {
        let Some(key) = self.find(&identity.id) else {
            self.announced.insert(identity.clone(), now);
            return None;
        };
        let known = &mut self.endpoints[key];
        if known.registration.identity.born != identity.born {
            self.announced.insert(identity.clone(), now);
            return None;
        }
        Self::stand(known, Lifecycle::Leaving, now)
    }

    /// Forgets endpoints that are long gone.
    pub fn prune(&mut self, now: Millis) {
        self.endpoints.retain(|_, endpoint| {
            endpoint.lifecycle == Lifecycle::Ready
                || endpoint.inflight > 0
                || endpoint.lifecycle_since + FORGET > now
        });
        let endpoints = &self.endpoints;
        self.by_id.retain(|_, key| endpoints.contains_key(*key));
        self.announced.retain(|_, at| *at + FORGET > now);
    }

    fn insert(&mut self, registration: Registration, memory_tokens: u64, now: Millis) -> Change {
        let identity = registration.identity.clone();
        let leaving = registration.leaving || self.announced.contains_key(&identity);
        let service = Arc::clone(&registration.service);
        let mut endpoint = Endpoint::new(registration, memory_tokens, now);
        if leaving {
            endpoint.lifecycle = Lifecycle::Leaving;
        }
        let lifecycle = endpoint.lifecycle;
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(Arc::clone(&identity.id), key);
        Change {
            identity,
            service,
            lifecycle,
        }
    }

    fn stand(endpoint: &mut Endpoint, lifecycle: Lifecycle, now: Millis) -> Option<Change> {
        if endpoint.lifecycle == lifecycle {
            return None;
        }
        endpoint.lifecycle = lifecycle;
        endpoint.lifecycle_since = now;
        Some(Change {
            identity: endpoint.registration.identity.clone(),
            service: Arc::clone(&endpoint.registration.service),
            lifecycle,
        })
    }
}
