//! State of the `calls-<shard>` streams: the outcome of each non-idempotent call.
//!
//! Every reader applies the same records in offset order with the same pure function, so that all
//! nodes agree on the state of each idempotency key. The first record whose precondition holds
//! wins; later ones have no effect. Applying a record reads no clock: keys are forgotten up to a
//! horizon that the records contain, and a record for a key at or below the horizon never has an
//! effect, so that a forgotten key can't be accepted a second time.

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

/// Maximum size in bytes of a response that a `finish` record stores.
pub const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1024;

/// Maximum size in bytes of a request body that an `accept` record stores for a takeover by
/// another node.
pub const MAX_STORED_BODY_BYTES: usize = 4 * 1024;

/// Time beyond the retry window for which keys are remembered.
///
/// It covers the clock difference between two nodes and the delay between accepting a key and
/// writing its record, so that a key is remembered for at least the retry window.
pub const RETENTION_SLACK: Millis = Millis::from_secs(60);

/// Returns the name of the log stream of a shard.
#[must_use]
pub fn stream(shard: u32) -> String {
    format!("calls-{shard}")
}

/// Returns the horizon at the wall time `now`: keys created at or before it may be forgotten.
#[must_use]
pub fn horizon(now: Millis, window: Millis) -> Millis {
    now - window - RETENTION_SLACK
}
