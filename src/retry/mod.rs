//! Retries of failed requests, and hedging of slow ones.
//!
//! Retries and hedges add at most a tenth to the first attempts, per client account and per
//! endpoint, so that they don't amplify an overload.

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
