use serde::Serialize;

use crate::clock::Millis;

/// Time for which a bucket accumulates unused rate.
const BURST_DURATION: Millis = Millis(1_000);

/// A token bucket in cost units whose rate is passed at each use.
///
/// Over any time `t` it admits at most `rate * (t + 1 s)`, plus one request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Bucket {
    level: f64,
    at: Millis,
    started: bool,
}

impl Bucket {
    /// Takes `cost` if the bucket isn't empty, and returns whether it did.
    ///
    /// A cost above the level makes the level negative, and later requests have to wait for it.
    pub fn take(&mut self, cost: f64, rate_per_s: f64, now: Millis) -> bool {
        let capacity = rate_per_s * BURST_DURATION.as_f64() / 1_000.0;
        let earned = rate_per_s * (now - self.at).as_f64() / 1_000.0;
        self.level = if self.started {
            (self.level + earned).min(capacity)
        } else {
            capacity
        };
        self.started = true;
        self.at = now;
        let allowed = self.level > 0.0;
        if allowed {
            self.level -= cost;
        }
        allowed
    }

    /// Returns the time until the bucket admits a request again at this rate.
    #[must_use]
    pub fn wait(&self, rate_per_s: f64) -> Millis {
        if rate_per_s <= 0.0 {
            return BURST_DURATION;
        }
        Millis((-self.level / rate_per_s * 1_000.0).max(0.0) as u64 + 1)
    }
}
