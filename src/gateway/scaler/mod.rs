//! How many endpoints of a service are ordered, where, and which of them may be reclaimed.
//!
//! [`plan`] answers the load of the deployments whose endpoints cost most: reclaimable endpoints
//! carry what comes on top of a floor of others, spread over the failure domains, so that the loss
//! of one domain's reclaimable endpoints leaves enough for the latency targets. While none are to be
//! had, the floor is raised in their place.

mod capacity;
mod meter;
mod plan;
mod reports;
#[allow(clippy::module_inception)]
mod scaler;
mod target;

pub use self::capacity::{Capacity, Present, total};
pub use self::meter::{Demand, Meter};
pub use self::plan::{Need, plan};
pub use self::reports::DemandReports;
pub use self::scaler::Scaler;
