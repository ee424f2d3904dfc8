use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Millis;

/// A point in time that may be absent, shared between tasks.
#[derive(Debug, Default)]
pub(super) struct Moment(AtomicU64);

impl Moment {
    /// Stands for an absent time; no clock reads 0.
    const ABSENT: u64 = 0;

    pub(super) fn get(&self) -> Option<Millis> {
        let at = self.0.load(Ordering::Relaxed);
        (at != Self::ABSENT).then_some(Millis(at))
    }

    pub(super) fn set(&self, at: Millis) {
        self.0.store(at.0.max(1), Ordering::Relaxed);
    }

    pub(super) fn clear(&self) {
        self.0.store(Self::ABSENT, Ordering::Relaxed);
    }
}
