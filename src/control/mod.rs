//! Fold of the `control` stream: which configuration is active.
//!
//! All nodes apply the same records in the same order, so that they agree without talking to each
//! other. The first record whose precondition holds wins.

mod fold;
mod publish;
mod record;

pub use self::fold::{Active, Fold, Outcome};
pub use self::publish::publish;
pub use self::record::Record;

/// Name of the stream that holds configurations and rollouts.
pub const STREAM: &str = "control";
