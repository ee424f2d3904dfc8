//! The `serve` process: accepts requests, routes them to endpoints and streams the responses.

mod admin;
mod api;
mod attempt;
mod background;
#[allow(dead_code, unused_imports, reason = "called by the peer handler")]
mod backup;
mod body_limit;
mod calls;
mod dispatch;
mod drain;
mod drive;
mod engine;
mod follow;
mod held;
mod leaving;
mod life;
mod model;
mod node;
mod pace;
mod plain;
mod record;
mod refusal;
mod request;
mod shard;
mod shard_reader;
mod status;
mod stop;
mod takeover;

pub use self::node::Node;
pub use self::status::Status;
