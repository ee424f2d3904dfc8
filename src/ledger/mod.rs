//! Projection of the `calls-<shard>` streams: what became of each non-idempotent call.
//!
//! Every reader applies the same records in offset order with the same pure function, so that all
//! nodes agree on the state of each idempotency key. The first record whose precondition holds
//! wins; later ones have no effect. The fold reads no clock: keys are forgotten up to a horizon
//! that the records carry, and a record for a key at or below the horizon never has an effect, so
//! that a forgotten key can't be accepted a second time.

mod blob;
mod checkpoint;
mod digest;
mod effect;
mod entry;
mod key;
mod next_step;
mod projection;
mod record;

pub use self::blob::Blob;
pub use self::checkpoint::{Assembler, Part};
pub use self::digest::Digest;
pub use self::effect::{Applied, Effect};
pub use self::entry::{Call, Entry, Outcome, State};
pub use self::key::{Key, MAX_KEY_LEAD};
pub use self::next_step::NextStep;
pub use self::projection::{MAX_ENTRIES, MAX_SHARD_RESPONSE_BYTES, Projection};
pub use self::record::{Action, Record};

use crate::clock::Millis;

/// Largest response that a `finish` record keeps.
pub const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1024;

/// Largest request body that an `accept` record keeps for a takeover by another node.
pub const MAX_STORED_BODY_BYTES: usize = 4 * 1024;

/// Difference between the clocks of two nodes, and time between accepting a key and its record,
/// that keeps a key remembered for at least the retry window.
pub const RETENTION_SLACK: Millis = Millis::from_secs(60);

/// Returns the name of a shard's stream.
#[must_use]
pub fn stream(shard: u32) -> String {
    format!("calls-{shard}")
}

/// Returns the time up to which keys may be forgotten at the wall time `now`.
#[must_use]
pub fn horizon(now: Millis, window: Millis) -> Millis {
    now - window - RETENTION_SLACK
}
