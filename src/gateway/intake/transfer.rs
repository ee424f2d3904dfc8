use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::Millis;

use super::moment::Moment;

/// The progress of a body or of a response on a connection.
#[derive(Debug, Default)]
pub(super) struct Transfer {
    since: Moment,
    bytes: AtomicU64,
}

impl Transfer {
    pub(super) fn start(&self, now: Millis) {
        self.bytes.store(0, Ordering::Relaxed);
        self.since.set(now);
    }

    pub(super) fn record(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn end(&self) {
        self.since.clear();
    }

    /// Returns when the transfer began; `None` while there is none.
    pub(super) fn since(&self) -> Option<Millis> {
        self.since.get()
    }

    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
