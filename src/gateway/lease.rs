use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::Holder;

/// Counts of requests by account, as they were fixed for a report.
pub type Totals = BTreeMap<Arc<str>, u64>;

/// A record in the topic of duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum DutyRecord {
    /// A node takes the lease; the record's offset is the fence.
    Take {
        /// Name of the node.
        node: Arc<str>,
        /// Wall time of the node's start.
        incarnation: u64,
        /// Number of the record among those of the node.
        number: u64,
    },
    /// The holder goes on holding the lease.
    Renew {
        /// Fence of the holder.
        fence: u64,
        /// Number of the record among those of the node.
        number: u64,
    },
    /// The holder gives the lease up.
    Release {
        /// Fence of the holder.
        fence: u64,
    },
    /// The holder fixes what it reports for a window.
    Usage {
        /// Fence of the holder.
        fence: u64,
        /// Number of the window.
        window: u64,
        /// Counts.
        counts: Totals,
        /// Number of the record among those of the node.
        number: u64,
    },
}

/// How long a lease is used and respected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time after the start of its last renewal for which the holder acts.
    pub valid_for: Millis,
    /// Time without news after which another node takes the lease: longer than `valid_for` and the
    /// longest call of a duty together.
    pub takeover_after: Millis,
}

#[derive(Clone, Debug)]
struct Known {
    node: Arc<str>,
    incarnation: u64,
    fence: u64,
    released: bool,
    heard: Millis,
}

/// The lease of the duties, as a node reads it from the topic.
///
/// Records are appended only where the topic ends, so that a node that appends has read everything
/// before. Whoever takes the lease waits until the former holder has stopped acting by its own
/// steady clock.
#[derive(Debug)]
pub struct Lease {
    node: Arc<str>,
    incarnation: u64,
    terms: Terms,
    /// Offset after the last record that was read.
    next: u64,
    known: Option<Known>,
    /// When the latest record of this node that is known to be stored was sent.
    renewed: Option<Millis>,
    /// Number of the next record of this node.
    number: u64,
    /// When the last records of this node were sent, by number.
    sent: BTreeMap<u64, Millis>,
    /// Counts that were fixed, by window.
    fixed: BTreeMap<u64, Totals>,
    started: Millis,
    /// Whether the topic was read to its end.
    read: bool,
}

/// Records of this node that may still be read: one is sent after the other.
const SENT: usize = 64;

/// Totals windows that are remembered.
const WINDOWS: usize = 16;

/// Reading.
impl Lease {
    /// Creates the lease of a node that knows nothing yet.
    #[must_use]
    pub fn new(node: Arc<str>, incarnation: u64, terms: Terms, now: Millis) -> Self {
        Self {
            node,
            incarnation,
            terms,
            next: 0,
            known: None,
            renewed: None,
            number: 0,
            sent: BTreeMap::new(),
            fixed: BTreeMap::new(),
            started: now,
            read: false,
        }
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Goes on at a later offset, because earlier records are not kept.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Notes that everything stored was read.
    pub fn at_end(&mut self) {
        self.read = true;
    }

    /// Takes in a record.
    pub fn read(&mut self, offset: u64, entry: DutyRecord, now: Millis) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        match entry {
            DutyRecord::Take {
                node,
                incarnation,
                number,
            } => {
                self.known = Some(Known {
                    node,
                    incarnation,
                    fence: offset,
                    released: false,
                    heard: now,
                });
                self.renewed = None;
                self.confirm(offset, number);
            }
            DutyRecord::Renew { fence, number } => {
                self.heard(fence, false, now);
                self.confirm(fence, number);
            }
            DutyRecord::Release { fence } => self.heard(fence, true, now),
            DutyRecord::Usage {
                fence,
                window,
                counts,
                number,
            } => {
                self.heard(fence, false, now);
                self.confirm(fence, number);
                self.fixed.entry(window).or_insert(counts);
                while self.fixed.len() > WINDOWS {
                    self.fixed.pop_first();
                }
            }
        }
    }

    /// Notes that a record was read; if this node holds the lease, it is the node's own.
    fn confirm(&mut self, fence: u64, number: u64) {
        let current = self
            .known
            .as_ref()
            .is_some_and(|known| known.fence == fence);
        if current && self.is_own() {
            self.renewed = self.renewed.max(self.sent.get(&number).copied());
        }
    }

    fn heard(&mut self, fence: u64, released: bool, now: Millis) {
        if let Some(known) = &mut self.known
            && known.fence == fence
        {
            known.heard = now;
            known.released |= released;
        }
    }
}

/// Decisions.
impl Lease {
    /// Returns the number of a record that this node sends now.
    ///
    /// The node may act for a while after this time once the record is read back: whether an append
    /// whose answer was lost took effect is known only then.
    pub fn send(&mut self, now: Millis) -> u64 {
        let number = self.number;
        self.number += 1;
        self.sent.insert(number, now);
        while self.sent.len() > SENT {
            self.sent.pop_first();
        }
        number
    }

    /// Returns whether this node holds the lease by the last record.
    #[must_use]
    pub fn is_own(&self) -> bool {
        self.known.as_ref().is_some_and(|known| {
            known.node == self.node && known.incarnation == self.incarnation && !known.released
        })
    }

    /// Returns the holder to act as, while this node may act.
    #[must_use]
    pub fn acting(&self, now: Millis) -> Option<Holder> {
        let renewed = self.renewed?;
        if !self.is_own() || now >= renewed + self.terms.valid_for {
            return None;
        }
        self.known.as_ref().map(|known| Holder {
            node: Arc::clone(&known.node),
            fence: known.fence,
        })
    }

    /// Returns whether the lease may be taken by this node.
    #[must_use]
    pub fn is_free(&self, now: Millis) -> bool {
        match &self.known {
            Some(known) if known.released => true,
            Some(known) => !self.is_own() && known.heard + self.terms.takeover_after <= now,
            // Nobody ever wrote.
            None if self.next == 0 => self.read,
            // Records may have expired while nobody wrote.
            None => self.started + self.terms.takeover_after <= now,
        }
    }

    /// Returns the fence and holder by the last record.
    #[must_use]
    pub fn holder(&self) -> Option<(Arc<str>, u64)> {
        self.known
            .as_ref()
            .map(|known| (Arc::clone(&known.node), known.fence))
    }

    /// Returns the counts that were fixed for a window.
    #[must_use]
    pub fn fixed(&self, window: u64) -> Option<&Totals> {
        self.fixed.get(&window)
    }
}
