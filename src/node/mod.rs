//! The `serve` process: accepts requests, routes them to endpoints and streams their responses.

mod admin;
mod api;
mod attempt;
mod background;
mod backup;
mod calls;
mod cluster;
mod control_reader;
mod dispatch;
mod drain;
mod driver;
mod engine;
mod gossip;
mod handler;
mod lifecycle;
mod lookup;
mod migration;
mod model;
mod node;
mod plain;
mod polling;
mod recording;
mod refresh;
mod refusal;
mod request;
mod response;
mod response_dump;
mod rollouts;
mod shard;
mod shard_reader;
mod shutdown;
mod status;
mod takeover;
mod token_interval;

pub use self::node::Node;
pub use self::status::Status;
