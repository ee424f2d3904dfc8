//! Who a caller is: bearer tokens of client accounts and operators.

mod access;

pub use self::access::{Access, Identity};
