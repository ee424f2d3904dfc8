use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::clock::Millis;
use crate::log::{Offset, writer};

use super::{
    Action, Applied, Call, Digest, Effect, Entry, Key, MAX_KEY_LEAD, Outcome, Part,
    RETENTION_SLACK, Record, State,
};

/// Maximum number of entries of one shard; beyond it no calls are accepted.
///
/// At the measured 340 bytes per entry these take 45 MB.
pub const MAX_ENTRIES: usize = 131_072;

/// Maximum size of the stored responses of one shard in bytes; beyond it the oldest responses are
/// dropped.
pub const MAX_SHARD_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WriterState {
    /// Highest applied sequence number.
    sequence: u64,
    /// Latest wall time of a record.
    at: Millis,
}

/// State of a `calls-<shard>` stream up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Projection {
    next: Offset,
    horizon: Millis,
    layout: Option<u32>,
    entries: BTreeMap<Key, Entry>,
    /// Keys in state `Accepted`.
    dispatchable: BTreeSet<Key>,
    /// Finished keys with a stored response body.
    responses: BTreeSet<Key>,
    response_bytes: usize,
    /// State of each writer, by incarnation.
    writers: HashMap<u64, WriterState>,
}

/// Construction.
impl Projection {
    /// Creates a state without the records before `next`.
    ///
    /// `horizon` must be above the time of every key in the missing records, so that no later
    /// record for such a key has an effect for this reader.
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
        let mut projection = Self::default();
        for part in parts {
            projection.next = part.through;
            projection.horizon = part.horizon;
            projection.layout = part.layout;
            for (incarnation, sequence, at) in part.writers {
                projection
                    .writers
                    .insert(incarnation, WriterState { sequence, at });
            }
            for (key, entry) in part.entries {
                projection.insert(key, entry);
            }
        }
        projection
    }
}

/// Accessors.
impl Projection {
    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the horizon: keys created at or before this time are forgotten.
    #[must_use]
    pub fn horizon(&self) -> Millis {
        self.horizon
    }

    /// Returns the number of shards, if it is set in this stream.
    #[must_use]
    pub fn layout(&self) -> Option<u32> {
        self.layout
    }

    /// Returns the entry of a key.
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

    /// Returns the accepted calls for which no node holds the right to send at present.
    pub fn dispatchable(&self) -> impl Iterator<Item = (Key, Digest, &Call)> {
        self.dispatchable.iter().filter_map(|key| {
            let entry = self.entries.get(key)?;
            match &entry.state {
                State::Accepted(call) => Some((*key, entry.digest, &**call)),
                _ => None,
            }
        })
    }

    /// Returns whether a call is accepted and no node holds the right to send it at present.
    #[must_use]
    pub fn is_dispatchable(&self, key: Key) -> bool {
        self.dispatchable.contains(&key)
    }

    /// Returns the incarnation, highest applied sequence number and latest time of each writer, in
    /// order of the incarnation.
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
    /// Applies the record at `offset`; a record that was already applied has no effect.
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
        if self.admit_writer(record.writer, record.at) {
            applied.effect = self.apply_action(record.writer, record.at, record.action);
        }
        applied
    }

    /// Records the sequence number of a writer's record, and returns `false` if the record must
    /// have no effect.
    ///
    /// Applied sequence numbers of a writer only increase, so one number per writer suffices, and
    /// an append that its writer has abandoned has no effect once a later one was read.
    fn admit_writer(&mut self, writer: writer::Key, at: Millis) -> bool {
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
            .insert(writer.incarnation, WriterState { sequence, at });
        true
    }

    fn apply_action(&mut self, writer: writer::Key, at: Millis, action: Action) -> Effect {
        match action {
            Action::Accept {
                key,
                digest,
                call,
                horizon,
            } => match self.check_horizon(key, at, horizon) {
                Effect::Accepted => self.accept(key, digest, call),
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
            } => match self.check_horizon(key, at, horizon) {
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

    /// Advances the horizon for a record that may create an entry, and checks the key against it.
    ///
    /// A writer whose clock is wrong by more than the retry window can't advance the horizon,
    /// because its records fail the check against the time in their own key.
    fn check_horizon(&mut self, key: Key, at: Millis, horizon: Millis) -> Effect {
        if key.time() <= horizon || key.time() > at + MAX_KEY_LEAD {
            return Effect::Expired;
        }
        if horizon > self.horizon {
            self.horizon = horizon;
            self.expire();
        }
        if key.time() <= self.horizon {
            return Effect::Expired;
        }
        Effect::Accepted
    }

    fn accept(&mut self, key: Key, digest: Digest, call: Box<Call>) -> Effect {
        if self.entries.contains_key(&key) {
            return Effect::Rejected;
        }
        if self.entries.len() >= MAX_ENTRIES {
            return Effect::Full;
        }
        let state = State::Accepted(call);
        self.insert(key, Entry { digest, state });
        Effect::Accepted
    }

    fn dispatch(&mut self, writer: writer::Key, key: Key, digest: Digest) -> Effect {
        let Some(entry) = self.entries.get_mut(&key) else {
            return Effect::Rejected;
        };
        match &entry.state {
            State::Accepted(call) if entry.digest == digest => {
                entry.state = State::Dispatching(writer, call.clone());
                self.dispatchable.remove(&key);
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
            State::Dispatching(by, call) if by.is(writer.incarnation, dispatch) => {
                entry.state = State::Accepted(call.clone());
                self.dispatchable.insert(key);
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
                self.evict_responses();
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
        self.dispatchable.remove(&key);
        let state = State::Void;
        self.insert(key, Entry { digest, state });
        Effect::Voided
    }
}

/// Maintenance of the indexes and limits.
impl Projection {
    fn insert(&mut self, key: Key, entry: Entry) {
        match &entry.state {
            State::Accepted(_) => {
                self.dispatchable.insert(key);
            }
            State::Finished(outcome) if outcome.response_bytes() > 0 => {
                self.response_bytes += outcome.response_bytes();
                self.responses.insert(key);
            }
            _ => {}
        }
        self.entries.insert(key, entry);
    }

    /// Drops the entries at or below the horizon.
    ///
    /// A writer is dropped when all keys in its records are at or below the horizon, so that a
    /// late copy of such a record has no effect although the writer is no longer known.
    fn expire(&mut self) {
        while let Some(first) = self.entries.first_entry() {
            if first.key().time() > self.horizon {
                break;
            }
            let (key, entry) = first.remove_entry();
            self.dispatchable.remove(&key);
            if self.responses.remove(&key) {
                self.response_bytes -= entry.response_bytes();
            }
        }
        let horizon = self.horizon;
        self.writers
            .retain(|_, seen| seen.at + MAX_KEY_LEAD + RETENTION_SLACK > horizon);
    }

    /// Drops the oldest stored responses beyond the limit.
    fn evict_responses(&mut self) {
        while self.response_bytes > MAX_SHARD_RESPONSE_BYTES {
            let Some(key) = self.responses.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.response_bytes -= entry.response_bytes();
                entry.drop_response();
            }
        }
    }
}
