//! The `serve` process: accepts requests, routes them to endpoints and streams the responses.

mod admin;
mod api;
mod attempt;
mod background;
mod body_limit;
mod calls;
mod follow;
mod model;
mod node;
mod plain;
mod refusal;
mod request;
mod rollouts;
mod shard;
mod status;
mod takeover;

pub use self::node::Node;
pub use self::status::Status;
