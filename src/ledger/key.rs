use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;

/// Maximum time by which a key may be ahead of the clock of the node that accepts it.
pub const MAX_KEY_LEAD: Millis = Millis::from_secs(30);

/// An idempotency key: a UUIDv7, which contains the time at which the caller created it.
///
/// Keys are ordered by that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(Uuid);

impl Key {
    /// Parses a UUIDv7; returns `None` for other versions, which contain no such time.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let id = Uuid::try_parse(text).ok()?;
        (id.get_version_num() == 7).then_some(Self(id))
    }

    /// Creates a key from a time and a random number of which the upper 62 bits are used.
    #[must_use]
    pub fn new(time: Millis, random: u64) -> Self {
        let high = (u128::from(time.0 & 0xffff_ffff_ffff) << 80) | (7 << 76) | (2 << 62);
        Self(Uuid::from_u128(high | u128::from(random >> 2)))
    }

    /// Returns the time at which the caller created the key.
    #[must_use]
    pub fn time(self) -> Millis {
        Millis(u64::try_from(self.0.as_u128() >> 80).unwrap_or(u64::MAX))
    }

    /// Returns the shard, below `shards`, whose stream holds the key's records.
    #[must_use]
    pub fn shard(self, shards: u32) -> u32 {
        u32::try_from(self.hash(0) % u64::from(shards.max(1))).unwrap_or(0)
    }

    /// Hashes the key with a seed.
    #[must_use]
    pub fn hash(self, seed: u64) -> u64 {
        xxh3_64(self.0.as_bytes()) ^ xxh3_64(&seed.to_be_bytes())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
