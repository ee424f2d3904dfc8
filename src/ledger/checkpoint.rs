use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::log::{Offset, writer};

use super::{Entry, Key, Projection};

/// Entries in one part, which bounds the size of a record.
const PART_ENTRIES: usize = 512;

/// Stored response bytes in one part, after which the next part begins.
const PART_BYTES: usize = 128 * 1024;

/// One of the records that together hold the state as of an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The state includes the records before this offset.
    pub through: Offset,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Keys made at or before this time are forgotten.
    pub horizon: Millis,
    /// Number of streams that keys are spread over, if it is set in this stream.
    pub layout: Option<u32>,
    /// For each writer its highest applied sequence number and latest time; in part 0 only.
    pub writers: Vec<(u64, u64, Millis)>,
    /// Entries in key order.
    pub entries: Vec<(Key, Entry)>,
}

impl Part {
    /// Splits the state of a fold into parts.
    #[must_use]
    pub fn split(fold: &Projection) -> Vec<Self> {
        let mut groups: Vec<Vec<(Key, Entry)>> = vec![Vec::new()];
        let mut bytes = 0;
        for (key, entry) in fold.entries() {
            let last = groups.last().map_or(0, Vec::len);
            if last >= PART_ENTRIES || bytes >= PART_BYTES {
                groups.push(Vec::new());
                bytes = 0;
            }
            bytes += entry.size();
            if let Some(group) = groups.last_mut() {
                group.push((*key, entry.clone()));
            }
        }
        let parts = u32::try_from(groups.len()).unwrap_or(u32::MAX);
        (0..)
            .zip(groups)
            .map(|(part, entries)| Self {
                through: fold.next_offset(),
                part,
                parts,
                horizon: fold.horizon(),
                layout: fold.layout(),
                writers: if part == 0 {
                    fold.writers().collect()
                } else {
                    Vec::new()
                },
                entries,
            })
            .collect()
    }
}

/// Checkpoints whose parts are collected at the same time.
const MAX_COLLECTED: usize = 4;

/// Collects the parts of checkpoints that a reader without state passes.
#[derive(Debug, Default)]
pub struct Assembler {
    checkpoints: BTreeMap<(Offset, u64), BTreeMap<u32, Part>>,
}

impl Assembler {
    /// Adds a part; returns the state once all parts of one checkpoint are there.
    ///
    /// Only the newest few checkpoints are collected, which bounds the memory.
    pub fn add(&mut self, writer: writer::Key, part: Part) -> Option<Projection> {
        let id = (part.through, writer.incarnation);
        let wanted = part.parts as usize;
        let parts = self.checkpoints.entry(id).or_default();
        parts.insert(part.part, part);
        if parts.len() == wanted {
            let parts = self.checkpoints.remove(&id)?;
            return Some(Projection::restore(parts.into_values()));
        }
        if self.checkpoints.len() > MAX_COLLECTED {
            self.checkpoints.pop_first();
        }
        None
    }
}
