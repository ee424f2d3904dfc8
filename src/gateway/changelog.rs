use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::clock::Millis;

use super::Era;

/// Maximum size of the entries that are passed on at once, in bytes; a message between nodes may have
/// 8 MiB. Entries usually have about 250 bytes, but those of other writers may be large.
const MAX_CHANGE_BYTES: usize = 2 * 1024 * 1024;

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

/// The latest changes of the endpoints' entries, for nodes that do not read the store themselves.
#[derive(Debug, Default)]
pub struct Changelog {
    version: u64,
    entries: HashMap<Arc<str>, (u64, EntryState)>,
}

impl Changelog {
    /// Records the state of an entry; a state that is already known is not a change.
    pub fn record(&mut self, id: &str, state: EntryState) {
        if self
            .entries
            .get(id)
            .is_some_and(|(_, known)| *known == state)
        {
            return;
        }
        self.version += 1;
        self.entries.insert(id.into(), (self.version, state));
    }

    /// Returns up to `limit` changes after `version`, oldest first, with the version that they lead
    /// to and whether these are all changes. There are fewer if the entries are large.
    #[must_use]
    pub fn changes_since(
        &self,
        version: u64,
        limit: usize,
    ) -> (u64, Vec<(Arc<str>, EntryState)>, bool) {
        let changes = self.entries.iter().filter(|(_, (at, _))| *at > version);
        let mut changes: Vec<_> = changes.collect();
        changes.sort_unstable_by_key(|(_, (at, _))| *at);
        let count = count_within(&changes, limit);
        let complete = changes.len() <= count;
        changes.truncate(count);
        let last = changes.last().map_or(version, |(_, (at, _))| *at);
        let until = if complete { self.version } else { last };
        let changes = changes.into_iter();
        let changes = changes.map(|(id, (_, state))| (Arc::clone(id), state.clone()));
        (until, changes.collect(), complete)
    }

    /// Drops absent entries for which `keep` returns false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.entries
            .retain(|id, (_, state)| matches!(state, EntryState::Present(_)) || keep(id));
    }
}

/// Returns how many of the changes are passed on at once: at least one, so that the others follow.
fn count_within(changes: &[(&Arc<str>, &(u64, EntryState))], limit: usize) -> usize {
    let mut bytes = 0;
    let within = changes.iter().take(limit).take_while(|(_, (_, state))| {
        if let EntryState::Present(document) = state {
            bytes += document.len();
        }
        bytes <= MAX_CHANGE_BYTES
    });
    within.count().max(1)
}
