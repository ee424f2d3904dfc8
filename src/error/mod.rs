//! The error of a request, with its kind and its verdict.

mod error;
mod error_kind;

pub use self::error::Error;
pub use self::error_kind::ErrorKind;
