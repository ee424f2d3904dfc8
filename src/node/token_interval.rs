use crate::clock::Millis;

/// Weight of the newest interval in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Interval in milliseconds assumed before two tokens have arrived; the target for the inter-token
/// time.
const DEFAULT_MS: f64 = 70.0;

/// Exponential moving average of the time between two tokens of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TokenInterval {
    last: Option<Millis>,
    average: Option<f64>,
}

impl TokenInterval {
    /// Records a token.
    pub(super) fn record(&mut self, now: Millis) {
        if let Some(last) = self.last.replace(now) {
            let interval = (now - last).as_f64();
            let average = self.average.unwrap_or(interval);
            self.average = Some(average + NEWEST_WEIGHT * (interval - average));
        }
    }

    /// Resets the average, because the next token comes from another engine.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the average interval in milliseconds.
    pub(super) fn average_ms(&self) -> f64 {
        self.average.unwrap_or(DEFAULT_MS)
    }
}
