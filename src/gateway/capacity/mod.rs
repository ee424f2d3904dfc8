//! What the endpoints of a service can carry, learned from their responses.
//!
//! All endpoints of a service share a [`Profile`]: how long a prompt token, a further request and the
//! pause between two events take at an endpoint of usual speed. An endpoint differs from it by its
//! [`Slowness`], which the nodes measure together, and at present by the [`Contention`] of its host.
//! So a few responses say enough of an endpoint, and one that is new begins with what the others have
//! shown. [`Estimate`] tells from both what a caller gets.

mod backlog;
mod conditions;
mod contention;
mod estimate;
mod pauses;
mod profile;
mod profiles;
mod regression;
mod sample;
mod slowness;
mod speeds;
mod targets;

pub use self::backlog::{Backlog, Delay};
pub use self::conditions::Conditions;
pub use self::contention::Contention;
pub use self::estimate::Estimate;
pub use self::pauses::Pauses;
pub use self::profile::{Coefficients, Profile};
pub use self::profiles::Profiles;
pub use self::regression::Regression;
pub use self::sample::Sample;
pub use self::slowness::Slowness;
pub use self::speeds::{Changes, Speeds};
pub use self::targets::Targets;
