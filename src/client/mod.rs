//! A complete caller: asks for addresses, connects, follows the response.

mod client;

pub use self::client::{Client, Reply};
