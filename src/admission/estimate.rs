use serde::Serialize;

use crate::clock::Millis;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean deviations above the mean that nine of ten requests stay below.
const DEVIATIONS: f64 = 1.6;

/// Samples before the averages are used instead of the limits of the route.
const MIN_SAMPLES: u32 = 8;

/// Expected length and time of the requests of one route, from those that finished.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Estimate {
    samples: u32,
    tokens: f64,
    service_ms: f64,
    /// Mean absolute difference from `service_ms`.
    deviation_ms: f64,
}

impl Estimate {
    /// Takes in a finished request: tokens generated and time from dispatch to the end.
    pub fn record(&mut self, tokens: u32, took: Millis) {
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.tokens += weight * (f64::from(tokens) - self.tokens);
        let off = (took.as_f64() - self.service_ms).abs();
        self.deviation_ms += weight * (off - self.deviation_ms);
        self.service_ms += weight * (took.as_f64() - self.service_ms);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the expected generated tokens, at most `limit`.
    #[must_use]
    pub fn expected_tokens(&self, limit: u32) -> f64 {
        let limit = f64::from(limit);
        if self.samples < MIN_SAMPLES {
            return limit;
        }
        self.tokens.min(limit)
    }

    /// Returns a time from dispatch to the end that nine of ten requests keep; zero while unknown,
    /// so that a new route refuses nothing on a guess.
    ///
    /// With the mean alone, under overload a fifth of the dispatched requests missed their
    /// deadline, as queues fill up until just enough time is left.
    #[must_use]
    pub fn service_time(&self) -> Millis {
        if self.samples < MIN_SAMPLES {
            return Millis::ZERO;
        }
        Millis((self.service_ms + DEVIATIONS * self.deviation_ms) as u64)
    }
}
