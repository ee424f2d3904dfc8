//! Load answered: requests of one node that could go to cold endpoints.

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::gateway::Endpoint;

use super::{ColdLimit, Place, Turns};

/// What the turns of a node at the cold endpoints of a service depend on.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    /// Limit of the service's endpoints; none if they need none.
    pub limit: Option<ColdLimit>,
    /// Place of the node among all nodes.
    pub place: Place,
    /// Common wall time of the nodes.
    pub wall: Millis,
}

impl Pacing {
    /// No endpoint is limited.
    pub const NONE: Self = Self {
        limit: None,
        place: Place::ALONE,
        wall: Millis::ZERO,
    };

    /// Returns whether an endpoint may get a request of this node: it is not limited, or a turn is
    /// left for the node.
    #[must_use]
    pub fn admits(&self, endpoint: &Endpoint, now: Millis) -> bool {
        self.turns(endpoint, now).is_none_or(|turns| {
            let turn = turns.open(self.wall);
            turn.is_some_and(|turn| endpoint.has_turn(turn))
        })
    }

    /// Returns the turn that a request to an endpoint takes; none if the endpoint is not limited.
    #[must_use]
    pub fn turn(&self, endpoint: &Endpoint, now: Millis) -> Option<u64> {
        self.turns(endpoint, now)?.open(self.wall)
    }

    fn turns(&self, endpoint: &Endpoint, now: Millis) -> Option<Turns> {
        let limit = self.limit?;
        let is_cold = endpoint.cold_left(now) > Millis::ZERO;
        is_cold.then(|| {
            let offset = xxh3_64(endpoint.registration.identity.id.as_bytes());
            Turns::new(limit, self.place, offset)
        })
    }
}
