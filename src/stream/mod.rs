//! Streamed responses: chunks by offset, attempts, and callers that follow them.
//!
//! A response lives independently of the caller's connection, so that a caller that lost its
//! connection continues at the offset it has reached. [`Transcript`] decides what a caller gets;
//! [`Store`] bounds how much is held.

mod candidates;
mod chunk;
mod cursor;
mod entry;
mod follower;
mod holder;
mod limits;
mod phase;
mod snapshot;
mod source;
mod store;
mod transcript;
mod work;

pub use self::candidates::{backups, finders};
pub use self::chunk::Chunk;
pub use self::cursor::{Batch, Cursor, Restart};
pub use self::entry::{Entry, Role};
pub use self::follower::Follower;
pub use self::holder::Holder;
pub use self::limits::Limits;
pub use self::phase::Phase;
pub use self::snapshot::{Progress, Run, Snapshot};
pub use self::source::Source;
pub use self::store::Store;
pub use self::transcript::Transcript;
pub use self::work::Work;
