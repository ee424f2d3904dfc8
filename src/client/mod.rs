//! A complete caller: asks for addresses, connects, follows the response and reconnects.
//!
//! The caller survives nodes that leave, die or stop answering: it uses the next address, and
//! continues a streamed response by the request's id, offset and attempt.

mod client;
mod directory;
mod follow;
mod post;
mod progress;
mod text;

pub use self::client::{Client, Reply};
pub use self::progress::Progress;
pub use self::text::Text;
