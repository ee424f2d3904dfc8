//! A client library: looks up node addresses, sends a call, follows the response and reconnects.
//!
//! The client tolerates nodes that leave, crash or stop responding: it uses the next address, and
//! it resumes a streamed response by the request's id, offset and attempt.

mod client;
mod directory;
mod follow;
mod progress;
mod submission;
mod text;

pub use self::client::{Client, Reply};
pub use self::progress::Progress;
pub use self::text::Text;
