use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::document::{Issue, Section};

/// Shortest time for a rollout; evidence about a version takes some seconds of traffic.
const MIN_ROLLOUT_MS: u64 = 5_000;

/// One week.
const MAX_ROLLOUT_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// What answers a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines that stream tokens.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// A group of endpoints that serve the same routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, as in the host list.
    pub name: Arc<str>,
    /// What answers.
    pub kind: Kind,
    /// The version that should serve all traffic.
    pub version: Arc<str>,
    /// Time a rollout to `version` may take before it is rolled back.
    pub rollout_deadline_ms: Millis,
    /// Whether the endpoints refuse orders with an old fencing token.
    pub checks_fencing: bool,
}

impl Service {
    pub(super) fn bind(section: &Section<'_>) -> Self {
        let kinds = [("model", Kind::Model), ("plain", Kind::Plain)];
        Self {
            name: section.string("name"),
            kind: section.choice("kind", &kinds).unwrap_or(Kind::Plain),
            version: section.string("version"),
            rollout_deadline_ms: section
                .millis("rollout_deadline_ms", MIN_ROLLOUT_MS..=MAX_ROLLOUT_MS),
            checks_fencing: section.flag("checks_fencing"),
        }
    }

    pub(super) fn validate(&self, path: &str, issues: &mut Vec<Issue>) {
        if self.version.is_empty() {
            issues.push(Issue::new(format!("{path}.version"), "required"));
        }
        if !(MIN_ROLLOUT_MS..=MAX_ROLLOUT_MS).contains(&self.rollout_deadline_ms.0) {
            let message = format!("expected {MIN_ROLLOUT_MS} to {MAX_ROLLOUT_MS} ms");
            issues.push(Issue::new(format!("{path}.rollout_deadline_ms"), message));
        }
    }
}
