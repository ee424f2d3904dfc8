//! Rollouts of endpoint versions that an operator orders.
//!
//! While a version is on trial, it gets a bounded share of its service's requests
//! ([`Exposure`]), and its answers are compared with those of the other versions over the same
//! period ([`Evidence`], with the tests of [`crate::rollout`]). A version that is found worse is
//! reverted by each node at once. A version that proves itself is promoted shortly before the
//! deadline: it gets all requests, so that the other endpoints can finish theirs, and the holder of
//! the duties then records the completion in the store. Without that record the rollout is
//! reverted at its deadline.

mod control;
mod evidence;
mod exposure;
mod order;
mod progress;
mod rollouts;
mod trial;
mod versions;

pub use self::evidence::{Evidence, Report};
pub use self::exposure::{Exposure, ExposureLimit};
pub use self::order::Order;
pub use self::progress::{Progress, Stage};
pub use self::rollouts::{Finding, Rollouts};
pub use self::trial::Trial;
pub use self::versions::{Preference, Versions};

pub(super) use self::control::Control;
