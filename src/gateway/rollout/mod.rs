//! Rollouts of endpoint versions that an operator orders.
//!
//! While a version is on trial, it gets a bounded share of its service's requests
//! ([`Exposure`]), and its answers are compared with those of the other versions over the same
//! period ([`Evidence`], with the tests of [`crate::rollout`]). First it gets few requests; later a few
//! of its endpoints ([`Sample`]) get as many as in general use for some time, since a fault may show
//! only then. A version that proves itself in both is promoted: shortly before the deadline it gets all
//! requests, so that the other endpoints can finish theirs, and the holder of the duties then records
//! the completion in the store. Until that record, a version that is found worse is reverted by each
//! node at once. Without the record the rollout is reverted at its deadline. [`Schedule`] has the
//! times of these steps.

mod attempt;
mod control;
mod evidence;
mod exposure;
mod order;
mod progress;
mod rollouts;
mod sample;
mod schedule;
mod summary;
mod trial;
mod versions;

pub use self::attempt::Attempt;
pub use self::evidence::{Evidence, Report};
pub use self::exposure::{Exposure, ExposureLimit};
pub use self::order::Order;
pub use self::progress::{Progress, Stage};
pub use self::rollouts::{Finding, Rollouts};
pub use self::sample::{Sample, Work};
pub use self::schedule::{Phase, Schedule};
pub use self::summary::Summary;
pub use self::trial::Trial;
pub use self::versions::{Preference, Versions};

pub(super) use self::control::Control;
