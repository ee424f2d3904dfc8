//! Child tasks that are restarted with backoff, and the end of the process when that fails.

mod supervisor;

pub use self::supervisor::Supervisor;
