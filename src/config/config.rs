use std::path::Path;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::{Document, Issue, Problems, Section};

use super::{Account, Route, Service};

/// The newest configuration format that this program reads and writes.
///
/// The rules of [`Config::validate`] belong to the format: all nodes have to agree on whether a
/// published configuration is valid, so a change of the rules needs a new number.
pub const FORMAT: u32 = 1;

/// Everything that all nodes have to agree on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Format number, see [`FORMAT`].
    pub format: u32,
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// How much each measure counts.
    pub weights: Weights,
    /// Names of the failure domains.
    pub failure_domains: Vec<Arc<str>>,
    /// Client accounts and their limits.
    pub client_accounts: Vec<Account>,
    /// Services and their desired versions.
    pub services: Vec<Service>,
    /// Routes that callers use.
    pub routes: Vec<Route>,
}

/// Weights of the measures, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the cost at the latency target.
    pub cost: f64,
    /// Weight of rollouts done in time and bad versions rolled back.
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

/// Reading.
impl Config {
    /// Reads and checks a configuration file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, and with all problems that it has.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        Ok(Self::from_document(&Document::load(path)?)?)
    }

    /// Checks a parsed configuration.
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

    /// Returns the share of rollouts in the weights, 0 to 1; a half when there are none.
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

/// Checks.
impl Config {
    /// Returns everything that contradicts the rules of the format.
    #[must_use]
    pub fn validate(&self) -> Vec<Issue> {
        let mut issues = Vec::new();
        if self.weights.cost + self.weights.rollout <= 0.0 {
            issues.push(Issue::new("weights", "at least one weight must be above 0"));
        }
        let domains = self.failure_domains.iter();
        names(&mut issues, "failure_domains", "", domains);
        let accounts = self.client_accounts.iter().map(|account| &account.name);
        names(&mut issues, "client_accounts", ".name", accounts);
        let services = self.services.iter().map(|service| &service.name);
        names(&mut issues, "services", ".name", services);
        let routes = self.routes.iter().map(|route| &route.name);
        names(&mut issues, "routes", ".name", routes);
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

/// Longest name in bytes; names become metric labels and parts of URL paths.
const MAX_NAME_BYTES: usize = 64;

/// Checks that a list of names isn't empty and that the names are well-formed and unique.
fn names<'a, I>(issues: &mut Vec<Issue>, list: &str, field: &str, names: I)
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
            issues.push(Issue::new(path, format!("the name `{name}` is used twice")));
        }
        seen.push(name);
    }
    if seen.is_empty() {
        issues.push(Issue::new(list, "at least one entry is required"));
    }
}
