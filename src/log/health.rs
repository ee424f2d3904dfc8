use crate::clock::Millis;

/// Time without a successful read after which the log service counts as unavailable.
///
/// Reads wait up to a second and time out a second later, so that a service that responds at all
/// completes a read within two seconds.
const MAX_READ_AGE: Millis = Millis(2_500);

/// Time after a failed append before another append is tried for a new call.
const PROBE_INTERVAL: Millis = Millis(1_000);

/// Health of the log service, judged by the outcomes of reads and appends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    last_read_at: Option<Millis>,
    read_failed: bool,
    append_failed_at: Option<Millis>,
}

impl Health {
    /// Records the outcome of a read.
    pub fn record_read(&mut self, now: Millis, succeeded: bool) {
        self.read_failed = !succeeded;
        if succeeded {
            self.last_read_at = Some(now);
        }
    }

    /// Records the outcome of an append.
    pub fn record_append(&mut self, now: Millis, succeeded: bool) {
        self.append_failed_at = (!succeeded).then_some(now);
    }

    /// Returns whether the last read failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.read_failed
    }

    /// Returns whether the service is expected to accept a new record.
    ///
    /// After a failed append, one append per second is tried. Reads alone would not show when a
    /// service that responds to reads but rejects appends has recovered.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        let recently_read = self.last_read_at.is_some_and(|at| now - at <= MAX_READ_AGE);
        let append_failed = self
            .append_failed_at
            .is_some_and(|at| now - at < PROBE_INTERVAL);
        recently_read && !self.read_failed && !append_failed
    }
}
