//! Client of the platform's log service, which keeps append-only streams of records.
//!
//! The log is the system's only durable state and its only total order. An append whose response is
//! lost may still have taken effect; only a read of the stream shows whether it has.

mod client;
mod health;
mod page;
mod service;
mod tail;
pub mod writer;

pub use self::client::Client;
pub use self::health::Health;
pub use self::page::{Append, Entry, Offset, Page, Receipt};
pub use self::service::Service;
pub use self::tail::{Read, Tail};
