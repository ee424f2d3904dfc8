//! Load answered: several services, each with endpoints of its own kind.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Coefficients, Profile};

/// The profiles of the services.
#[derive(Debug, Default)]
pub struct Profiles {
    by_service: HashMap<Arc<str>, Profile>,
    unknown: Profile,
}

impl Profiles {
    /// Returns the profile of a service.
    #[must_use]
    pub fn get(&self, service: &str) -> &Profile {
        self.by_service.get(service).unwrap_or(&self.unknown)
    }

    /// Returns the profile of a service, to record observations. The number of services is bounded by
    /// the registered endpoints.
    pub fn get_mut(&mut self, service: &Arc<str>) -> &mut Profile {
        self.by_service.entry(Arc::clone(service)).or_default()
    }

    /// Returns what a starting node needs to know of each service.
    #[must_use]
    pub fn coefficients(&self) -> Vec<(Arc<str>, Coefficients)> {
        let known = self.by_service.iter();
        known
            .filter_map(|(service, profile)| Some((Arc::clone(service), profile.coefficients()?)))
            .collect()
    }
}
