//! Routing: the endpoint of a request is chosen by its expected time to first token.
//!
//! A [`Router`] holds what one node knows about the endpoints of one service: load reports, which
//! lag, the node's own dispatches since then, and an index of prompt prefixes. It takes the time as
//! an argument and uses a seeded random number generator, so that a replay makes the same decisions
//! as a node.
//!
//! A prefix is cold if no endpoint is known to hold its blocks. Cold prefixes are placed by hash
//! among the endpoints with an acceptable wait and load, so that all nodes choose the same endpoint
//! for the same prefix.

mod baseline;
mod blocks;
mod candidates;
mod choice;
mod entry;
mod expected;
mod holders;
mod matches;
mod policy;
mod prefix_index;
mod query;
mod ring;
mod router;
mod settings;
mod totals;
mod view;

pub use self::blocks::{BLOCK_TOKENS, block_hashes, estimate_tokens};
pub use self::choice::Choice;
pub use self::matches::Matches;
pub use self::policy::Policy;
pub use self::prefix_index::PrefixIndex;
pub use self::query::Query;
pub use self::router::Router;
pub use self::settings::Settings;
pub use self::view::{Report, View};
