use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::{Issue, Section};

/// Upper limit for weights and rate limits, so that sums of costs stay far below the limits of a
/// floating point number.
const MAX_WEIGHT_OR_LIMIT: f64 = 1e12;

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name, the same as in the token file.
    pub name: Arc<str>,
    /// Relative share of the capacity, above 0: an account with weight 2 gets twice the share of
    /// one with weight 1.
    pub weight: f64,
    /// Rate limit over all nodes in cost units per second; `None` means no limit beyond the
    /// account's share. A cost unit is a token for models and a millisecond of service time for
    /// plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_cost_per_s: Option<f64>,
}

impl Account {
    pub(super) fn bind(section: &Section<'_>) -> Self {
        Self {
            name: section.string("name"),
            weight: section.number("weight", 0.0..=MAX_WEIGHT_OR_LIMIT),
            limit_cost_per_s: section
                .has("limit_cost_per_s")
                .then(|| section.number("limit_cost_per_s", 0.0..=MAX_WEIGHT_OR_LIMIT)),
        }
    }

    pub(super) fn validate(&self, path: &str, issues: &mut Vec<Issue>) {
        let in_range = |number: f64| number > 0.0 && number <= MAX_WEIGHT_OR_LIMIT;
        if !in_range(self.weight) {
            let path = format!("{path}.weight");
            issues.push(Issue::new(path, "expected a number above 0"));
        }
        if self.limit_cost_per_s.is_some_and(|limit| !in_range(limit)) {
            let path = format!("{path}.limit_cost_per_s");
            issues.push(Issue::new(path, "expected a number above 0"));
        }
    }
}
