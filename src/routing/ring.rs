/// Number of positions that a cold prefix is hashed to.
const PROBES: usize = 16;

/// A hash ring that places cold prefixes at the same endpoints on all nodes.
///
/// This is multi-probe consistent hashing: each endpoint has one point on the ring, and a prefix is
/// hashed to several positions. The endpoint whose point follows one of the positions most closely
/// is the preferred one. With several positions the endpoints get nearly equal shares, although the
/// arcs between their points are unequal. Rendezvous hashing over all endpoints would give equal
/// shares, but takes time proportional to their number.
#[derive(Debug, Default)]
pub(super) struct Ring {
    /// Point and index of each endpoint, sorted.
    points: Vec<(u64, u32)>,
}

impl Ring {
    /// Adds an endpoint; `id` is the same at all nodes.
    pub(super) fn insert(&mut self, id: u64, index: u32) {
        let point = (mix(0, id), index);
        let at = self.points.partition_point(|p| *p < point);
        self.points.insert(at, point);
    }

    /// Removes an endpoint.
    pub(super) fn remove(&mut self, index: u32) {
        self.points.retain(|(_, other)| *other != index);
    }

    /// Returns the preferred endpoints of a block, most preferred first; one may occur twice.
    pub(super) fn preferred(&self, block: u64) -> impl Iterator<Item = u32> + use<> {
        let mut preferred = [(u64::MAX, 0); PROBES];
        let count = if self.points.is_empty() { 0 } else { PROBES };
        for (probe, candidate) in preferred[..count].iter_mut().enumerate() {
            let position = mix(block, probe as u64);
            let next = self.points.partition_point(|(point, _)| *point < position);
            let (point, index) = self.points[next % self.points.len()];
            *candidate = (point.wrapping_sub(position), index);
        }
        preferred[..count].sort_unstable();
        preferred.into_iter().take(count).map(|(_, index)| index)
    }
}

/// Returns a hash of a block hash and a number, by the finalizer of SplitMix64.
pub(super) fn mix(block: u64, number: u64) -> u64 {
    let mut x = block ^ number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
