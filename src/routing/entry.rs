/// Bits of the time that are kept.
const TIME_BITS: u32 = 16;

/// An entry of an eviction queue: the fingerprint of a block and the end of the time of its use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry(u64);

impl Entry {
    /// Creates an entry from a fingerprint of at most 48 bits and a time in tenths of a second.
    pub(super) fn new(fingerprint: u64, time: u32) -> Self {
        Self(fingerprint << TIME_BITS | u64::from(time as u16))
    }

    /// Returns the fingerprint.
    pub(super) fn block(self) -> u64 {
        self.0 >> TIME_BITS
    }

    /// Returns whether the block was used after the entry was queued, if `time` is its last use.
    ///
    /// Times never decrease, so that a different one is a later one. A use a multiple of 109
    /// minutes later looks like none, and the block is evicted as if it had not been used.
    pub(super) fn used_since(self, time: u32) -> bool {
        self.0 as u16 != time as u16
    }
}
