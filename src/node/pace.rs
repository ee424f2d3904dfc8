use crate::clock::Millis;

/// Weight of the newest interval in the average.
const NEWEST: f64 = 0.1;

/// Speed assumed before two tokens have arrived; the target for the inter-token time.
const ASSUMED_MS: f64 = 70.0;

/// The average time between two tokens of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Pace {
    last: Option<Millis>,
    average: Option<f64>,
}

impl Pace {
    /// Records a token.
    pub(super) fn token(&mut self, now: Millis) {
        if let Some(last) = self.last.replace(now) {
            let interval = (now - last).as_f64();
            let average = self.average.unwrap_or(interval);
            self.average = Some(average + NEWEST * (interval - average));
        }
    }

    /// Forgets the last token, because the next one comes from another engine.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the average in milliseconds.
    pub(super) fn token_ms(&self) -> f64 {
        self.average.unwrap_or(ASSUMED_MS)
    }
}
