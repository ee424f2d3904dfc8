use serde::Serialize;

/// Retries that one first attempt adds to the budget.
const RETRY_RATIO: f64 = 0.1;

/// Retries in a new budget, so that callers with few requests can retry at all.
const INITIAL_RETRIES: f64 = 2.0;

/// Maximum number of retries that a budget accumulates, so that a long time without failures
/// doesn't allow a retry storm.
const MAX_RETRIES: f64 = 20.0;

/// A retry budget, to which first attempts add.
///
/// Over its lifetime it allows retries for at most a tenth of the first attempts, plus two.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Budget {
    level: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            level: INITIAL_RETRIES,
        }
    }
}

impl Budget {
    /// Adds the part of a retry that one first attempt earns.
    pub fn earn(&mut self) {
        self.level = (self.level + RETRY_RATIO).min(MAX_RETRIES);
    }

    /// Returns whether a retry is allowed.
    #[must_use]
    pub fn allows(&self) -> bool {
        self.level >= 1.0
    }

    /// Subtracts one retry.
    pub fn spend(&mut self) {
        self.level = (self.level - 1.0).max(0.0);
    }
}
