use serde::Serialize;

use crate::clock::Millis;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Distance of the estimated 90th percentile from the mean, in mean absolute deviations.
const P90_DEVIATIONS: f64 = 1.6;

/// Number of samples from which on the averages are used instead of the request's own limits.
const MIN_SAMPLES: u32 = 8;

/// Expected response length and service time of the requests on one route, estimated from those
/// that finished.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Estimate {
    samples: u32,
    tokens: f64,
    service_ms: f64,
    /// Mean absolute deviation from `service_ms`.
    deviation_ms: f64,
}

impl Estimate {
    /// Records a finished request: its generated tokens and the time from its dispatch to its end.
    pub fn record(&mut self, tokens: u32, took: Millis) {
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.tokens += weight * (f64::from(tokens) - self.tokens);
        let deviation = (took.as_f64() - self.service_ms).abs();
        self.deviation_ms += weight * (deviation - self.deviation_ms);
        self.service_ms += weight * (took.as_f64() - self.service_ms);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the expected number of generated tokens, at most `limit`.
    #[must_use]
    pub fn expected_tokens(&self, limit: u32) -> f64 {
        let limit = f64::from(limit);
        if self.samples < MIN_SAMPLES {
            return limit;
        }
        self.tokens.min(limit)
    }

    /// Returns an estimate of the 90th percentile of the time from dispatch to the end.
    ///
    /// It is zero until there are enough samples, so that a new route refuses no requests on a
    /// guess. With the mean instead, a fifth of the dispatched requests missed their deadline under
    /// overload, because queues grow until just enough time is left.
    #[must_use]
    pub fn service_time(&self) -> Millis {
        if self.samples < MIN_SAMPLES {
            return Millis::ZERO;
        }
        Millis((self.service_ms + P90_DEVIATIONS * self.deviation_ms) as u64)
    }
}
