use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Account, Route, Service};

/// The newest configuration format that this program reads and writes.
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
