use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;

/// Identity of one run of an endpoint; an endpoint that restarts may keep its id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Identity {
    /// Id.
    pub id: Arc<str>,
    /// Wall time of its start, as the endpoint reports it.
    pub born: u64,
}

/// What an endpoint states about itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Identity.
    pub identity: Identity,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Time until it terminates, if known.
    pub leaves_in: Option<Millis>,
    /// Remaining time for which it is slow after its start.
    pub cold: Millis,
    /// Whether it is a spot endpoint, which the cloud may reclaim.
    pub spot: bool,
    /// Sequence number of the registration; grows within one run of the endpoint.
    pub sequence: u64,
}

impl Registration {
    /// Returns whether another registration differs from this one in more than its sequence number
    /// and the remaining times.
    #[must_use]
    pub fn differs_from(&self, other: &Self) -> bool {
        let same = Self {
            sequence: self.sequence,
            cold: self.cold,
            leaves_in: self.leaves_in,
            ..other.clone()
        };
        same != *self
    }
}
