use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::{Era, Holder};

/// Number of requests in a window by account, as committed for a usage report.
pub type Totals = BTreeMap<Arc<str>, u64>;

/// Totals of a window as a holder committed them to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Era of the record.
    pub era: Era,
    /// The totals.
    pub totals: Totals,
}

/// A record in the topic of duties, with the era that its sender knew.
///
/// A record counts only in its own era. One that a restored store still has may have been followed
/// by others that it has lost, and one that takes effect late may follow records of the new era.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DutyEntry {
    /// Latest era that the sender knew; none in the records of earlier releases, which always count.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// The record.
    #[serde(flatten)]
    pub record: DutyRecord,
}

/// The content of a record in the topic of duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum DutyRecord {
    /// A node acquires the lease; the era and the offset of the record become the fence.
    Take {
        /// Name of the node.
        node: Arc<str>,
        /// Wall time of the node's start.
        incarnation: u64,
        /// Number of the record among those of the node.
        number: u64,
        /// Wall time of the latest restore of the store, or a later one: totals that were committed
        /// before may be lost. Zero if none is known.
        #[serde(default)]
        lost_before: Millis,
    },
    /// The holder renews the lease.
    Renew {
        /// Fence of the holder.
        fence: u64,
        /// Number of the record among those of the node.
        number: u64,
    },
    /// The holder releases the lease.
    Release {
        /// Fence of the holder.
        fence: u64,
    },
    /// The holder commits the totals that it reports for a window.
    Usage {
        /// Fence of the holder.
        fence: u64,
        /// Number of the window.
        window: u64,
        /// Totals of the window.
        counts: Totals,
        /// Number of the record among those of the node.
        number: u64,
    },
}

/// How long a lease is valid, and when it may be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time for which the holder may act, from the moment at which it sent its latest renewal.
    pub valid_for: Millis,
    /// Time without records of the holder after which another node takes the lease over. It exceeds
    /// the sum of `valid_for` and the longest call that a duty makes.
    pub takeover_after: Millis,
}

/// The latest acquisition of the lease.
#[derive(Clone, Debug)]
struct Tenure {
    /// Name of the holder; empty if it is not known.
    node: Arc<str>,
    incarnation: u64,
    fence: u64,
    released: bool,
    /// When the latest record of the holder was read.
    last_read: Millis,
}

/// The lease of the duties, as a node reads it from the topic.
///
/// A record is appended only at the end of the topic that the node has read up to, so that a node
/// that appends has read all earlier records. A node that takes the lease over first waits until
/// the previous holder must have stopped acting; each node measures the time on its own steady
/// clock.
///
/// A restored store may have lost the records of the latest holder, so that each node waits as long
/// from when it noticed the restore: whatever the holder sent before the restore lets it act for
/// `valid_for`, and what it sends afterwards does not count. The holder itself need not wait if it
/// notices the restore before another node can have taken the lease over.
#[derive(Debug)]
pub struct Lease {
    node: Arc<str>,
    incarnation: u64,
    terms: Terms,
    /// Latest era that is known.
    era: Era,
    /// Offset of the next record to read.
    next: u64,
    tenure: Option<Tenure>,
    /// When the latest record of this node that is known to be stored was sent.
    renewed_at: Option<Millis>,
    /// Number of the next record of this node.
    next_number: u64,
    /// When the latest records of this node were sent, by number.
    sent_at: BTreeMap<u64, Millis>,
    /// Committed totals, by window.
    totals: BTreeMap<u64, Committed>,
    /// As in the records that acquire the lease; none until one has been read in this era.
    lost_before: Option<Millis>,
    /// As `lost_before`, for this node, which knows the totals of its own tenure.
    unknown_before: Option<Millis>,
    /// When the node first heard from the store, or noticed the latest restore.
    waits_since: Millis,
    /// Whether a restore has been noticed.
    restored: bool,
    /// Whether this node held the lease when it noticed the latest restore, and no other node can
    /// have taken it over before.
    resumes: bool,
    /// Whether the topic has been read to its end.
    caught_up: bool,
}

/// Number of bits of a fence that hold the offset; the era is above them. A fence is exact as a JSON
/// number for 2^21 restores.
const OFFSET_BITS: u32 = 32;

/// Returns the fence of a record that acquires the lease. It rises also when the store gives offsets
/// out again.
fn fence(era: Era, offset: u64) -> u64 {
    (era.0 << OFFSET_BITS) + offset
}

/// Maximum number of this node's records whose send times are remembered until they are read back.
/// Records are sent one at a time.
const MAX_SENT: usize = 64;

/// Maximum number of windows whose committed totals are remembered.
const MAX_WINDOWS: usize = 16;

/// Reading.
impl Lease {
    /// Creates the lease of a node that has not read the topic yet.
    #[must_use]
    pub fn new(node: Arc<str>, incarnation: u64, terms: Terms, now: Millis) -> Self {
        Self {
            node,
            incarnation,
            terms,
            era: Era::default(),
            next: 0,
            tenure: None,
            renewed_at: None,
            next_number: 0,
            sent_at: BTreeMap::new(),
            totals: BTreeMap::new(),
            lost_before: None,
            unknown_before: None,
            waits_since: now,
            restored: false,
            resumes: false,
            caught_up: false,
        }
    }

    /// Returns the latest era that is known.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records the era of the first response of the store. Restores before that went unnoticed.
    pub fn begin(&mut self, era: Era, now: Millis) {
        self.era = era;
        self.waits_since = now;
    }

    /// Records that the store has been restored, as was noticed at this wall time: the topic has to be
    /// read again.
    pub fn restart(&mut self, era: Era, now: Millis, wall: Millis) {
        let confirmed = self.renewed_at;
        let confirmed = confirmed.filter(|_| self.is_held() || self.resumes);
        self.resumes = confirmed.is_some_and(|at| now < at + self.terms.takeover_after);
        self.lost_before = Some(wall);
        self.unknown_before = if self.resumes {
            Some(self.unknown_before.unwrap_or_default())
        } else {
            Some(wall)
        };
        self.era = era;
        self.next = 0;
        self.tenure = None;
        self.waits_since = now;
        self.restored = true;
        self.caught_up = false;
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Continues at a later offset, because earlier records are no longer retained or not readable.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Records that the topic has been read to its end.
    pub fn mark_caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Applies a record that was read from the topic.
    pub fn apply(&mut self, offset: u64, entry: DutyEntry, now: Millis) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        let era = entry.era.unwrap_or_default();
        if entry.era.is_some() && era != self.era {
            return;
        }
        match entry.record {
            DutyRecord::Take {
                node,
                incarnation,
                number,
                lost_before,
            } => {
                let earliest =
                    |known: Option<Millis>| known.map_or(lost_before, |k| k.min(lost_before));
                self.lost_before = Some(earliest(self.lost_before));
                self.unknown_before = Some(earliest(self.unknown_before));
                let fence = fence(era, offset);
                self.tenure = Some(Tenure {
                    node,
                    incarnation,
                    fence,
                    released: false,
                    last_read: now,
                });
                self.renewed_at = None;
                self.resumes = false;
                self.confirm(fence, number);
            }
            DutyRecord::Renew { fence, number } => {
                self.extend(fence, false, now);
                self.confirm(fence, number);
            }
            DutyRecord::Release { fence } => self.extend(fence, true, now),
            DutyRecord::Usage {
                fence,
                window,
                counts,
                number,
            } => {
                self.extend(fence, false, now);
                self.confirm(fence, number);
                let committed = Committed {
                    era,
                    totals: counts,
                };
                self.learn_totals([(window, committed)]);
            }
        }
    }

    /// Records committed totals. Of one era, the first ones of a window are kept. Those of a later era
    /// replace them: a holder commits a window again only if earlier totals can't have been reported.
    pub fn learn_totals<I>(&mut self, totals: I)
    where
        I: IntoIterator<Item = (u64, Committed)>,
    {
        for (window, committed) in totals {
            let known = self.totals.get(&window);
            if known.is_none_or(|known| known.era < committed.era) {
                self.totals.insert(window, committed);
            }
        }
        while self.totals.len() > MAX_WINDOWS {
            self.totals.pop_first();
        }
    }

    /// Confirms a record that was read back. If this node holds the lease with this fence, the record
    /// is its own, and the lease counts as renewed at the time at which the record was sent.
    fn confirm(&mut self, fence: u64, number: u64) {
        let current = self
            .tenure
            .as_ref()
            .is_some_and(|tenure| tenure.fence == fence);
        if current && self.is_held() {
            self.renewed_at = self.renewed_at.max(self.sent_at.get(&number).copied());
        }
    }

    /// Extends, or ends, the tenure with this fence.
    ///
    /// If the record that began it has expired, it is the tenure of an unknown node.
    fn extend(&mut self, fence: u64, released: bool, now: Millis) {
        let tenure = self.tenure.get_or_insert_with(|| Tenure {
            node: "".into(),
            incarnation: 0,
            fence,
            released: false,
            last_read: now,
        });
        if tenure.fence != fence {
            return;
        }
        tenure.last_read = now;
        tenure.released |= released;
        if released {
            self.renewed_at = None;
        }
    }
}

/// Decisions.
impl Lease {
    /// Returns the number of a record that this node sends now.
    ///
    /// Once the record has been read back, the node may act for a time counted from now. Only then
    /// is it known whether an append whose response was lost took effect.
    pub fn begin_append(&mut self, now: Millis) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.sent_at.insert(number, now);
        while self.sent_at.len() > MAX_SENT {
            self.sent_at.pop_first();
        }
        number
    }

    /// Returns whether this node holds the lease according to the latest record.
    ///
    /// The lease may have run out in the meantime; see [`Lease::valid_holder`].
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.tenure.as_ref().is_some_and(|tenure| {
            tenure.node == self.node && tenure.incarnation == self.incarnation && !tenure.released
        })
    }

    /// Returns this node as the holder, while its lease is valid.
    #[must_use]
    pub fn valid_holder(&self, now: Millis) -> Option<Holder> {
        let renewed_at = self.renewed_at?;
        if !self.is_held() || now >= renewed_at + self.terms.valid_for {
            return None;
        }
        self.tenure.as_ref().map(|tenure| Holder {
            node: Arc::clone(&tenure.node),
            fence: tenure.fence,
        })
    }

    /// Returns whether this node may take the lease.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        match &self.tenure {
            Some(tenure) if tenure.released => true,
            Some(tenure) => !self.is_held() && tenure.last_read + self.terms.takeover_after <= now,
            // No record has ever been written.
            None if self.next == 0 && !self.restored => self.caught_up,
            None if self.resumes => self.caught_up,
            // Earlier records may have expired while no node wrote any, or were lost with a restore.
            None => self.waits_since + self.terms.takeover_after <= now,
        }
    }

    /// Returns whether this node held the lease when it noticed the latest restore, and may take it
    /// again without waiting.
    #[must_use]
    pub fn resumes(&self) -> bool {
        self.resumes
    }

    /// Returns the name and fence of the holder according to the latest record.
    #[must_use]
    pub fn holder(&self) -> Option<(Arc<str>, u64)> {
        self.tenure
            .as_ref()
            .map(|tenure| (Arc::clone(&tenure.node), tenure.fence))
    }

    /// Returns the value of `lost_before` for a record that acquires the lease now.
    #[must_use]
    pub fn lost_before(&self, wall: Millis) -> Millis {
        // A topic without a record that acquires the lease may have lost it with a restore.
        let unknown = if self.next == 0 { Millis::ZERO } else { wall };
        self.lost_before.unwrap_or(unknown)
    }

    /// Returns whether totals may have been committed for a window that this node does not know: they
    /// would have been committed at this wall time, and the store has been restored since.
    #[must_use]
    pub fn has_unknown_totals(&self, window: u64, committed_at: Millis) -> bool {
        let unknown_before = self.unknown_before.unwrap_or_default();
        !self.totals.contains_key(&window) && committed_at <= unknown_before
    }

    /// Returns the committed totals of the latest windows, if this node holds the lease.
    #[must_use]
    pub fn own_totals(&self) -> Vec<(u64, Committed)> {
        if !self.is_held() {
            return Vec::new();
        }
        let totals = self.totals.iter();
        totals
            .map(|(window, committed)| (*window, committed.clone()))
            .collect()
    }

    /// Returns the totals that were committed for a window.
    #[must_use]
    pub fn totals(&self, window: u64) -> Option<&Totals> {
        self.totals.get(&window).map(|committed| &committed.totals)
    }
}
