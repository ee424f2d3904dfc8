use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Scheduling class of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// Long work that may wait.
    Long,
}

/// A route that callers use by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name, the last part of the URL path.
    pub name: Arc<str>,
    /// The service that answers.
    pub service: Arc<str>,
    /// Scheduling class.
    pub class: Class,
    /// Whether a request may be repeated without harm.
    pub idempotent: bool,
    /// Time from arrival to the end of the answer.
    pub deadline_ms: Millis,
    /// Most tokens generated for a request; 0 for plain services.
    #[serde(default)]
    pub max_tokens: u32,
}
