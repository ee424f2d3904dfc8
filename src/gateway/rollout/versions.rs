use std::sync::Arc;

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
    /// A few endpoints of one version, so that each of them is as loaded as in general use: a fault
    /// that shows only under load is found while few requests are exposed to it.
    Sample(Arc<str>),
}

impl Versions {
    /// Returns whether endpoints of a version are among them.
    #[must_use]
    pub fn admits(&self, version: &str) -> bool {
        match self {
            Self::All => true,
            Self::Except(excluded) => **excluded != *version,
            Self::Only(wanted) | Self::Sample(wanted) => **wanted == *version,
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
