//! The policy state of one service at one node: queues, routing and estimates together.
//!
//! The node and a replay drive the same [`Scheduler`]; what differs is the clock and who carries out
//! the decisions.

mod scheduler;

pub use self::scheduler::{Arrival, Scheduler, Settings};
