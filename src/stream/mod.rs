//! Streamed responses: chunks by offset, attempts, and callers that follow them.
//!
//! A response lives independently of the caller's connection, so that a caller that lost its
//! connection continues at the offset it has reached.

mod entry;
mod store;

pub use self::entry::{Chunk, Entry, Phase};
pub use self::store::Store;
