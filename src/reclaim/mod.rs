//! Choice of what to do with a stream whose engine's host is about to be reclaimed.

mod strategy;

pub use self::strategy::{Costs, Strategy, Stream, Target, choose};
