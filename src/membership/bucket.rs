use crate::clock::Millis;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    burst: f64,
    per_ms: f64,
    refilled_at: Millis,
}

impl Bucket {
    /// Creates a full bucket that gains `per_second` tokens up to `burst`.
    pub(super) fn new(burst: f64, per_second: f64) -> Self {
        Self {
            tokens: burst,
            burst,
            per_ms: per_second / 1_000.0,
            refilled_at: Millis::ZERO,
        }
    }

    /// Returns the tokens available at `now`, at least 0.
    #[allow(
        clippy::cast_precision_loss,
        reason = "intervals are far below 2^52 milliseconds"
    )]
    pub(super) fn available(&mut self, now: Millis) -> f64 {
        let elapsed = now - self.refilled_at;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed.0 as f64 * self.per_ms).min(self.burst);
        self.tokens.max(0.0)
    }

    /// Takes tokens; the balance may become negative, which delays later takers.
    pub(super) fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
