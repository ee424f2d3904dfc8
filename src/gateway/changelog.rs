use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::clock::Millis;

/// How far a topic was read, by this node or by another one that passed on what it read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Offset of the next record; none before the topic was read.
    pub next: Option<u64>,
    /// When everything before `next` was all there was.
    pub current: Option<Millis>,
}

impl Position {
    /// Returns how old the knowledge is.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.current.map(|at| now - at)
    }

    /// Takes over the position of another node whose news were all taken in.
    pub fn follow(&mut self, next: u64, current: Millis) {
        if self.next.is_none_or(|own| own <= next) {
            self.next = Some(next);
        }
        self.current = self.current.max(Some(current));
    }
}

/// What became of the entry of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The endpoint states this about itself.
    Present(Bytes),
    /// The entry was removed.
    Removed,
    /// The entry is missing and may have lapsed while the store was away.
    Missing,
}

/// The changes of the endpoints' entries, for nodes that do not read the store themselves.
#[derive(Debug, Default)]
pub struct Changelog {
    version: u64,
    entries: HashMap<Arc<str>, (u64, EntryState)>,
}

impl Changelog {
    /// Notes what became of an entry; a fate that is known already is no change.
    pub fn note(&mut self, id: &str, fate: EntryState) {
        if self
            .entries
            .get(id)
            .is_some_and(|(_, known)| *known == fate)
        {
            return;
        }
        self.version += 1;
        self.entries.insert(id.into(), (self.version, fate));
    }

    /// Returns the oldest changes after `version`, at most so many, the version that they lead to, and
    /// whether these are all.
    #[must_use]
    pub fn since(&self, version: u64, most: usize) -> (u64, Vec<(Arc<str>, EntryState)>, bool) {
        let changes = self.entries.iter().filter(|(_, (at, _))| *at > version);
        let mut changes: Vec<_> = changes.collect();
        changes.sort_unstable_by_key(|(_, (at, _))| *at);
        let complete = changes.len() <= most;
        changes.truncate(most);
        let last = changes.last().map_or(version, |(_, (at, _))| *at);
        let until = if complete { self.version } else { last };
        let changes = changes.into_iter();
        let changes = changes.map(|(id, (_, fate))| (Arc::clone(id), fate.clone()));
        (until, changes.collect(), complete)
    }

    /// Forgets entries for which `keep` is false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.entries
            .retain(|id, (_, fate)| matches!(fate, EntryState::Present(_)) || keep(id));
    }
}
