use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

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
