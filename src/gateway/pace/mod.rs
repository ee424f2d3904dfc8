//! Load answered: all nodes send to an endpoint that is cold after its start, or that has just started
//! or recovered.
//!
//! A cold endpoint tolerates few requests per second from all nodes together. The nodes take turns,
//! without a message for it: time is cut into as many turns per second as the endpoint tolerates
//! requests, and each turn belongs to one node ([`Turns`]). Nodes agree on whose turn it is by their
//! common wall time and their lists of each other.
//!
//! An endpoint that joins others, or answers again after it was blocked, gets a growing pace
//! ([`Ramp`]), of which each node has an equal share.

mod cold_limit;
mod pacing;
mod place;
mod ramp;
mod turns;

pub use self::cold_limit::{ColdLimit, ColdTolerance};
pub use self::pacing::Pacing;
pub use self::place::Place;
pub use self::ramp::Ramp;
pub use self::turns::Turns;
