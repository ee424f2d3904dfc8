use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::document::{Issue, Section};

use super::{Config, Kind};

/// Maximum deadline: one day.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Upper limit for the `max_tokens` of a route.
const MAX_TOKENS_LIMIT: u64 = 1_000_000;

/// Scheduling class of the requests on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A user waits for the response.
    Interactive,
    /// Long-running work that yields to interactive requests.
    Long,
}

/// A named route to a service, with the properties of its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name, the last segment of the URL path.
    pub name: Arc<str>,
    /// Name of the service that executes the requests.
    pub service: Arc<str>,
    /// Scheduling class.
    pub class: Class,
    /// Whether a request may be executed more than once without harm.
    pub idempotent: bool,
    /// Time limit from the arrival of a request to the end of its response.
    pub deadline_ms: Millis,
    /// Maximum number of tokens generated for a request; 0 for plain services.
    #[serde(default)]
    pub max_tokens: u32,
    /// Name of an idempotent route of the same service that returns the outcome of a call to this
    /// route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status_route: Option<Arc<str>>,
}

impl Route {
    pub(super) fn bind(section: &Section<'_>) -> Self {
        let classes = [("interactive", Class::Interactive), ("long", Class::Long)];
        let max_tokens = section.integer_or("max_tokens", 0, 0..=MAX_TOKENS_LIMIT);
        Self {
            name: section.string("name"),
            service: section.string("service"),
            class: section.choice("class", &classes).unwrap_or(Class::Long),
            idempotent: section.flag("idempotent"),
            deadline_ms: section.millis("deadline_ms", 1..=MAX_DEADLINE_MS),
            max_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
            status_route: section.optional_string("status_route"),
        }
    }

    pub(super) fn validate(&self, path: &str, config: &Config, issues: &mut Vec<Issue>) {
        let mut report = |field: &str, message: String| {
            issues.push(Issue::new(format!("{path}.{field}"), message))
        };
        if !(1..=MAX_DEADLINE_MS).contains(&self.deadline_ms.0) {
            report("deadline_ms", format!("expected 1 to {MAX_DEADLINE_MS} ms"));
        }
        match config.service(&self.service).map(|service| service.kind) {
            None => report("service", format!("there is no service `{}`", self.service)),
            Some(Kind::Model) if self.max_tokens == 0 => {
                report(
                    "max_tokens",
                    "a route to a model service requires a limit above 0".to_owned(),
                );
            }
            Some(Kind::Model) if !self.idempotent => {
                report(
                    "idempotent",
                    "a route to a model service must be idempotent".to_owned(),
                );
            }
            Some(Kind::Plain) if self.max_tokens != 0 => {
                report(
                    "max_tokens",
                    "a route to a plain service has no token limit".to_owned(),
                );
            }
            Some(_) => {}
        }
        if let Some(name) = &self.status_route {
            let target = config.route(name);
            if !target.is_some_and(|r| r.idempotent && r.service == self.service) {
                let message = format!("`{name}` is not an idempotent route of the same service");
                report("status_route", message);
            }
        }
    }
}
