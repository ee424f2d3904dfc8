//! When a failed request is tried again, and when a second attempt runs beside the first.
//!
//! Retries cost at most a tenth of the first attempts, per client account and per endpoint, so
//! that an overload isn't multiplied by them.

mod backoff;
mod budget;
mod latencies;
mod occupancy;
mod retry;

pub use self::backoff::Backoff;
pub use self::budget::Budget;
pub use self::latencies::Latencies;
pub use self::occupancy::Occupancy;
pub use self::retry::{Attempt, Decision, Retry};
