//! Load answered: work for endpoints whose speeds differ several times.

/// Observations after which older ones fade.
const MEMORY: f64 = 16.0;

/// Observations for which the usual speed counts.
const USUAL_WEIGHT: f64 = 1.0;

/// Observations for which the measurements of other nodes count.
const SHARED_WEIGHT: f64 = 4.0;

/// Largest step, as a factor, that one observation counts for.
const MAX_RATIO: f64 = 8.0;

/// How long work takes on an endpoint, relative to the usual one of its service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    /// Sum of the logarithms of the observed ratios.
    log_sum: f64,
    count: f64,
    /// Logarithm of what other nodes have measured.
    shared: Option<f64>,
}

impl Slowness {
    /// Records that work took `ratio` times as long as usual.
    pub fn record(&mut self, ratio: f64) {
        let bounded = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO);
        let retention = 1.0 - 1.0 / MEMORY;
        self.log_sum = self.log_sum * retention + bounded.ln();
        self.count = self.count * retention + 1.0;
    }

    /// Records what other nodes have measured together.
    pub fn record_shared(&mut self, slowness: f64) {
        self.shared = Some(slowness.ln());
    }

    /// Returns the ratio that is expected by what is known here.
    #[must_use]
    pub fn expected(&self) -> f64 {
        let (prior, weight) = self
            .shared
            .map_or((0.0, USUAL_WEIGHT), |shared| (shared, SHARED_WEIGHT));
        ((self.log_sum + prior * weight) / (self.count + weight)).exp()
    }

    /// Returns the ratio on which the nodes agree, which decides where prefixes belong.
    #[must_use]
    pub fn agreed(&self) -> f64 {
        self.shared.map_or(1.0, f64::exp)
    }
}
