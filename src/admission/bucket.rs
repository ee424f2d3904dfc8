use serde::Serialize;

use crate::clock::Millis;

/// Time of its rate that a bucket can hold.
const BURST: Millis = Millis(1_000);

/// A token bucket in cost units whose rate is set at each use.
///
/// Over any time `t` it lets through at most `rate * (t + 1 s)`, plus one request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Bucket {
    level: f64,
    at: Millis,
    started: bool,
}

impl Bucket {
    /// Takes `cost` when the bucket isn't empty; a request larger than the level leaves a debt.
    pub fn take(&mut self, cost: f64, rate_per_s: f64, now: Millis) -> bool {
        let full = rate_per_s * BURST.as_f64() / 1_000.0;
        let earned = rate_per_s * (now - self.at).as_f64() / 1_000.0;
        self.level = if self.started {
            (self.level + earned).min(full)
        } else {
            full
        };
        self.started = true;
        self.at = now;
        let open = self.level > 0.0;
        if open {
            self.level -= cost;
        }
        open
    }

    /// Returns the time until the bucket is no longer empty at this rate.
    #[must_use]
    pub fn wait(&self, rate_per_s: f64) -> Millis {
        if rate_per_s <= 0.0 {
            return BURST;
        }
        Millis((-self.level / rate_per_s * 1_000.0).max(0.0) as u64 + 1)
    }
}
