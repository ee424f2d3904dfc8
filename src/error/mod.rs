//! The error of a request, with its kind and the verdict on whether the request may have run.

mod error;
mod error_kind;

pub use self::error::Error;
pub use self::error_kind::ErrorKind;
