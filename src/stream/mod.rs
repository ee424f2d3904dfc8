//! Streamed responses: chunks by offset, generation attempts, and callers that follow them.
//!
//! A response is independent of the caller's connection, so that a caller that lost its connection
//! can resume at the offset it has reached. [`Transcript`] determines the chunks for a caller;
//! [`Store`] limits the memory of all responses.

mod candidates;
mod chunk;
mod cursor;
mod entry;
mod follower;
mod limits;
mod model_request;
mod phase;
mod replica;
mod snapshot;
mod source;
mod store;
mod transcript;

pub use self::candidates::{backup_candidates, lookup_candidates};
pub use self::chunk::Chunk;
pub use self::cursor::{Batch, Cursor, Restart};
pub use self::entry::{Entry, Role};
pub use self::follower::Follower;
pub use self::limits::Limits;
pub use self::model_request::ModelRequest;
pub use self::phase::Phase;
pub use self::replica::Replica;
pub use self::snapshot::{Progress, Run, Snapshot};
pub use self::source::Source;
pub use self::store::Store;
pub use self::transcript::Transcript;
