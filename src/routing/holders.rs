/// Bits of a block's hash that are stored.
///
/// With the 614,400 blocks of 600 endpoints, an unknown block matches a stored one with a
/// probability of 614,400 / 2^48 = 2.2e-9. With 32 bits it would be 1.4e-4, and a lookup of a cold
/// prompt, which bisects over ten blocks or fewer, would be wrong once in 700 times.
const FINGERPRINT_BITS: u32 = 48;

const ENDPOINT_BITS: u32 = u64::BITS - FINGERPRINT_BITS;

const ENDPOINT_MASK: u64 = (1 << ENDPOINT_BITS) - 1;

/// Key of an empty bucket; no fingerprint is zero.
const EMPTY: u64 = 0;

/// Number of buckets of the smallest table.
const MIN_BUCKETS: usize = 64;

/// The endpoints that hold each block, with the time of the last use; 12 bytes per pair.
///
/// A hash table with open addressing and linear probing, with one bucket per pair of a block and an
/// endpoint. The pairs of one block have the same home bucket, so that they are close together and
/// need no list of their own. The table doubles at three quarters full and never shrinks.
#[derive(Debug, Default)]
pub(super) struct Holders {
    /// Fingerprint of the block and index of the endpoint, per bucket.
    keys: Vec<u64>,
    /// Time of the last use, per bucket.
    times: Vec<u32>,
    len: usize,
}

/// Returns the part of a block's hash that is stored.
pub(super) fn fingerprint(block: u64) -> u64 {
    (block >> ENDPOINT_BITS).max(1)
}

fn key(fingerprint: u64, endpoint: u16) -> u64 {
    fingerprint << ENDPOINT_BITS | u64::from(endpoint)
}

/// Lookups.
impl Holders {
    /// Returns whether any endpoint holds a block.
    pub(super) fn contains(&self, fingerprint: u64) -> bool {
        self.of(fingerprint).next().is_some()
    }

    /// Returns the endpoints that hold a block, with the times of their last use.
    pub(super) fn of(&self, fingerprint: u64) -> impl Iterator<Item = (u16, u32)> + '_ {
        self.probe(fingerprint)
            .filter(move |bucket| self.keys[*bucket] >> ENDPOINT_BITS == fingerprint)
            .map(|bucket| {
                (
                    (self.keys[bucket] & ENDPOINT_MASK) as u16,
                    self.times[bucket],
                )
            })
    }

    /// Returns when an endpoint last used a block that it holds.
    pub(super) fn time(&self, fingerprint: u64, endpoint: u16) -> Option<u32> {
        self.find(fingerprint, endpoint)
            .map(|bucket| self.times[bucket])
    }

    fn find(&self, fingerprint: u64, endpoint: u16) -> Option<usize> {
        let key = key(fingerprint, endpoint);
        self.probe(fingerprint)
            .find(|bucket| self.keys[*bucket] == key)
    }

    /// Returns the buckets from the home bucket of a block to the next empty one.
    fn probe(&self, fingerprint: u64) -> impl Iterator<Item = usize> + '_ {
        let home = self.home(fingerprint);
        (0..self.keys.len())
            .map(move |step| (home + step) & (self.keys.len() - 1))
            .take_while(|bucket| self.keys[*bucket] != EMPTY)
    }

    fn home(&self, fingerprint: u64) -> usize {
        // The number of buckets is a power of two; the highest bits of the fingerprint select one.
        let bits = self.keys.len().max(2).trailing_zeros();
        (fingerprint >> (FINGERPRINT_BITS - bits)) as usize
    }
}

/// Updates.
impl Holders {
    /// Records the use of a block by an endpoint; returns false if the endpoint doesn't hold it.
    pub(super) fn touch(&mut self, fingerprint: u64, endpoint: u16, time: u32) -> bool {
        let found = self.find(fingerprint, endpoint);
        if let Some(bucket) = found {
            self.times[bucket] = time;
        }
        found.is_some()
    }

    /// Adds an endpoint that does not hold the block yet.
    pub(super) fn insert(&mut self, fingerprint: u64, endpoint: u16, time: u32) {
        if (self.len + 1) * 4 > self.keys.len() * 3 {
            self.grow();
        }
        self.insert_key(key(fingerprint, endpoint), time);
        self.len += 1;
    }

    /// Removes an endpoint from the holders of a block.
    pub(super) fn remove(&mut self, fingerprint: u64, endpoint: u16) {
        let Some(mut hole) = self.find(fingerprint, endpoint) else {
            return;
        };
        let mask = self.keys.len() - 1;
        let mut bucket = hole;
        loop {
            bucket = (bucket + 1) & mask;
            if self.keys[bucket] == EMPTY {
                break;
            }
            // Backward-shift deletion: a later pair fills the hole unless its home bucket is after
            // the hole.
            let home = self.home(self.keys[bucket] >> ENDPOINT_BITS);
            if bucket.wrapping_sub(home) & mask >= bucket.wrapping_sub(hole) & mask {
                self.keys[hole] = self.keys[bucket];
                self.times[hole] = self.times[bucket];
                hole = bucket;
            }
        }
        self.keys[hole] = EMPTY;
        self.len -= 1;
    }

    fn insert_key(&mut self, key: u64, time: u32) {
        let mask = self.keys.len() - 1;
        let mut bucket = self.home(key >> ENDPOINT_BITS);
        while self.keys[bucket] != EMPTY {
            bucket = (bucket + 1) & mask;
        }
        self.keys[bucket] = key;
        self.times[bucket] = time;
    }

    fn grow(&mut self) {
        let buckets = (self.keys.len() * 2).max(MIN_BUCKETS);
        let keys = std::mem::replace(&mut self.keys, vec![EMPTY; buckets]);
        let times = std::mem::replace(&mut self.times, vec![0; buckets]);
        for (key, time) in keys.into_iter().zip(times) {
            if key != EMPTY {
                self.insert_key(key, time);
            }
        }
    }
}
