//! Which requests are served next, and which are refused.
//!
//! Client accounts share the capacity by weight in cost units. Interactive requests go before
//! long ones as long as their account is within its share, and within a class the earliest
//! deadline goes first. What can't meet its deadline is refused before it runs.

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
