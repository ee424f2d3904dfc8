use crate::clock::Millis;

/// Half-life of the weight of past outcomes.
const FAILURE_HALF_LIFE: Millis = Millis(3_000);

/// Number of consecutive requests without any response after which an endpoint is blocked.
const FAILURES_TO_BLOCK: u32 = 2;

/// Duration of the first block; it doubles with each further failure.
const INITIAL_BLOCK: Millis = Millis(400);

/// Maximum duration of a block.
const MAX_BLOCK: Millis = Millis(3_000);

/// The health of an endpoint, judged by the outcomes of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failed: f64,
    total: f64,
    updated_at: Millis,
    /// Number of consecutive requests without any response.
    consecutive_failures: u32,
    blocked_until: Millis,
}

impl Health {
    /// Records a response, and whether it reported a failure.
    pub fn record_response(&mut self, failed: bool, now: Millis) {
        self.decay(now);
        self.total += 1.0;
        self.failed += f64::from(u8::from(failed));
        self.consecutive_failures = 0;
        self.blocked_until = Millis::ZERO;
    }

    /// Records a connection that could not be established, broke, or timed out; returns whether the
    /// endpoint is blocked from now on.
    pub fn record_no_response(&mut self, now: Millis) -> bool {
        self.decay(now);
        self.total += 1.0;
        self.failed += 1.0;
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_BLOCK {
            return false;
        }
        let doublings = (self.consecutive_failures - FAILURES_TO_BLOCK).min(4);
        let block = Millis(INITIAL_BLOCK.0 << doublings).min(MAX_BLOCK);
        self.blocked_until = now + block;
        true
    }

    /// Returns whether the endpoint is blocked, that is, gets no requests.
    ///
    /// After the block has ended, the endpoint gets one request at a time until it responds, since
    /// each failure extends the block.
    #[must_use]
    pub fn is_blocked(&self, now: Millis, inflight: u32) -> bool {
        if !self.is_unproven() {
            return false;
        }
        now < self.blocked_until || inflight > 0
    }

    /// Returns whether the endpoint was blocked, and has not responded since.
    #[must_use]
    pub fn is_unproven(&self) -> bool {
        self.consecutive_failures >= FAILURES_TO_BLOCK
    }

    /// Returns the fraction of recent requests that failed, from 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self, now: Millis) -> f64 {
        // The constant limits the weight of a single failure among few requests.
        let factor = self.decay_factor(now);
        self.failed * factor / (self.total * factor + 3.0)
    }

    fn decay_factor(&self, now: Millis) -> f64 {
        (-(now - self.updated_at).as_f64() / FAILURE_HALF_LIFE.as_f64()).exp2()
    }

    fn decay(&mut self, now: Millis) {
        let factor = self.decay_factor(now);
        self.failed *= factor;
        self.total *= factor;
        self.updated_at = now;
    }
}
