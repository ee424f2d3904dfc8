use crate::clock::Millis;

/// Time without an answered read after which the log service counts as silent.
///
/// Reads wait up to a second and are given up a second later, so that a service that answers at
/// all is heard within two seconds.
const SILENCE: Millis = Millis(2_500);

/// Time after a failed append before another one is tried for a new call.
const PROBE_INTERVAL: Millis = Millis(1_000);

/// Whether the log service can be expected to take a record, judged by reads and appends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    heard_at: Option<Millis>,
    read_failed: bool,
    append_failed_at: Option<Millis>,
}

impl Health {
    /// Notes the end of a read.
    pub fn record_read(&mut self, now: Millis, succeeded: bool) {
        self.read_failed = !succeeded;
        if succeeded {
            self.heard_at = Some(now);
        }
    }

    /// Notes the end of an append.
    pub fn record_append(&mut self, now: Millis, succeeded: bool) {
        self.append_failed_at = (!succeeded).then_some(now);
    }

    /// Returns whether the last read failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.read_failed
    }

    /// Returns whether a new record should be tried.
    ///
    /// After a failed append one more is tried per second, so that a service that answers reads
    /// but refuses appends is noticed to be back.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        let heard = self.heard_at.is_some_and(|at| now - at <= SILENCE);
        let refused = self
            .append_failed_at
            .is_some_and(|at| now - at < PROBE_INTERVAL);
        heard && !self.read_failed && !refused
    }
}
