//! Ranked address responses: which nodes a caller should use.

mod rank;

pub use self::rank::{Candidate, TTL, rank};
