use std::sync::Arc;

use super::Sample;

/// The versions of a service whose endpoints may get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Versions {
    /// All of them.
    #[default]
    All,
    /// All but one.
    Except(Arc<str>),
    /// Only one.
    Only(Arc<str>),
    /// This many endpoints of one version, so that each of them is as loaded as in general use: a fault
    /// that shows only under load is found while few requests are exposed to it.
    Sample(Arc<str>, usize),
}

impl Versions {
    /// Returns whether endpoints of a version are among them.
    #[must_use]
    pub fn admits(&self, version: &str) -> bool {
        match self {
            Self::All => true,
            Self::Except(excluded) => **excluded != *version,
            Self::Only(wanted) | Self::Sample(wanted, _) => **wanted == *version,
        }
    }
}

/// The versions that get a request, and those that get it if no endpoint of the first ones can.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Preference {
    /// The preferred versions.
    pub first: Versions,
    /// The versions that get the request if no preferred endpoint accepts it.
    pub fallback: Option<Versions>,
    /// The versions that get the request if there is no endpoint of the others at all.
    pub last_resort: Option<Versions>,
}

impl Preference {
    /// Returns the preference for a version that gets all requests.
    pub(super) fn all(target: Arc<str>) -> Self {
        Self {
            first: Versions::Only(Arc::clone(&target)),
            fallback: Some(Versions::Except(target)),
            last_resort: None,
        }
    }

    /// Returns the preference for all versions but this one.
    pub(super) fn others(target: Arc<str>) -> Self {
        Self {
            first: Versions::Except(Arc::clone(&target)),
            fallback: None,
            last_resort: Some(Versions::Only(target)),
        }
    }

    /// Returns the preference for a sample of this version's endpoints.
    pub(super) fn sample(target: Arc<str>, sample: &Sample) -> Self {
        Self {
            first: Versions::Sample(Arc::clone(&target), sample.endpoints),
            fallback: Some(Versions::Except(target)),
            last_resort: None,
        }
    }
}
