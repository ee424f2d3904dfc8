//! State of the `control` stream: the active configuration, rollouts and claims.
//!
//! All nodes apply the same records in the same order, so that they agree without further
//! coordination. The first record whose precondition holds wins.

mod change;
mod claim;
mod lease;
mod projection;
mod publish;
mod reader;
mod reason;
mod record;
mod rollout;
mod rollouts;
mod summary;

pub use self::change::Change;
pub use self::claim::Claim;
pub use self::lease::{LEASE_DURATION, Lease};
pub use self::projection::{Active, Outcome, Projection};
pub use self::publish::publish;
pub use self::reader::Reader;
pub use self::reason::Reason;
pub use self::record::Record;
pub use self::rollout::{Phase, Rollout, Status};
pub use self::rollouts::Rollouts;
pub use self::summary::{State, Summary};

/// Name of the log stream that holds configurations, rollouts and claims.
pub const STREAM: &str = "control";
