//! The policy state of one service at one node: queues, routing and estimates together.
//!
//! The node and a replay drive the same [`Lane`]; what differs is the clock and who carries out
//! the decisions.

mod lane;

pub use self::lane::{Arrival, Lane, Settings};
