use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::{Issue, Section};

/// Largest weight and limit; keeps sums of costs well inside a floating point number.
const MAX_NUMBER: f64 = 1e12;

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name, as in the token file.
    pub name: Arc<str>,
    /// Share of the capacity relative to the other accounts, above 0.
    pub weight: f64,
    /// Highest rate over all nodes in cost units (tokens for models, milliseconds of service time
    /// for services) a second; none means no limit beyond the share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_cost_per_s: Option<f64>,
}

impl Account {
    pub(super) fn bind(section: &Section<'_>) -> Self {
        Self {
            name: section.string("name"),
            weight: section.number("weight", 0.0..=MAX_NUMBER),
            limit_cost_per_s: section
                .has("limit_cost_per_s")
                .then(|| section.number("limit_cost_per_s", 0.0..=MAX_NUMBER)),
        }
    }

    pub(super) fn validate(&self, path: &str, issues: &mut Vec<Issue>) {
        let positive = |number: f64| number > 0.0 && number <= MAX_NUMBER;
        if !positive(self.weight) {
            let path = format!("{path}.weight");
            issues.push(Issue::new(path, "expected a number above 0"));
        }
        if self.limit_cost_per_s.is_some_and(|limit| !positive(limit)) {
            let path = format!("{path}.limit_cost_per_s");
            issues.push(Issue::new(path, "expected a number above 0"));
        }
    }
}
