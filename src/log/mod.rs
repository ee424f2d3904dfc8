//! Client of the platform's log service: append-only streams of records with offsets.
//!
//! The log is the only durable state of the system and the only total order. An append whose
//! response is lost may still have taken effect; only reading the stream tells.

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
