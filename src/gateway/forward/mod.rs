//! Request forwarding: admission, choice of an endpoint, attempts, and the response.

mod admit;
mod attempts;
mod buffer_share;
mod buffered;
mod call;
mod choose;
mod dispatch;
mod failure;
mod obstacle;
mod progress;
mod relay;
mod replacement;
mod reservation;
mod serve;
mod shortlist;
mod source;
mod upload;

pub use self::choose::{Choice, Query, choose};

pub(super) use self::serve::serve;
