use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use super::Millis;

/// A source of monotonic time and wall time.
///
/// # Examples
///
/// ```
/// use almondpath::clock::{Clock, Millis};
///
/// let clock = Clock::manual(Millis(1_000));
/// clock.advance(Millis(250));
/// assert_eq!(clock.wall(), Millis(1_250));
/// ```
#[derive(Clone, Debug)]
pub struct Clock {
    source: Source,
}

#[derive(Clone, Debug)]
enum Source {
    System(Instant),
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Creates a clock that reads the operating system's clocks.
    #[must_use]
    pub fn system() -> Self {
        Self {
            source: Source::System(Instant::now()),
        }
    }

    /// Creates a clock that starts at `start` and advances only by [`Clock::advance`].
    #[must_use]
    pub fn manual(start: Millis) -> Self {
        Self {
            source: Source::Manual(Arc::new(AtomicU64::new(start.0))),
        }
    }

    /// Returns the monotonic time since the clock was created. It advances while the process is
    /// stopped.
    #[must_use]
    pub fn now(&self) -> Millis {
        match &self.source {
            Source::System(origin) => origin.elapsed().into(),
            Source::Manual(time) => Millis(time.load(Ordering::SeqCst)),
        }
    }

    /// Returns the time since the Unix epoch.
    #[must_use]
    pub fn wall(&self) -> Millis {
        match &self.source {
            Source::System(_) => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(Millis::ZERO, Millis::from),
            Source::Manual(time) => Millis(time.load(Ordering::SeqCst)),
        }
    }

    /// Returns the time since the host booted; unlike [`Clock::now`] it includes the time for which
    /// the host was suspended.
    #[must_use]
    pub fn since_boot(&self) -> Millis {
        match &self.source {
            Source::System(_) => {
                let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
                let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
                let rest = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000;
                Millis::from_secs(seconds) + Millis(rest)
            }
            Source::Manual(time) => Millis(time.load(Ordering::SeqCst)),
        }
    }

    /// Advances a manual clock; has no effect on the system clock.
    pub fn advance(&self, by: Millis) {
        if let Source::Manual(time) = &self.source {
            time.fetch_add(by.0, Ordering::SeqCst);
        }
    }
}
