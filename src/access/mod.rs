//! Authentication of callers by the bearer tokens of client accounts and operators.

mod tokens;

pub(crate) use self::tokens::digest;
pub use self::tokens::{Identity, Tokens};
