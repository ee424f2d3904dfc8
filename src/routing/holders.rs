/// Bits of a block's hash that are kept.
///
/// With the 614,400 blocks of 600 endpoints, an unknown block is taken for a known one with a
/// probability of 614,400 / 2^48 = 2.2e-9. With 32 bits it would be 1.4e-4, and a lookup of a cold
/// prompt, which bisects with ten blocks or fewer, would be wrong once in 700 times.
const FINGERPRINT_BITS: u32 = 48;

const SLOT_BITS: u32 = u64::BITS - FINGERPRINT_BITS;

const SLOT_MASK: u64 = (1 << SLOT_BITS) - 1;

/// Key of a free place; no fingerprint is zero.
const FREE: u64 = 0;

/// Places of the smallest table.
const MIN_PLACES: usize = 64;

/// The endpoints that hold each block and the times of their last use, 12 bytes each.
///
/// An open-addressing table with linear probing and one place for each pair of a block and an
/// endpoint. The pairs of one block have the same home, so that they lie close together and need
/// no list of their own. It doubles at three quarters full and never shrinks.
#[derive(Debug, Default)]
pub(super) struct Holders {
    /// A fingerprint and a slot each.
    keys: Vec<u64>,
    times: Vec<u32>,
    len: usize,
}

/// Returns the part of a block's hash that is kept.
pub(super) fn fingerprint(block: u64) -> u64 {
    (block >> SLOT_BITS).max(1)
}

fn key(fingerprint: u64, slot: u16) -> u64 {
    fingerprint << SLOT_BITS | u64::from(slot)
}

/// Lookups.
impl Holders {
    /// Returns whether any endpoint holds a block.
    pub(super) fn contains(&self, fingerprint: u64) -> bool {
        self.of(fingerprint).next().is_some()
    }

    /// Returns the slots that hold a block, with the times of their last use.
    pub(super) fn of(&self, fingerprint: u64) -> impl Iterator<Item = (u16, u32)> + '_ {
        self.run(fingerprint)
            .filter(move |place| self.keys[*place] >> SLOT_BITS == fingerprint)
            .map(|place| ((self.keys[place] & SLOT_MASK) as u16, self.times[place]))
    }

    /// Returns when a slot last used a block that it holds.
    pub(super) fn time(&self, fingerprint: u64, slot: u16) -> Option<u32> {
        self.find(fingerprint, slot).map(|place| self.times[place])
    }

    fn find(&self, fingerprint: u64, slot: u16) -> Option<usize> {
        let key = key(fingerprint, slot);
        self.run(fingerprint).find(|place| self.keys[*place] == key)
    }

    /// Returns the places from the home of a block to the next free one.
    fn run(&self, fingerprint: u64) -> impl Iterator<Item = usize> + '_ {
        let home = self.home(fingerprint);
        (0..self.keys.len())
            .map(move |step| (home + step) & (self.keys.len() - 1))
            .take_while(|place| self.keys[*place] != FREE)
    }

    fn home(&self, fingerprint: u64) -> usize {
        // The table has a power of two places; the highest bits of the fingerprint number them.
        let bits = self.keys.len().max(2).trailing_zeros();
        (fingerprint >> (FINGERPRINT_BITS - bits)) as usize
    }
}

/// Updates.
impl Holders {
    /// Records the use of a block by a slot that holds it; returns whether it does.
    pub(super) fn touch(&mut self, fingerprint: u64, slot: u16, time: u32) -> bool {
        let found = self.find(fingerprint, slot);
        if let Some(place) = found {
            self.times[place] = time;
        }
        found.is_some()
    }

    /// Adds a slot that does not hold the block yet.
    pub(super) fn insert(&mut self, fingerprint: u64, slot: u16, time: u32) {
        if (self.len + 1) * 4 > self.keys.len() * 3 {
            self.grow();
        }
        self.put(key(fingerprint, slot), time);
        self.len += 1;
    }

    /// Drops a slot from the holders of a block.
    pub(super) fn remove(&mut self, fingerprint: u64, slot: u16) {
        let Some(mut hole) = self.find(fingerprint, slot) else {
            return;
        };
        let mask = self.keys.len() - 1;
        let mut place = hole;
        loop {
            place = (place + 1) & mask;
            if self.keys[place] == FREE {
                break;
            }
            // A later pair fills the hole unless its home lies behind the hole.
            let home = self.home(self.keys[place] >> SLOT_BITS);
            if place.wrapping_sub(home) & mask >= place.wrapping_sub(hole) & mask {
                self.keys[hole] = self.keys[place];
                self.times[hole] = self.times[place];
                hole = place;
            }
        }
        self.keys[hole] = FREE;
        self.len -= 1;
    }

    fn put(&mut self, key: u64, time: u32) {
        let mask = self.keys.len() - 1;
        let mut place = self.home(key >> SLOT_BITS);
        while self.keys[place] != FREE {
            place = (place + 1) & mask;
        }
        self.keys[place] = key;
        self.times[place] = time;
    }

    fn grow(&mut self) {
        let places = (self.keys.len() * 2).max(MIN_PLACES);
        let keys = std::mem::replace(&mut self.keys, vec![FREE; places]);
        let times = std::mem::replace(&mut self.times, vec![0; places]);
        for (key, time) in keys.into_iter().zip(times) {
            if key != FREE {
                self.put(key, time);
            }
        }
    }
}
