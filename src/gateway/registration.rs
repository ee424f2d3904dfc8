use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;

/// Identity of one run of an endpoint: an endpoint that starts again may keep its id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Identity {
    /// Id.
    pub id: Arc<str>,
    /// Wall time of its start, as it states it.
    pub born: u64,
}

/// What an endpoint states about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Identity.
    pub identity: Identity,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Time until it is gone, when it is known.
    pub leaves_in: Option<Millis>,
    /// How much longer it stays slow after its start.
    pub cold: Millis,
    /// Whether it may be reclaimed.
    pub spot: bool,
    /// Number of the statement; grows within one run of the endpoint.
    pub sequence: u64,
}

impl Registration {
    /// Returns whether a statement differs from this one in more than its number and the time that
    /// passed.
    #[must_use]
    pub fn tells_more(&self, other: &Self) -> bool {
        let same = Self {
            sequence: self.sequence,
            cold: self.cold,
            leaves_in: self.leaves_in,
            ..other.clone()
        };
        same != *self
    }
}
