use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// What the owner of a bucket decides on: the cost of a request, and which request it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Quota units that the request costs.
    pub units: f64,
    /// None if the node that asks belongs to an earlier release.
    pub profile: Option<Profile>,
}

impl From<f64> for Ask {
    fn from(units: f64) -> Self {
        Self {
            units,
            profile: None,
        }
    }
}

/// What decides which requests of an account go first while it sends more than its quota allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Hash of the route's name: the requests of a route are of one kind.
    pub kind: u64,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Hash of the request's content, by which a later attempt is recognized; none if other requests
    /// may have the same content.
    pub ticket: Option<u64>,
    /// Time after which another attempt can't be answered on target any more, or the caller doesn't
    /// wait any longer before it.
    pub patience: Millis,
}
