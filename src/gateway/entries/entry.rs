use bytes::Bytes;

use super::Revision;

/// The state of an endpoint's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The entry exists and has this content.
    Present(Bytes),
    /// The entry was removed.
    Removed,
    /// The entry does not exist, but may merely have expired while the store was unavailable.
    Missing,
}

impl EntryState {
    /// Returns whether the entry exists.
    #[must_use]
    pub fn is_present(&self) -> bool {
        matches!(self, Self::Present(_))
    }
}

/// What is known of an endpoint's entry, and as of which revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// State of the entry.
    pub state: EntryState,
    /// Revision as of which the entry is known to have the state.
    pub revision: Revision,
}

impl Entry {
    /// Returns whether this entry replaces another one: it is later, or as late and certain where the
    /// other one is not.
    #[must_use]
    pub fn replaces(&self, known: &Self) -> bool {
        let is_certain = self.state != EntryState::Missing;
        let is_doubtful = known.state == EntryState::Missing;
        self.revision > known.revision
            || (self.revision == known.revision && is_certain && is_doubtful)
    }
}
