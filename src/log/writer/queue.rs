use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;

use super::{Encode, Key};

/// Records that are appended together, in this order and without other records in between.
#[derive(Debug)]
pub struct Group<R, W> {
    records: Vec<QueuedRecord<R>>,
    waiter: Option<W>,
}

#[derive(Debug)]
struct QueuedRecord<R> {
    record: R,
    durable: bool,
}

impl<R, W> Default for Group<R, W> {
    fn default() -> Self {
        Self {
            records: Vec::new(),
            waiter: None,
        }
    }
}

impl<R, W> Group<R, W> {
    /// Adds a record that is dropped if its append fails.
    #[must_use]
    pub fn once(mut self, record: R) -> Self {
        let durable = false;
        self.records.push(QueuedRecord { record, durable });
        self
    }

    /// Adds a record that is appended again, with a new sequence number, until an append succeeds.
    ///
    /// The record must be idempotent: it may take effect more than once.
    #[must_use]
    pub fn durable(mut self, record: R) -> Self {
        let durable = true;
        self.records.push(QueuedRecord { record, durable });
        self
    }

    /// Sets the waiter for the outcome of the last record.
    #[must_use]
    pub fn waiter(mut self, waiter: W) -> Self {
        self.waiter = Some(waiter);
        self
    }
}

/// The records of one append.
#[derive(Debug)]
pub struct Batch<R, W> {
    /// The encoded records.
    pub texts: Vec<Arc<str>>,
    first_sequence: u64,
    groups: Vec<Group<R, W>>,
}

/// The records of one writer that are queued for a stream or whose outcome is awaited.
///
/// Records get sequence numbers in the order in which they are appended. A waiter that is
/// dropped without an outcome signals that its record never takes effect. The queue and the table
/// of awaited records are bounded.
#[derive(Debug)]
pub struct Queue<R, W> {
    incarnation: u64,
    sequence: u64,
    limit: usize,
    queued: usize,
    groups: VecDeque<Group<R, W>>,
    awaited: BTreeMap<u64, W>,
}

impl<R, W> Queue<R, W>
where
    R: Encode,
{
    /// Creates a queue of at most `limit` records, with at most as many awaited ones.
    #[must_use]
    pub fn new(incarnation: u64, limit: usize) -> Self {
        Self {
            incarnation,
            sequence: 0,
            limit,
            queued: 0,
            groups: VecDeque::new(),
            awaited: BTreeMap::new(),
        }
    }

    /// Returns the writer's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether no record is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns the number of queued records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Adds a group.
    ///
    /// # Errors
    ///
    /// Returns the group if the queue or the table of awaited records is full.
    pub fn submit(&mut self, group: Group<R, W>) -> Result<(), Group<R, W>> {
        let full = self.queued + group.records.len() > self.limit;
        if full || (group.waiter.is_some() && self.awaited.len() >= self.limit) {
            return Err(group);
        }
        self.submit_unbounded(group);
        Ok(())
    }

    /// Adds a group even if the queue is full; only for groups that finish a call, whose number is
    /// bounded by that of the calls.
    pub fn submit_unbounded(&mut self, group: Group<R, W>) {
        self.queued += group.records.len();
        self.groups.push_back(group);
    }

    /// Takes whole groups for the next append, until it has at least `max_records` records or
    /// `max_bytes` bytes; `at` is the wall time.
    pub fn take_batch(
        &mut self,
        at: Millis,
        max_records: usize,
        max_bytes: usize,
    ) -> Option<Batch<R, W>> {
        let mut batch = Batch {
            texts: Vec::new(),
            first_sequence: self.sequence + 1,
            groups: Vec::new(),
        };
        let mut size = 0;
        while let Some(mut group) = self.groups.pop_front() {
            self.queued -= group.records.len();
            for item in &group.records {
                self.sequence += 1;
                let key = Key {
                    incarnation: self.incarnation,
                    sequence: self.sequence,
                };
                let text = item.record.encode(key, at);
                size += text.len();
                batch.texts.push(text);
            }
            if let Some(waiter) = group.waiter.take() {
                self.awaited.insert(self.sequence, waiter);
            }
            batch.groups.push(group);
            if batch.texts.len() >= max_records || size >= max_bytes {
                break;
            }
        }
        (!batch.texts.is_empty()).then_some(batch)
    }

    /// Puts the durable records of a failed append back at the front of the queue.
    ///
    /// The failed append may still take effect, so its waiters are kept.
    pub fn append_failed(&mut self, batch: Batch<R, W>) {
        for mut group in batch.groups.into_iter().rev() {
            group.records.retain(|item| item.durable);
            if !group.records.is_empty() {
                self.queued += group.records.len();
                self.groups.push_front(group);
            }
        }
    }

    /// Handles an append that certainly has no effect: drops its waiters and puts its durable
    /// records back at the front of the queue.
    pub fn append_rejected(&mut self, batch: Batch<R, W>) {
        for sequence in batch.first_sequence..=self.sequence {
            self.awaited.remove(&sequence);
        }
        self.append_failed(batch);
    }

    /// Handles a record of this writer that was read from the stream; returns the waiter for it.
    ///
    /// The waiters of earlier records are dropped, because those records never take effect.
    pub fn confirm(&mut self, sequence: u64) -> Option<W> {
        self.awaited = self.awaited.split_off(&sequence);
        self.awaited.remove(&sequence)
    }
}
