//! Group commit of records to a stream, with keys that identify each record and its writer.

mod committer;
mod interval;
mod key;
mod queue;

pub use self::committer::Committer;
pub use self::interval::{MAX_APPENDS_PER_S, append_interval};
pub use self::key::{Encode, Key};
pub use self::queue::{Batch, Group, Queue};
