//! Scheduling of one service at one node: admission queues, routing and estimates together.
//!
//! A node and a replay drive the same [`Scheduler`]; they differ in the clock and in what carries
//! out the decisions.

mod scheduler;

pub use self::scheduler::{Arrival, Scheduler, Settings};
