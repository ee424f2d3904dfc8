use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

/// Age after which another node's reading of the time of day is not used.
const MOST_AGE: Millis = Millis::from_secs(5);

/// Other nodes' readings of the time of day, from which a node whose own clock jumped knows better.
#[derive(Debug, Default)]
pub struct Clocks {
    /// When each reading was heard, and the time of day minus the steady time here.
    readings: HashMap<Arc<str>, (Millis, i64)>,
}

impl Clocks {
    /// Notes another node's reading.
    pub fn record(&mut self, node: &Arc<str>, wall: Millis, now: Millis) {
        let offset = wall.0 as i64 - now.0 as i64;
        self.readings.insert(Arc::clone(node), (now, offset));
    }

    /// Returns the time of day that most nodes agree on, this one's own reading among them.
    #[must_use]
    pub fn median(&self, own: Millis, now: Millis) -> Millis {
        let fresh = self
            .readings
            .values()
            .filter(|(at, _)| *at + MOST_AGE > now);
        let mut offsets: Vec<i64> = fresh.map(|(_, offset)| *offset).collect();
        offsets.push(own.0 as i64 - now.0 as i64);
        let middle = offsets.len() / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        Millis(u64::try_from(now.0 as i64 + *median).unwrap_or(0))
    }

    /// Forgets readings that are not used any more.
    pub fn prune(&mut self, now: Millis) {
        self.readings.retain(|_, (at, _)| *at + MOST_AGE > now);
    }
}
