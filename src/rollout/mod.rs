//! Rollouts of endpoint versions: evidence, a sequential test, stages and the choice of a version.
//!
//! All functions are pure. A node records the outcomes of the requests that it sent to the old and
//! to the new version of a service ([`Monitor::record`]), exchanges its counters with other nodes
//! ([`Report`]) and runs a sequential test on the sums ([`Monitor::tick`]). The test compares both
//! versions per route over the same period, so that a disturbance that affects both versions is not
//! evidence against the new one. A trip is final and doesn't depend on the log. Stages advance only
//! through records in the log ([`Plan::next`]).
//!
//! Error rates per rollout: a version no worse than the tolerated odds ratios is tripped with a
//! probability of at most [`MAX_FALSE_TRIP_PROBABILITY`]. A stage accepts a version as bad as
//! [`Metric::harmful_rate`] with a probability of at most [`FALSE_ACCEPT`].

mod acceptance;
mod arm;
mod detector;
mod exposure;
mod metric;
mod monitor;
mod odds;
mod outcome;
mod plan;
mod report;
mod samples;
pub mod simulation;
mod tally;
mod timing;
mod trip;

pub use self::acceptance::{FALSE_ACCEPT, accepts, accepts_with, log_ratio_good, rules_out};
pub use self::arm::{Arm, Comparison};
pub use self::detector::{Detector, MAX_FALSE_TRIP_PROBABILITY};
pub use self::exposure::{Exposure, SUSPICION_LIMIT, choose_version, endpoints_in_use};
pub use self::metric::Metric;
pub use self::monitor::Monitor;
pub use self::odds::{Stratum, log_ratio};
pub use self::outcome::{Outcome, Thresholds};
pub use self::plan::{Observation, Plan, Stage, Step};
pub use self::report::Report;
pub use self::samples::Samples;
pub use self::tally::Tally;
pub use self::timing::Timing;
pub use self::trip::Trip;
