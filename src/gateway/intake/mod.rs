//! What callers may take of the process: connections, and memory for heads, bodies and responses.
//!
//! Who yields when one of them runs short is decided by [`choose`], without I/O.

mod budget;
mod client;
mod connection;
mod connections;
mod intake;
mod moment;
mod pressure;
mod share;
mod stream;
mod transfer;

pub use self::budget::{Budget, Kind};
pub use self::client::{Client, State};
pub(super) use self::connection::Connection;
pub(super) use self::connections::{Connections, Entry};
pub(super) use self::intake::Intake;
pub use self::pressure::{Need, choose};
pub use self::share::Share;
pub(super) use self::stream::CallerStream;
