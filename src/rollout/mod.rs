//! Rollouts of endpoint versions: evidence, a sequential test, stages and the choice of a version.
//!
//! All functions are pure. A node records what became of the requests it sent to the old and to
//! the new version of a service ([`Monitor::record`]), exchanges its counters with other nodes
//! ([`Report`]) and runs a sequential test on the sum ([`Monitor::tick`]). The test compares both
//! versions per route over the same period, so that a disturbance that affects both is no
//! evidence. A trip is sticky and needs no log; stages advance only through records in the log
//! ([`Plan::next`]).
//!
//! Error rates, per rollout: a version no worse than the tolerated odds ratios is tripped with a
//! probability of at most [`FALSE_TRIP`]; a stage accepts a version that is as bad as
//! [`Metric::harmful`] with a probability of at most [`FALSE_ACCEPT`].

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
pub mod simulation;
mod tally;
mod trip;

pub use self::acceptance::{FALSE_ACCEPT, accepts, accepts_with};
pub use self::arm::{Arm, Comparison};
pub use self::detector::{Detector, FALSE_TRIP};
pub use self::exposure::{CAUTION, Exposure, choose_version, endpoints_in_use};
pub use self::metric::Metric;
pub use self::monitor::Monitor;
pub use self::odds::{Stratum, log_ratio};
pub use self::outcome::{Outcome, Thresholds};
pub use self::plan::{Observation, Plan, Stage, Step};
pub use self::report::Report;
pub use self::tally::Tally;
pub use self::trip::Trip;
