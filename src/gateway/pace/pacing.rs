//! Load answered: requests of one node that could go to cold endpoints.

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::gateway::Endpoint;

use super::{ColdLimit, Place, Turns};

/// Time that a request waits elsewhere at most in place of exceeding the pace of an endpoint, in
/// milliseconds.
const MAX_DETOUR_MS: f64 = 500.0;

/// What the share of a node in the pace of a service's endpoints depends on.
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

    /// Returns the turn that a request to an endpoint takes, by its beginning on the wall clock; none if the
    /// endpoint is not limited.
    #[must_use]
    pub fn turn(&self, endpoint: &Endpoint, now: Millis) -> Option<Millis> {
        self.turns(endpoint, now)?.open(self.wall)
    }

    /// Returns the cost of a request of this node to an endpoint that has just started or recovered,
    /// in milliseconds: it goes there if no other endpoint serves it much earlier.
    #[must_use]
    pub fn ramp_penalty_ms(&self, endpoint: &Endpoint, now: Millis) -> f64 {
        let admitted = endpoint
            .ramp
            .is_none_or(|ramp| ramp.admits(self.place, offset(endpoint), now));
        if admitted { 0.0 } else { MAX_DETOUR_MS }
    }

    fn turns(&self, endpoint: &Endpoint, now: Millis) -> Option<Turns> {
        let limit = self.limit?;
        let is_cold = endpoint.cold_left(now) > Millis::ZERO;
        is_cold.then(|| Turns::new(limit, self.place, offset(endpoint)))
    }
}

/// Returns by how much the order of the nodes is shifted at an endpoint.
fn offset(endpoint: &Endpoint) -> u64 {
    xxh3_64(endpoint.registration.identity.id.as_bytes())
}
