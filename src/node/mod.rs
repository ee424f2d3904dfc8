//! The `serve` process: accepts requests, routes them to endpoints and streams the responses.

mod admin;
mod answers;
mod api;
mod attempt;
mod background;
mod backup;
mod calls;
mod cluster;
mod dispatch;
mod drain;
mod drive;
mod engine;
mod gossip;
mod held;
mod leaving;
mod life;
mod model;
mod node;
mod pace;
mod plain;
mod polls;
mod record;
mod refusal;
mod request;
mod response;
mod rollouts;
mod shard;
mod shard_reader;
mod status;
mod status_call;
mod stop;
mod sync;
mod tail;
mod takeover;

pub use self::node::Node;
pub use self::status::Status;
