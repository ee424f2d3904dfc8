//! The `serve` process: accepts requests, routes them to endpoints and streams the responses.

mod admin;
mod answers;
mod api;
mod background;
mod cluster;
mod gossip;
mod model;
mod node;
mod plain;
mod polls;
mod refusal;
mod request;
mod status;

pub use self::node::Node;
pub use self::status::Status;
