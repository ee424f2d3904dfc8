//! HTTP client and server with timeouts and size limits, based on `hyper` and `warp`.
//!
//! The client never retries a request by itself, and its errors say whether the request may have
//! run. The server limits the number of connections, the size of headers and the time that a sender
//! may take.

mod body;
mod client;
mod connection;
mod connector;
mod event;
mod head;
mod server;
mod stream;

pub use self::body::read_body;
pub use self::client::Client;
pub use self::connection::Connection;
pub use self::event::{Event, Events, events, events_with_idle_timeout};
pub use self::head::check_head;
pub use self::server::Server;
pub use self::stream::Stream;
