use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

/// Age from which a reading of another node's clock is ignored.
const MAX_AGE: Millis = Millis::from_secs(5);

/// Readings of the other nodes' wall clocks, which correct for a local clock that jumped.
#[derive(Debug, Default)]
pub struct Clocks {
    /// When each reading was received, and its offset: wall time minus the local steady time.
    readings: HashMap<Arc<str>, (Millis, i64)>,
}

impl Clocks {
    /// Records a reading of another node's clock.
    pub fn record(&mut self, node: &Arc<str>, wall: Millis, now: Millis) {
        let offset = wall.0 as i64 - now.0 as i64;
        self.readings.insert(Arc::clone(node), (now, offset));
    }

    /// Returns the median wall time of all nodes, this one's own reading included.
    #[must_use]
    pub fn median(&self, own: Millis, now: Millis) -> Millis {
        let fresh = self.readings.values().filter(|(at, _)| *at + MAX_AGE > now);
        let mut offsets: Vec<i64> = fresh.map(|(_, offset)| *offset).collect();
        offsets.push(own.0 as i64 - now.0 as i64);
        let middle = offsets.len() / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        Millis(u64::try_from(now.0 as i64 + *median).unwrap_or(0))
    }

    /// Drops readings that are too old to be used.
    pub fn prune(&mut self, now: Millis) {
        self.readings.retain(|_, (at, _)| *at + MAX_AGE > now);
    }
}
