//! Who a caller is: bearer tokens of client accounts and operators.

mod access;

pub(crate) use self::access::digest;
pub use self::access::{Access, Identity};
