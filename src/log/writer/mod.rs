//! Group commit of records to one stream, and the identity of a record's writer.

mod key;
mod queue;

pub use self::key::{Key, Stamp};
pub use self::queue::{Batch, Group, Queue, Resolved};
