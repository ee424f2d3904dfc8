//! Fold of the `control` stream: which configuration is active.
//!
//! All nodes apply the same records in the same order, so that they agree without talking to each
//! other. The first record whose precondition holds wins.

mod change;
mod claim;
mod fold;
mod lease;
mod publish;
mod reader;
mod reason;
mod record;
mod rollout;
mod rollouts;
mod statement;

pub use self::change::Change;
pub use self::claim::Claim;
pub use self::fold::{Active, Fold, Outcome};
pub use self::lease::{LEASE, Lease};
pub use self::publish::publish;
pub use self::reader::Reader;
pub use self::reason::Reason;
pub use self::record::Record;
pub use self::rollout::{Phase, Rollout, Standing};
pub use self::rollouts::Rollouts;
pub use self::statement::{State, Statement};

/// Name of the stream that holds configurations and rollouts.
pub const STREAM: &str = "control";
