//! Load answered: all nodes send to an endpoint that is cold after its start, which tolerates few
//! requests per second from all of them together.
//!
//! The nodes take turns, without a message for it: time is cut into as many turns per second as the
//! endpoint tolerates requests, and each turn belongs to one node. Nodes agree on whose turn it is by
//! their common wall time and their lists of each other.

mod cold_limit;
mod pacing;
mod place;
mod turns;

pub use self::cold_limit::{ColdLimit, ColdTolerance};
pub use self::pacing::Pacing;
pub use self::place::Place;
pub use self::turns::Turns;
