//! The `serve` process: accepts requests, routes them to endpoints and streams the responses.

mod admin;
mod api;
mod background;
mod dispatch;
mod model;
mod node;
mod plain;
mod record;
mod refusal;
mod request;
mod status;

pub use self::node::Node;
pub use self::status::Status;
