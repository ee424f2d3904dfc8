use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::log::{Offset, writer};

use super::{Entry, Key, Projection};

/// Maximum number of entries in one part, which bounds the size of a record.
const MAX_PART_ENTRIES: usize = 512;

/// Size of the stored bodies in a part, in bytes, from which on the next part begins.
const PART_SPLIT_BYTES: usize = 128 * 1024;

/// One of the records that together hold the state up to an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The state includes the records before this offset.
    pub through: Offset,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Keys created at or before this time are forgotten.
    pub horizon: Millis,
    /// Number of shards, if it is set in this stream.
    pub layout: Option<u32>,
    /// Incarnation, highest applied sequence number and latest time of each writer; in part 0
    /// only.
    pub writers: Vec<(u64, u64, Millis)>,
    /// Entries in key order.
    pub entries: Vec<(Key, Entry)>,
}

impl Part {
    /// Splits a state into parts.
    #[must_use]
    pub fn split(projection: &Projection) -> Vec<Self> {
        let mut groups: Vec<Vec<(Key, Entry)>> = vec![Vec::new()];
        let mut bytes = 0;
        for (key, entry) in projection.entries() {
            let last = groups.last().map_or(0, Vec::len);
            if last >= MAX_PART_ENTRIES || bytes >= PART_SPLIT_BYTES {
                groups.push(Vec::new());
                bytes = 0;
            }
            bytes += entry.body_bytes();
            if let Some(group) = groups.last_mut() {
                group.push((*key, entry.clone()));
            }
        }
        let parts = u32::try_from(groups.len()).unwrap_or(u32::MAX);
        (0..)
            .zip(groups)
            .map(|(part, entries)| Self {
                through: projection.next_offset(),
                part,
                parts,
                horizon: projection.horizon(),
                layout: projection.layout(),
                writers: if part == 0 {
                    projection.writers().collect()
                } else {
                    Vec::new()
                },
                entries,
            })
            .collect()
    }
}

/// Maximum number of incomplete checkpoints whose parts are kept.
const MAX_INCOMPLETE_CHECKPOINTS: usize = 4;

/// Assembles a state from the checkpoint parts that a reader without state encounters.
#[derive(Debug, Default)]
pub struct Assembler {
    checkpoints: BTreeMap<(Offset, u64), BTreeMap<u32, Part>>,
}

impl Assembler {
    /// Adds a part, and returns the state once all parts of one checkpoint are present.
    ///
    /// Only the newest few incomplete checkpoints are kept, which bounds the memory.
    pub fn add(&mut self, writer: writer::Key, part: Part) -> Option<Projection> {
        let id = (part.through, writer.incarnation);
        let expected = part.parts as usize;
        let parts = self.checkpoints.entry(id).or_default();
        parts.insert(part.part, part);
        if parts.len() == expected {
            let parts = self.checkpoints.remove(&id)?;
            return Some(Projection::restore(parts.into_values()));
        }
        if self.checkpoints.len() > MAX_INCOMPLETE_CHECKPOINTS {
            self.checkpoints.pop_first();
        }
        None
    }
}
