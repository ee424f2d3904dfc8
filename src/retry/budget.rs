use serde::Serialize;

/// Retries earned by one first attempt.
const RATIO: f64 = 0.1;

/// Retries that a new budget holds, so that callers with few requests can retry at all.
const RESERVE: f64 = 2.0;

/// Most retries that a budget holds, so that a quiet period doesn't pay for a storm.
const CAPACITY: f64 = 20.0;

/// A budget of retries, earned by first attempts.
///
/// Over its life it allows at most a tenth of the first attempts plus two.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Budget {
    level: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { level: RESERVE }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.level = (self.level + RATIO).min(CAPACITY);
    }

    /// Returns whether a retry is allowed.
    #[must_use]
    pub fn allows(&self) -> bool {
        self.level >= 1.0
    }

    /// Counts a retry.
    pub fn spend(&mut self) {
        self.level = (self.level - 1.0).max(0.0);
    }
}
