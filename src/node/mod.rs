//! The `serve` process: accepts requests, routes them to endpoints and streams the responses.

mod admin;
mod api;
mod background;
mod model;
mod node;
mod plain;
mod refusal;
mod request;
mod rollouts;
mod status;

pub use self::node::Node;
pub use self::status::Status;
