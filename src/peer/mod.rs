//! RPC protocol between nodes: `schema/peer.capnp` over TCP.
//!
//! Futures of `capnp-rpc` are not `Send`, so one thread owns all connections ([`spawn`]). The rest
//! of the process makes calls through a [`Handle`] and handles calls with a [`Handler`].
//!
//! `peer_capnp.rs` is generated and committed, so that the build needs no code generator:
//! `capnp compile -I <directory of the crate capnpc> -orust:src/peer --src-prefix=schema
//! schema/peer.capnp`, with `capnpc-rust` of that crate on the path.

mod batch;
mod connection;
mod handle;
mod handler;
mod metered_stream;
mod method;
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    rust_2018_idioms,
    unreachable_pub,
    reason = "generated code"
)]
#[rustfmt::skip]
mod peer_capnp;
mod pool;
mod server;
mod session;
mod thread;
mod tokens;
mod wire;

pub use self::batch::{Batch, Context, Item, Receipt};
pub use self::handle::Handle;
pub use self::handler::Handler;
pub use self::method::Method;
pub use self::thread::spawn;
pub use self::tokens::Tokens;
pub use self::wire::encoded_bytes;

/// Version of the peer protocol that this program implements.
pub const PROTOCOL_VERSION: u16 = 1;
