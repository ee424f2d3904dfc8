use crate::clock::Millis;
use crate::gateway::Era;

use super::Revision;

/// How far a topic has been read, by this node or by another one that passed its records on.
///
/// A restored store gives offsets out again, so that a position holds only in its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Era in which the topic was read.
    pub era: Era,
    /// Offset of the next record; none until the topic has been read.
    pub next: Option<u64>,
    /// Latest time at which `next` was known to be the end of the topic.
    pub as_of: Option<Millis>,
}

impl Position {
    /// Returns the time since the position was known to be the end of the topic.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.as_of.map(|at| now - at)
    }

    /// Returns the offset of the next record, if the topic has been read in this era.
    #[must_use]
    pub fn next_in(&self, era: Era) -> Option<u64> {
        self.next.filter(|_| self.era == era)
    }

    /// Returns the revision up to which the topic has been read; none until it has been.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        let era = self.era;
        self.next.map(|next| Revision { era, next })
    }

    /// Returns whether changes that another node recorded from a revision on continue what was read up
    /// to this position, without a gap.
    #[must_use]
    pub fn is_continued_by(&self, complete_from: Revision) -> bool {
        self.next_in(complete_from.era)
            .is_some_and(|next| complete_from.next <= next)
    }

    /// Moves on to a position all of whose changes have been applied. One of an earlier era says
    /// nothing of the present end of the topic.
    pub fn advance(&mut self, to: Self) {
        if to.era < self.era {
            return;
        }
        self.next = if to.era > self.era {
            to.next
        } else {
            self.next.max(to.next)
        };
        self.era = to.era;
        self.as_of = self.as_of.max(to.as_of);
    }
}
