//! Group commit of records to one stream, and the identity of a record's writer.

mod committer;
mod key;
mod pace;
mod queue;

pub use self::committer::Committer;
pub use self::key::{Key, Stamp};
pub use self::pace::{APPENDS_PER_S, interval};
pub use self::queue::{Batch, Group, Queue};
