/// Low bits of the time that are stored.
const TIME_BITS: u32 = 16;

/// An entry of an eviction queue: the fingerprint of a block and the low bits of the time at which
/// it was used.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry(u64);

impl Entry {
    /// Creates an entry from a fingerprint of at most 48 bits and a time in deciseconds.
    pub(super) fn new(fingerprint: u64, time: u32) -> Self {
        Self(fingerprint << TIME_BITS | u64::from(time as u16))
    }

    /// Returns the fingerprint of the block.
    pub(super) fn block(self) -> u64 {
        self.0 >> TIME_BITS
    }

    /// Returns whether the block was used after the entry was queued; `time` is its last use.
    ///
    /// Times never decrease, so that a different time is a later one. A use that is a multiple of
    /// 109 minutes later is missed, and the block is evicted as if it had not been used.
    pub(super) fn used_since(self, time: u32) -> bool {
        self.0 as u16 != time as u16
    }
}
