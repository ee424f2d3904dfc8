use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

use super::{Account, Route, Service};

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request has to arrive.
    pub header_timeout: Millis,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Millis(5_000),
            idle_timeout: Millis(60_000),
        }
    }
}

/// The configuration of a gateway: routes, services and client accounts.
///
/// A configuration is immutable; a newer version replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version; grows with each change.
    pub version: u64,
    /// Routes, longest prefix first.
    routes: Vec<Arc<Route>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    accounts: Vec<Arc<Account>>,
    /// Index into `accounts` by API key.
    keys: HashMap<Arc<str>, usize>,
    /// Limits on what a caller may send.
    pub limits: Limits,
}

/// Construction.
impl Config {
    /// Creates a configuration. A key that occurs in several accounts belongs to the first of them.
    #[must_use]
    pub fn new(
        version: u64,
        mut routes: Vec<Arc<Route>>,
        services: Vec<Service>,
        accounts: Vec<Account>,
        limits: Limits,
    ) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        let mut keys = HashMap::new();
        for (index, account) in accounts.iter().enumerate() {
            for key in &account.keys {
                keys.entry(Arc::clone(key)).or_insert(index);
            }
        }
        Self {
            version,
            routes,
            services: services
                .into_iter()
                .map(|service| (Arc::clone(&service.name), Arc::new(service)))
                .collect(),
            accounts: accounts.into_iter().map(Arc::new).collect(),
            keys,
            limits,
        }
    }
}

/// Lookup.
impl Config {
    /// Returns the route of a request: the one with the longest matching prefix among those of its
    /// host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .find(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix))
    }

    /// Returns the account that a key belongs to.
    #[must_use]
    pub fn account_by_key(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(key).map(|index| &self.accounts[*index])
    }

    /// Returns an account by its name.
    #[must_use]
    pub fn account_by_name(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.iter().find(|account| &*account.name == name)
    }

    /// Returns whether there are any accounts, in which case callers have to present a key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns all accounts.
    #[must_use]
    pub fn accounts(&self) -> &[Arc<Account>] {
        &self.accounts
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns all routes.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}
