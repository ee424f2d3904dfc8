//! Load answered: requests of all nodes to one endpoint at the same moment.

use crate::clock::Millis;

use super::{ColdLimit, Place};

/// Longest time after the beginning of a turn at which a request may take it. A node seldom has a request
/// at the very moment.
pub(super) const MAX_LATENESS: Millis = Millis(250);

/// The turns of one node at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    limit: ColdLimit,
    place: Place,
    /// Shifts the turns, so that a node has its turns at different endpoints at different times.
    offset: u64,
}

impl Turns {
    /// Returns the turns of the node at this place.
    #[must_use]
    pub fn new(limit: ColdLimit, place: Place, offset: u64) -> Self {
        Self {
            limit,
            place,
            offset,
        }
    }

    /// Returns when the node's turn began that a request may take at the wall time `wall`; none if it is
    /// the turn of another node.
    #[must_use]
    pub fn open(&self, wall: Millis) -> Option<Millis> {
        let current = (wall.as_f64() * self.limit.rate / 1_000.0) as u64;
        let nodes = self.place.nodes.max(1) as u64;
        let owner = (current % nodes + self.offset % nodes) % nodes;
        let since_own = (owner + nodes - self.place.index as u64 % nodes) % nodes;
        let own = current.checked_sub(since_own)?;
        let began = Millis((own as f64 * 1_000.0 / self.limit.rate).ceil() as u64);
        (wall <= began + MAX_LATENESS).then_some(began)
    }
}
