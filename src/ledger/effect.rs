use crate::log::writer;

use super::Key;

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The key is accepted.
    Accepted,
    /// The writer may send.
    Dispatched,
    /// The key is accepted again.
    Released,
    /// The key is finished.
    Finished,
    /// The key is void.
    Voided,
    /// The number of streams is set.
    LayoutSet,
    /// A checkpoint, which changes nothing for a reader that has the state.
    Checkpoint,
    /// The precondition did not hold.
    Rejected,
    /// The key lies at or below the horizon, or ahead of its writer's clock.
    Expired,
    /// The table is full.
    Full,
    /// A record of the same writer with this or a higher sequence number was applied before.
    Duplicate,
    /// Not a record that this program knows.
    Unreadable,
}

/// A record and what it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Who wrote the record, if it can be read.
    pub writer: Option<writer::Key>,
    /// The record's key, if it has one.
    pub key: Option<Key>,
    /// What it did.
    pub effect: Effect,
}

/// Permission to send, from what became of one's own `dispatch` record.
impl Effect {
    /// Returns whether the writer of the record may send.
    #[must_use]
    pub fn permits_sending(self) -> bool {
        self == Self::Dispatched
    }

    /// Returns whether the writer of a `void` record may answer that the call did not run.
    #[must_use]
    pub fn permits_refusal(self) -> bool {
        self == Self::Voided
    }
}
