use crate::log::writer;

use super::Key;

/// Effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The key was accepted.
    Accepted,
    /// The writer may send the call.
    Dispatched,
    /// The key is accepted again, so that any node may dispatch it.
    Released,
    /// The key was finished.
    Finished,
    /// The key was voided.
    Voided,
    /// The number of shards was set.
    LayoutSet,
    /// A checkpoint, which has no effect on a reader that has the state.
    Checkpoint,
    /// The precondition did not hold.
    Rejected,
    /// The key is at or below the horizon, or too far ahead of its writer's clock.
    Expired,
    /// The table is full.
    Full,
    /// The offset, or a record of the same writer with this or a higher sequence number, was
    /// already applied.
    Duplicate,
    /// This program can't decode the record.
    Unreadable,
}

/// Result of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Writer and sequence number of the record, if it can be decoded.
    pub writer: Option<writer::Key>,
    /// Idempotency key of the record, if it has one.
    pub key: Option<Key>,
    /// Effect of the record.
    pub effect: Effect,
}

/// What the writer may do after its own record took effect.
impl Effect {
    /// Returns whether the writer of a `dispatch` record may send the call.
    #[must_use]
    pub fn permits_sending(self) -> bool {
        self == Self::Dispatched
    }

    /// Returns whether the writer of a `void` record may respond that the call did not run.
    #[must_use]
    pub fn permits_refusal(self) -> bool {
        self == Self::Voided
    }
}
