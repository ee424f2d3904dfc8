use std::path::Path;
use std::sync::Arc;

use crate::config::Kind;
use crate::document::{Document, Issue, Problems, Section};

use super::Generated;

const MAX_IMPORTANCE: f64 = 100.0;
const MAX_MINUTES: u64 = 7 * 24 * 60;
const MAX_SECONDS: f64 = 24.0 * 60.0 * 60.0;
const MAX_WORDS: u64 = 500_000;

/// The answers of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct Answers {
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Importance of the cost at the latency target, relative to rollouts.
    pub cost_importance: f64,
    /// Importance of rollouts in time and of rollbacks, relative to the cost.
    pub rollout_importance: f64,
    /// Names of the failure domains.
    pub failure_domains: Vec<Arc<str>>,
    /// Who calls.
    pub client_accounts: Vec<Account>,
    /// What answers.
    pub services: Vec<Service>,
    /// What is asked.
    pub requests: Vec<Request>,
}

/// Size of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// Occasional use.
    Small,
    /// Steady use.
    Medium,
    /// A large part of all traffic.
    Large,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Unique name.
    pub name: Arc<str>,
    /// How much it uses.
    pub size: Size,
    /// Highest rate in cost units a second, if it is limited.
    pub limit_cost_per_s: Option<f64>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// What answers.
    pub kind: Kind,
    /// Version that should serve.
    pub version: Arc<str>,
    /// Minutes within which a new version has to serve all traffic.
    pub rollout_within_min: u64,
    /// Whether its endpoints refuse orders with an old fencing token.
    pub checks_fencing: bool,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Unique name.
    pub name: Arc<str>,
    /// The service that answers.
    pub service: Arc<str>,
    /// Whether somebody waits for the answer.
    pub someone_waits: bool,
    /// Whether it may be executed more than once without harm.
    pub may_repeat: bool,
    /// Seconds within which the whole answer is needed.
    pub answer_within_s: f64,
    /// Words in the longest answer of a model.
    pub longest_answer_words: Option<u64>,
    /// The request that tells what became of this one.
    pub status_request: Option<Arc<str>>,
}

impl Answers {
    /// Reads and checks a questionnaire file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, and with all problems that it has.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        Ok(Self::from_document(&Document::load(path)?)?)
    }

    /// Checks a parsed questionnaire, including the configuration that it leads to.
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

    /// Reports what the generated configuration would be refused for, at the answer behind it.
    fn validate(&self) -> Vec<Issue> {
        let issues = Generated::new(self).config.validate();
        issues
            .into_iter()
            .map(|issue| Issue::new(answer_path(&issue.path), issue.message))
            .collect()
    }
}

/// Maps the path of a configuration field to the path of the answer that it comes from.
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
        let anchored = if field.starts_with('.') {
            path.ends_with(field)
        } else {
            path.starts_with(field)
        };
        if anchored {
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
            rollout_within_min: section.integer("rollout_within_min", 1..=MAX_MINUTES),
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
            answer_within_s: section.number("answer_within_s", 0.001..=MAX_SECONDS),
            longest_answer_words: section
                .has("longest_answer_words")
                .then(|| section.integer("longest_answer_words", 1..=MAX_WORDS)),
            status_request: section.optional_string("status_request"),
        }
    }
}
