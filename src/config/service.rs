use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::document::{Issue, Section};

/// Minimum deadline of a rollout. It takes a few seconds of traffic to collect evidence about a
/// version.
const MIN_ROLLOUT_DEADLINE_MS: u64 = 5_000;

/// Maximum deadline of a rollout: one week.
const MAX_ROLLOUT_DEADLINE_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// What the endpoints of a service run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine that streams tokens.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// A service: a group of endpoints that serve the same routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, the same as in the host list.
    pub name: Arc<str>,
    /// What the endpoints run.
    pub kind: Kind,
    /// Target version, which should serve all traffic.
    pub version: Arc<str>,
    /// Time limit for a rollout to `version`; a rollout that takes longer is rolled back.
    pub rollout_deadline_ms: Millis,
    /// Whether the endpoints reject orders with a stale fencing token.
    pub checks_fencing: bool,
}

impl Service {
    pub(super) fn bind(section: &Section<'_>) -> Self {
        let kinds = [("model", Kind::Model), ("plain", Kind::Plain)];
        Self {
            name: section.string("name"),
            kind: section.choice("kind", &kinds).unwrap_or(Kind::Plain),
            version: section.string("version"),
            rollout_deadline_ms: section.millis(
                "rollout_deadline_ms",
                MIN_ROLLOUT_DEADLINE_MS..=MAX_ROLLOUT_DEADLINE_MS,
            ),
            checks_fencing: section.flag("checks_fencing"),
        }
    }

    pub(super) fn validate(&self, path: &str, issues: &mut Vec<Issue>) {
        if self.version.is_empty() {
            issues.push(Issue::new(format!("{path}.version"), "must not be empty"));
        }
        if !(MIN_ROLLOUT_DEADLINE_MS..=MAX_ROLLOUT_DEADLINE_MS)
            .contains(&self.rollout_deadline_ms.0)
        {
            let message =
                format!("expected {MIN_ROLLOUT_DEADLINE_MS} to {MAX_ROLLOUT_DEADLINE_MS} ms");
            issues.push(Issue::new(format!("{path}.rollout_deadline_ms"), message));
        }
    }
}
