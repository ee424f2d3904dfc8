//! Ranking of the node addresses that a caller should use.

mod rank;

pub use self::rank::{Candidate, TTL, rank};
