//! Child tasks that are restarted with backoff; the process ends if restarts do not help.

mod supervisor;

pub use self::supervisor::Supervisor;
