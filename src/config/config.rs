use std::path::Path;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::{Document, Issue, Problems, Section};

use super::{Account, Route, Service};

/// Version of the configuration format that this program writes, and the newest one that it reads.
///
/// The rules of [`Config::validate`] are part of the format: all nodes have to agree on whether a
/// published configuration is valid, so a change of the rules requires a new format number.
pub const FORMAT: u32 = 1;

/// The configuration that all nodes of a deployment share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version of the format, see [`FORMAT`].
    pub format: u32,
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Weights of the deployment's objectives.
    pub weights: Weights,
    /// Names of the failure domains.
    pub failure_domains: Vec<Arc<str>>,
    /// Client accounts with their weights and rate limits.
    pub client_accounts: Vec<Account>,
    /// Services and their desired versions.
    pub services: Vec<Service>,
    /// Routes that callers use.
    pub routes: Vec<Route>,
}

/// Weights of the deployment's objectives, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of a low cost at the latency target.
    pub cost: f64,
    /// Weight of rollouts that finish in time and roll back faulty versions.
    pub rollout: f64,
}

/// Lookup by name.
impl Config {
    /// Returns the route with this name.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| &*route.name == name)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns the client account with this name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.client_accounts
            .iter()
            .find(|account| &*account.name == name)
    }
}

/// Parsing.
impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or isn't valid YAML, and with all problems of the
    /// configuration.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        Ok(Self::from_document(&Document::load(path)?)?)
    }

    /// Converts a YAML document to a configuration and validates it.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the document.
    pub fn from_document(document: &Document) -> Result<Self, Problems> {
        document.bind_checked(Self::bind, Self::validate)
    }

    fn bind(section: &Section<'_>) -> Self {
        let format = section.integer("format", 1..=u64::from(FORMAT));
        Self {
            format: u32::try_from(format).unwrap_or(FORMAT),
            deployment: section.string("deployment"),
            weights: section
                .section("weights", Weights::bind)
                .unwrap_or(Weights::EQUAL),
            failure_domains: section.names("failure_domains"),
            client_accounts: section.list("client_accounts", Account::bind),
            services: section.list("services", Service::bind),
            routes: section.list("routes", Route::bind),
        }
    }
}

impl Weights {
    /// Equal weights.
    pub const EQUAL: Self = Self {
        cost: 0.5,
        rollout: 0.5,
    };

    /// Returns the weight of rollouts as a share of both weights, from 0 to 1; 0.5 when both are 0.
    #[must_use]
    pub fn rollout_share(&self) -> f64 {
        let sum = self.cost + self.rollout;
        if sum > 0.0 { self.rollout / sum } else { 0.5 }
    }

    fn bind(section: &Section<'_>) -> Self {
        Self {
            cost: section.number("cost", 0.0..=1.0),
            rollout: section.number("rollout", 0.0..=1.0),
        }
    }
}

/// Validation.
impl Config {
    /// Returns all violations of the rules of the format.
    #[must_use]
    pub fn validate(&self) -> Vec<Issue> {
        let mut issues = Vec::new();
        if self.weights.cost + self.weights.rollout <= 0.0 {
            issues.push(Issue::new("weights", "at least one weight must be above 0"));
        }
        let domains = self.failure_domains.iter();
        validate_names(&mut issues, "failure_domains", "", domains);
        let accounts = self.client_accounts.iter().map(|account| &account.name);
        validate_names(&mut issues, "client_accounts", ".name", accounts);
        let services = self.services.iter().map(|service| &service.name);
        validate_names(&mut issues, "services", ".name", services);
        let routes = self.routes.iter().map(|route| &route.name);
        validate_names(&mut issues, "routes", ".name", routes);
        for (index, account) in self.client_accounts.iter().enumerate() {
            account.validate(&format!("client_accounts[{index}]"), &mut issues);
        }
        for (index, service) in self.services.iter().enumerate() {
            service.validate(&format!("services[{index}]"), &mut issues);
        }
        for (index, route) in self.routes.iter().enumerate() {
            route.validate(&format!("routes[{index}]"), self, &mut issues);
        }
        issues
    }
}

/// Maximum length of a name in bytes. Names become metric labels and segments of URL paths.
const MAX_NAME_BYTES: usize = 64;

/// Checks that the list at the path `list` isn't empty and that its names are well-formed and
/// unique.
///
/// `field` is the path of the name within an entry, or empty for a list of strings.
fn validate_names<'a, I>(issues: &mut Vec<Issue>, list: &str, field: &str, names: I)
where
    I: Iterator<Item = &'a Arc<str>>,
{
    let mut seen: Vec<&str> = Vec::new();
    for (index, name) in names.enumerate() {
        let path = format!("{list}[{index}]{field}");
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            let message = format!(
                "expected 1 to {MAX_NAME_BYTES} characters of a-z, 0-9, `-`, `_` and `.`, found `{name}`"
            );
            issues.push(Issue::new(path, message));
        } else if seen.contains(&&**name) {
            issues.push(Issue::new(path, format!("duplicate name `{name}`")));
        }
        seen.push(name);
    }
    if seen.is_empty() {
        issues.push(Issue::new(list, "at least one entry is required"));
    }
}
