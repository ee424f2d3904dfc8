use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::clock::Millis;
use crate::log::{Offset, writer};

use super::{
    Action, Applied, Call, Digest, Effect, Entry, Key, MAX_KEY_LEAD, Outcome, Part,
    RETENTION_SLACK, Record, State,
};

/// Entries of one shard beyond which calls are no longer accepted.
///
/// At the measured 340 bytes an entry this is 45 MB.
pub const MAX_ENTRIES: usize = 131_072;

/// Stored response bytes of one shard beyond which the oldest responses are dropped.
pub const MAX_SHARD_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seen {
    sequence: u64,
    at: Millis,
}

/// State of a `calls-<shard>` stream up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Projection {
    next: Offset,
    horizon: Millis,
    layout: Option<u32>,
    entries: BTreeMap<Key, Entry>,
    /// Keys in the state `Accepted`.
    open: BTreeSet<Key>,
    /// Finished keys with a stored body.
    stored: BTreeSet<Key>,
    stored_bytes: usize,
    writers: HashMap<u64, Seen>,
}

/// Construction.
impl Projection {
    /// Starts without knowing the records before `next`.
    ///
    /// `horizon` must lie above the time of every key in the records that are not known, so that
    /// no record for such a key has an effect for this reader.
    #[must_use]
    pub fn starting_at(next: Offset, horizon: Millis) -> Self {
        Self {
            next,
            horizon,
            ..Self::default()
        }
    }

    /// Restores the state from all parts of a checkpoint.
    pub fn restore<P>(parts: P) -> Self
    where
        P: IntoIterator<Item = Part>,
    {
        let mut fold = Self::default();
        for part in parts {
            fold.next = part.through;
            fold.horizon = part.horizon;
            fold.layout = part.layout;
            for (incarnation, sequence, at) in part.writers {
                fold.writers.insert(incarnation, Seen { sequence, at });
            }
            for (key, entry) in part.entries {
                fold.insert(key, entry);
            }
        }
        fold
    }
}

/// Accessors.
impl Projection {
    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the time up to which keys are forgotten.
    #[must_use]
    pub fn horizon(&self) -> Millis {
        self.horizon
    }

    /// Returns the number of streams that keys are spread over, if it is set in this stream.
    #[must_use]
    pub fn layout(&self) -> Option<u32> {
        self.layout
    }

    /// Returns what is known about a key.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Returns all entries in key order.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the accepted calls that no node may send at present.
    pub fn dispatchable(&self) -> impl Iterator<Item = (Key, Digest, &Call)> {
        self.open.iter().filter_map(|key| {
            let entry = self.entries.get(key)?;
            match &entry.state {
                State::Accepted(order) => Some((*key, entry.digest, &**order)),
                _ => None,
            }
        })
    }

    /// Returns whether a key is accepted and no node may send it at present.
    #[must_use]
    pub fn is_dispatchable(&self, key: Key) -> bool {
        self.open.contains(&key)
    }

    /// Returns incarnation, highest sequence number and latest time of each writer.
    pub fn writers(&self) -> impl Iterator<Item = (u64, u64, Millis)> {
        let mut writers: Vec<_> = self
            .writers
            .iter()
            .map(|(incarnation, seen)| (*incarnation, seen.sequence, seen.at))
            .collect();
        writers.sort_unstable();
        writers.into_iter()
    }

    /// Returns the number of writers with a record at or after the wall time `since`.
    #[must_use]
    pub fn active_writers(&self, since: Millis) -> usize {
        self.writers.values().filter(|w| w.at >= since).count()
    }
}

/// Applying records.
impl Projection {
    /// Applies the record at `offset`; an offset that was applied before has no effect.
    pub fn apply(&mut self, offset: Offset, text: &str) -> Applied {
        let mut applied = Applied {
            writer: None,
            key: None,
            effect: Effect::Duplicate,
        };
        if offset < self.next {
            return applied;
        }
        self.next = offset.next();
        let Ok(record) = serde_json::from_str::<Record>(text) else {
            applied.effect = Effect::Unreadable;
            return applied;
        };
        applied.writer = Some(record.writer);
        applied.key = record.action.key();
        if self.admit(record.writer, record.at) {
            applied.effect = self.act(record.writer, record.at, record.action);
        }
        applied
    }

    /// Notes a writer's record; returns false for one that must have no effect.
    ///
    /// Sequence numbers of a writer only grow in the stream, so that one number per writer is
    /// enough, and an append that was given up has no effect once a later one was read.
    fn admit(&mut self, writer: writer::Key, at: Millis) -> bool {
        if let Some(seen) = self.writers.get_mut(&writer.incarnation) {
            seen.at = seen.at.max(at);
            if writer.sequence <= seen.sequence {
                return false;
            }
            seen.sequence = writer.sequence;
            return true;
        }
        let sequence = writer.sequence;
        self.writers
            .insert(writer.incarnation, Seen { sequence, at });
        true
    }

    fn act(&mut self, writer: writer::Key, at: Millis, action: Action) -> Effect {
        match action {
            Action::Accept {
                key,
                digest,
                order,
                horizon,
            } => match self.open_up(key, at, horizon) {
                Effect::Accepted => self.accept(key, digest, order),
                refused => refused,
            },
            Action::Dispatch { key, digest, .. } => self.dispatch(writer, key, digest),
            Action::Release { key, dispatch } => self.release(writer, key, dispatch),
            Action::Finish {
                key,
                dispatch,
                outcome,
            } => self.finish(writer, key, dispatch, outcome),
            Action::Void {
                key,
                digest,
                horizon,
            } => match self.open_up(key, at, horizon) {
                Effect::Accepted => self.void(key, digest),
                refused => refused,
            },
            Action::Layout { shards } if self.layout.is_none() => {
                self.layout = Some(shards);
                Effect::LayoutSet
            }
            Action::Layout { .. } => Effect::Rejected,
            Action::Checkpoint(_) => Effect::Checkpoint,
        }
    }

    /// Moves the horizon for a record that may make an entry, and checks the key against it.
    ///
    /// A writer whose clock is wrong by more than the window can't move the horizon, because its
    /// records fail the check against the time in their own key.
    fn open_up(&mut self, key: Key, at: Millis, horizon: Millis) -> Effect {
        if key.time() <= horizon || key.time() > at + MAX_KEY_LEAD {
            return Effect::Expired;
        }
        if horizon > self.horizon {
            self.horizon = horizon;
            self.forget();
        }
        if key.time() <= self.horizon {
            return Effect::Expired;
        }
        Effect::Accepted
    }

    fn accept(&mut self, key: Key, digest: Digest, order: Box<Call>) -> Effect {
        if self.entries.contains_key(&key) {
            return Effect::Rejected;
        }
        if self.entries.len() >= MAX_ENTRIES {
            return Effect::Full;
        }
        let state = State::Accepted(order);
        self.insert(key, Entry { digest, state });
        Effect::Accepted
    }

    fn dispatch(&mut self, writer: writer::Key, key: Key, digest: Digest) -> Effect {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Effect::Rejected;
        };
        match &entry.state {
            State::Accepted(order) if entry.digest == digest => {
                entry.state = State::Dispatching(writer, order.clone());
                self.open.remove(&key);
                Effect::Dispatched
            }
            _ => Effect::Rejected,
        }
    }

    fn release(&mut self, writer: writer::Key, key: Key, dispatch: u64) -> Effect {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Effect::Rejected;
        };
        match &entry.state {
            State::Dispatching(by, order) if by.is(writer.incarnation, dispatch) => {
                entry.state = State::Accepted(order.clone());
                self.open.insert(key);
                Effect::Released
            }
            _ => Effect::Rejected,
        }
    }

    fn finish(&mut self, writer: writer::Key, key: Key, dispatch: u64, outcome: Outcome) -> Effect {
        match self
            .entries
            .get(&key)
            .map(|entry| (entry.digest, &entry.state))
        {
            Some((digest, State::Dispatching(by, _))) if by.is(writer.incarnation, dispatch) => {
                let state = State::Finished(outcome);
                self.insert(key, Entry { digest, state });
                self.trim();
                Effect::Finished
            }
            _ => Effect::Rejected,
        }
    }

    fn void(&mut self, key: Key, digest: Digest) -> Effect {
        match self.entries.get(&key).map(|entry| &entry.state) {
            None if self.entries.len() >= MAX_ENTRIES => return Effect::Full,
            None | Some(State::Accepted(_)) => {}
            Some(_) => return Effect::Rejected,
        }
        self.open.remove(&key);
        let state = State::Void;
        self.insert(key, Entry { digest, state });
        Effect::Voided
    }
}

/// Bounds.
impl Projection {
    fn insert(&mut self, key: Key, entry: Entry) {
        match &entry.state {
            State::Accepted(_) => {
                self.open.insert(key);
            }
            State::Finished(outcome) if outcome.stored() > 0 => {
                self.stored_bytes += outcome.stored();
                self.stored.insert(key);
            }
            _ => {}
        }
        self.entries.insert(key, entry);
    }

    /// Drops what lies at or below the horizon.
    ///
    /// A writer is dropped when all keys in its records lie there, so that a late copy of such a
    /// record has no effect although the writer is no longer known.
    fn forget(&mut self) {
        while let Some(first) = self.entries.first_entry() {
            if first.key().time() > self.horizon {
                break;
            }
            let (key, entry) = first.remove_entry();
            self.open.remove(&key);
            if self.stored.remove(&key) {
                self.stored_bytes -= entry.stored();
            }
        }
        let horizon = self.horizon;
        self.writers
            .retain(|_, seen| seen.at + MAX_KEY_LEAD + RETENTION_SLACK > horizon);
    }

    /// Drops the oldest stored responses beyond the limit.
    fn trim(&mut self) {
        while self.stored_bytes > MAX_SHARD_RESPONSE_BYTES {
            let Some(key) = self.stored.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.stored_bytes -= entry.stored();
                entry.drop_response();
            }
        }
    }
}
