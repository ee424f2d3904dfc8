//! Autoscaling: how many endpoints of a service are ordered in each failure domain, and how many of
//! them are spot endpoints.
//!
//! [`plan`] is made for deployments in which endpoints are the main cost. Steady endpoints, which
//! the cloud can't reclaim, form a floor, and cheaper spot endpoints, which it may reclaim, carry the
//! rest of the demand. Both are spread over the failure domains, so that losing the spot endpoints of
//! one domain leaves enough capacity for the latency targets. While the platform has no spot
//! endpoints, the floor is raised instead.

mod capacity;
mod meter;
mod placement;
mod plan;
mod reports;
#[allow(clippy::module_inception)]
mod scaler;
mod target;

pub use self::capacity::{Capacity, Present, total};
pub use self::meter::{Demand, Meter, Prefill};
pub use self::placement::Placement;
pub use self::plan::{Need, plan};
pub use self::reports::DemandReports;
pub use self::scaler::Scaler;
