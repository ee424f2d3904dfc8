use std::path::Path;
use std::sync::Arc;

use crate::config::Kind;
use crate::document::{Document, Issue, Problems, Section};

use super::Generated;

const MAX_IMPORTANCE: f64 = 100.0;
const MAX_ROLLOUT_MINUTES: u64 = 7 * 24 * 60;
const MAX_RESPONSE_SECONDS: f64 = 24.0 * 60.0 * 60.0;
const MAX_RESPONSE_WORDS: u64 = 500_000;

/// A team's answers to the questionnaire.
#[derive(Clone, Debug, PartialEq)]
pub struct Answers {
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Importance of a low cost at the latency target, relative to rollouts.
    pub cost_importance: f64,
    /// Importance of rollouts that finish in time and roll back faulty versions, relative to the
    /// cost.
    pub rollout_importance: f64,
    /// Names of the failure domains.
    pub failure_domains: Vec<Arc<str>>,
    /// Client accounts.
    pub client_accounts: Vec<Account>,
    /// Services that execute requests.
    pub services: Vec<Service>,
    /// Types of requests.
    pub requests: Vec<Request>,
}

/// How much traffic a client account causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// Occasional use.
    Small,
    /// Steady use.
    Medium,
    /// A large share of all traffic.
    Large,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Unique name.
    pub name: Arc<str>,
    /// Expected traffic.
    pub size: Size,
    /// Rate limit in cost units per second; `None` means no limit.
    pub limit_cost_per_s: Option<f64>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// What its endpoints run.
    pub kind: Kind,
    /// Version that should serve all traffic.
    pub version: Arc<str>,
    /// Time limit for a rollout to serve all traffic with a new version, in minutes.
    pub rollout_within_min: u64,
    /// Whether its endpoints reject orders with a stale fencing token.
    pub checks_fencing: bool,
}

/// A type of request, which becomes a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Unique name.
    pub name: Arc<str>,
    /// Name of the service that executes it.
    pub service: Arc<str>,
    /// Whether a user waits for the response.
    pub someone_waits: bool,
    /// Whether it may be executed more than once without harm.
    pub may_repeat: bool,
    /// Time limit for the whole response, in seconds.
    pub answer_within_s: f64,
    /// Length of the longest response of a model, in words.
    pub longest_answer_words: Option<u64>,
    /// Name of the request that returns the outcome of this one.
    pub status_request: Option<Arc<str>>,
}

impl Answers {
    /// Reads and validates a file with answers.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or isn't valid YAML, and with all problems of the answers.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        Ok(Self::from_document(&Document::load(path)?)?)
    }

    /// Converts a YAML document to answers and validates them and the configuration generated from
    /// them.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the document.
    pub fn from_document(document: &Document) -> Result<Self, Problems> {
        document.bind_checked(Self::bind, Self::validate)
    }

    fn bind(section: &Section<'_>) -> Self {
        let importance = section.section("importance", |section| {
            (
                section.number("cost", 0.0..=MAX_IMPORTANCE),
                section.number("rollout", 0.0..=MAX_IMPORTANCE),
            )
        });
        let (cost_importance, rollout_importance) = importance.unwrap_or((1.0, 1.0));
        Self {
            deployment: section.string("deployment"),
            cost_importance,
            rollout_importance,
            failure_domains: section.names("failure_domains"),
            client_accounts: section.list("client_accounts", Account::bind),
            services: section.list("services", Service::bind),
            requests: section.list("requests", Request::bind),
        }
    }

    /// Validates the generated configuration and returns its issues, each at the path of the answer
    /// that the field is derived from.
    fn validate(&self) -> Vec<Issue> {
        let issues = Generated::new(self).config.validate();
        issues
            .into_iter()
            .map(|issue| Issue::new(answer_path(&issue.path), issue.message))
            .collect()
    }
}

/// Returns the path of the answer from which the configuration field at `path` is derived.
fn answer_path(path: &str) -> String {
    const FIELDS: [(&str, &str); 8] = [
        ("routes", "requests"),
        (".status_route", ".status_request"),
        (".max_tokens", ".longest_answer_words"),
        (".deadline_ms", ".answer_within_s"),
        (".rollout_deadline_ms", ".rollout_within_min"),
        (".idempotent", ".may_repeat"),
        (".weight", ".size"),
        ("weights", "importance"),
    ];
    let mut path = path.to_owned();
    for (field, answer) in FIELDS {
        let matches = if field.starts_with('.') {
            path.ends_with(field)
        } else {
            path.starts_with(field)
        };
        if matches {
            path = path.replacen(field, answer, 1);
        }
    }
    path
}

impl Account {
    fn bind(section: &Section<'_>) -> Self {
        let sizes = [
            ("small", Size::Small),
            ("medium", Size::Medium),
            ("large", Size::Large),
        ];
        Self {
            name: section.string("name"),
            size: section.choice("size", &sizes).unwrap_or(Size::Small),
            limit_cost_per_s: section
                .has("limit_cost_per_s")
                .then(|| section.number("limit_cost_per_s", 0.0..=1e12)),
        }
    }
}

impl Service {
    fn bind(section: &Section<'_>) -> Self {
        let kinds = [("model", Kind::Model), ("plain", Kind::Plain)];
        Self {
            name: section.string("name"),
            kind: section.choice("kind", &kinds).unwrap_or(Kind::Plain),
            version: section.string("version"),
            rollout_within_min: section.integer("rollout_within_min", 1..=MAX_ROLLOUT_MINUTES),
            checks_fencing: section.flag("checks_fencing"),
        }
    }
}

impl Request {
    fn bind(section: &Section<'_>) -> Self {
        Self {
            name: section.string("name"),
            service: section.string("service"),
            someone_waits: section.flag("someone_waits"),
            may_repeat: section.flag("may_repeat"),
            answer_within_s: section.number("answer_within_s", 0.001..=MAX_RESPONSE_SECONDS),
            longest_answer_words: section
                .has("longest_answer_words")
                .then(|| section.integer("longest_answer_words", 1..=MAX_RESPONSE_WORDS)),
            status_request: section.optional_string("status_request"),
        }
    }
}
