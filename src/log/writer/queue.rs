use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;

use super::{Encode, Key};

/// Records that are appended together, in this order and without others between them.
#[derive(Debug)]
pub struct Group<R, W> {
    records: Vec<Item<R>>,
    waiter: Option<W>,
}

#[derive(Debug)]
struct Item<R> {
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
    /// Adds a record that is dropped when its append fails.
    #[must_use]
    pub fn once(mut self, record: R) -> Self {
        let durable = false;
        self.records.push(Item { record, durable });
        self
    }

    /// Adds a record that is appended again, under a new number, until an append succeeds.
    ///
    /// Its effect must not depend on how often it is appended.
    #[must_use]
    pub fn durable(mut self, record: R) -> Self {
        let durable = true;
        self.records.push(Item { record, durable });
        self
    }

    /// Sets who waits for the outcome of the last record.
    #[must_use]
    pub fn waiter(mut self, waiter: W) -> Self {
        self.waiter = Some(waiter);
        self
    }
}

/// The records of one append.
#[derive(Debug)]
pub struct Batch<R, W> {
    /// Texts to append.
    pub texts: Vec<Arc<str>>,
    first: u64,
    groups: Vec<Group<R, W>>,
}

/// Records of one writer on their way into one stream.
///
/// Sequence numbers are given in the order of the appends. A waiter that is dropped learns that its
/// record never has an effect. The queue and the table of awaited
/// records are bounded.
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
    /// Creates a queue for `limit` records and as many awaited ones.
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

    /// Returns whether no record waits to be appended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns the number of records that wait to be appended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Adds a group; gives it back when the queue is full.
    ///
    /// # Errors
    ///
    /// Fails when the queue or the table of awaited records is full.
    pub fn submit(&mut self, group: Group<R, W>) -> Result<(), Group<R, W>> {
        let full = self.queued + group.records.len() > self.limit;
        if full || (group.waiter.is_some() && self.awaited.len() >= self.limit) {
            return Err(group);
        }
        self.submit_unbounded(group);
        Ok(())
    }

    /// Adds a group that ends a call; their number is bounded by that of the calls.
    pub fn submit_unbounded(&mut self, group: Group<R, W>) {
        self.queued += group.records.len();
        self.groups.push_back(group);
    }

    /// Takes whole groups for the next append, up to a number of records or bytes.
    pub fn take_batch(&mut self, at: Millis, records: usize, bytes: usize) -> Option<Batch<R, W>> {
        let mut batch = Batch {
            texts: Vec::new(),
            first: self.sequence + 1,
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
            if batch.texts.len() >= records || size >= bytes {
                break;
            }
        }
        (!batch.texts.is_empty()).then_some(batch)
    }

    /// Puts the durable records of a failed append back to the front.
    ///
    /// The failed append may still take effect; its waiters go on waiting for that.
    pub fn append_failed(&mut self, batch: Batch<R, W>) {
        for mut group in batch.groups.into_iter().rev() {
            group.records.retain(|item| item.durable);
            if !group.records.is_empty() {
                self.queued += group.records.len();
                self.groups.push_front(group);
            }
        }
    }

    /// Takes back a batch whose append certainly has no effect; its waiters are dropped.
    pub fn append_rejected(&mut self, batch: Batch<R, W>) {
        for sequence in batch.first..=self.sequence {
            self.awaited.remove(&sequence);
        }
        self.append_failed(batch);
    }

    /// Notes that one's own record was read from the stream, and returns who waits for it.
    ///
    /// The waiters of earlier records are dropped, since those records never have an effect.
    pub fn confirm(&mut self, sequence: u64) -> Option<W> {
        self.awaited = self.awaited.split_off(&sequence);
        self.awaited.remove(&sequence)
    }
}
