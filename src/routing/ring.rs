/// Places of a cold prefix that a decision considers.
const PLACES: usize = 16;

/// Where cold prefixes are placed among many endpoints, alike at all nodes.
///
/// Each endpoint has one point on a ring of hashes. A prefix is hashed to several positions, and
/// the endpoint that follows one of them most closely is its first place. With several positions
/// the endpoints get nearly equal shares, although the arcs between their points are unequal.
/// Rendezvous hashing of all endpoints gives equal shares, but its time grows with their number.
#[derive(Debug, Default)]
pub(super) struct Ring {
    points: Vec<(u64, u32)>,
}

impl Ring {
    /// Adds an endpoint by the number that all nodes know it by.
    pub(super) fn insert(&mut self, id: u64, slot: u32) {
        let point = (mix(0, id), slot);
        let at = self.points.partition_point(|p| *p < point);
        self.points.insert(at, point);
    }

    /// Drops the endpoint in a slot.
    pub(super) fn remove(&mut self, slot: u32) {
        self.points.retain(|(_, of)| *of != slot);
    }

    /// Returns the slots of the places of a block, first choice first; a slot may occur twice.
    pub(super) fn places(&self, block: u64) -> impl Iterator<Item = u32> + use<> {
        let mut places = [(u64::MAX, 0); PLACES];
        let count = if self.points.is_empty() { 0 } else { PLACES };
        for (number, place) in places[..count].iter_mut().enumerate() {
            let position = mix(block, number as u64);
            let next = self.points.partition_point(|(point, _)| *point < position);
            let (point, slot) = self.points[next % self.points.len()];
            *place = (point.wrapping_sub(position), slot);
        }
        places[..count].sort_unstable();
        places.into_iter().take(count).map(|(_, slot)| slot)
    }
}

/// Mixes a block hash and a number into a hash.
pub(super) fn mix(block: u64, number: u64) -> u64 {
    let mut x = block ^ number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
