//! Admission control: which requests are dispatched next, and which are refused.
//!
//! Client accounts share the capacity by weight, in cost units. Interactive requests are dispatched
//! before long ones as long as their account is within its share; within a class, the request with
//! the earliest deadline is first. Requests that can't meet their deadline are refused before they
//! run.

mod account;
mod admission;
mod bucket;
mod estimate;
mod share;
mod ticket;

pub use self::admission::{Action, Admission, Capacity, Settings};
pub use self::bucket::Bucket;
pub use self::estimate::Estimate;
pub use self::share::{Share, Window};
pub use self::ticket::{Reason, Ticket};
