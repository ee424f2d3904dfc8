use serde::{Deserialize, Serialize};

use crate::gateway::Era;

/// Age of what is known of a topic: the records before `next`, in this era of the store.
///
/// Of two revisions, the greater one is the later one. A restored store gives offsets out again, so
/// that those of a later era come after all of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era of the store.
    pub era: Era,
    /// Offset of the next record.
    pub next: u64,
}

impl Revision {
    /// Returns the revision that a record leads to.
    #[must_use]
    pub fn of_record(era: Era, offset: u64) -> Self {
        Self {
            era,
            next: offset + 1,
        }
    }
}
