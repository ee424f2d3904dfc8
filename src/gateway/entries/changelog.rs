use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::Era;

use super::{Entry, EntryState, Position, Revision};

/// Maximum size of the entries that are passed on at once, in bytes; a message between nodes may have
/// 8 MiB. Entries usually have about 250 bytes, but those of other writers may be large.
const MAX_CHANGE_BYTES: usize = 2 * 1024 * 1024;

/// Time for which an absent entry is remembered.
const ABSENT_RETENTION: Millis = Millis::from_secs(60);

/// Maximum number of absent entries that are remembered; each takes about 100 bytes. Ten times the
/// endpoints of the largest deployment.
const MAX_ABSENT: usize = 6_000;

/// An entry with the version of the changelog at its latest change.
#[derive(Debug)]
struct Change {
    version: u64,
    entry: Entry,
    at: Millis,
}

/// Changes of entries, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Version that they lead to.
    pub until: u64,
    /// The changed entries by the endpoints' ids.
    pub entries: Vec<(Arc<str>, Entry)>,
    /// Whether these are all changes.
    pub is_complete: bool,
}

/// The latest known entry of each endpoint, and which of them changed after which version, for nodes
/// that do not read the store themselves.
#[derive(Debug, Default)]
pub struct Changelog {
    version: u64,
    changes: HashMap<Arc<str>, Change>,
    complete_from: Option<Revision>,
}

/// Updates.
impl Changelog {
    /// Returns whether an entry is news, to a node that has read the topic up to `position`.
    ///
    /// An endpoint of which nothing is known has no entry as of the position.
    #[must_use]
    pub fn is_news(&self, id: &str, entry: &Entry, position: &Position) -> bool {
        match self.changes.get(id) {
            Some(known) => entry.replaces(&known.entry),
            None => position.revision().is_none_or(|read| entry.revision > read),
        }
    }

    /// Returns whether the entry of an endpoint is known to be present; none if nothing is known.
    #[must_use]
    pub fn is_present(&self, id: &str) -> Option<bool> {
        let known = self.changes.get(id)?;
        Some(known.entry.state.is_present())
    }

    /// Returns whether an entry was removed before the store was restored to the era of a revision.
    ///
    /// The restored store may have the entry, which says nothing of the time since.
    #[must_use]
    pub fn is_removed_before(&self, id: &str, era: Era) -> bool {
        let known = self.changes.get(id).map(|change| &change.entry);
        known.is_some_and(|known| known.state == EntryState::Removed && known.revision.era < era)
    }

    /// Records a change of an entry.
    pub fn record(&mut self, id: &str, entry: Entry, now: Millis) {
        self.version += 1;
        let change = Change {
            version: self.version,
            entry,
            at: now,
        };
        self.changes.insert(id.into(), change);
    }

    /// Records a later revision of an entry that other nodes do not have to learn of, like a
    /// heartbeat.
    pub fn confirm(&mut self, id: &str, entry: Entry, now: Millis) {
        match self.changes.get_mut(id) {
            Some(known) if known.entry.state.is_present() == entry.state.is_present() => {
                known.entry = entry;
            }
            _ => self.record(id, entry, now),
        }
    }

    /// Notes that changes before this revision may be lacking, since the topic was not read record by
    /// record.
    pub fn restart_at(&mut self, revision: Revision) {
        self.complete_from = self.complete_from.max(Some(revision));
    }

    /// Forgets entries that have been absent for long, and the oldest ones of too many.
    pub fn prune(&mut self, now: Millis) {
        let changes = self.changes.iter();
        let absent = changes.filter(|(_, change)| !change.entry.state.is_present());
        let mut absent: Vec<_> = absent
            .map(|(id, change)| (change.at, change.entry.revision, Arc::clone(id)))
            .collect();
        absent.sort_unstable();
        let surplus = absent.len().saturating_sub(MAX_ABSENT);
        for (number, (at, revision, id)) in absent.into_iter().enumerate() {
            if number >= surplus && at + ABSENT_RETENTION > now {
                break;
            }
            self.changes.remove(&id);
            self.restart_at(revision);
        }
    }
}

/// Lookup.
impl Changelog {
    /// Returns the revision from which on all changes are recorded; none until the topic has been read.
    #[must_use]
    pub fn complete_from(&self) -> Option<Revision> {
        self.complete_from
    }

    /// Returns up to `limit` changes after `version`. There are fewer if the entries are large.
    #[must_use]
    pub fn changes_since(&self, version: u64, limit: usize) -> Changes {
        let changes = self.changes.iter();
        let mut changes: Vec<_> = changes
            .filter(|(_, change)| change.version > version)
            .collect();
        changes.sort_unstable_by_key(|(_, change)| change.version);
        let count = count_within(&changes, limit);
        let is_complete = changes.len() <= count;
        changes.truncate(count);
        let last = changes.last().map_or(version, |(_, change)| change.version);
        let entries = changes.into_iter();
        Changes {
            until: if is_complete { self.version } else { last },
            entries: entries
                .map(|(id, change)| (Arc::clone(id), change.entry.clone()))
                .collect(),
            is_complete,
        }
    }
}

/// Returns how many of the changes are passed on at once: at least one, so that the others follow.
fn count_within(changes: &[(&Arc<str>, &Change)], limit: usize) -> usize {
    let mut bytes = 0;
    let within = changes.iter().take(limit).take_while(|(_, change)| {
        if let EntryState::Present(document) = &change.entry.state {
            bytes += document.len();
        }
        bytes <= MAX_CHANGE_BYTES
    });
    within.count().max(1)
}
