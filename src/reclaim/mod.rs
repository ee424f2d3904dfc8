//! What to do with a stream whose engine's host is about to be reclaimed.

mod choice;

pub use self::choice::{Choice, Costs, Stream, Target, choose};
