use std::sync::Arc;

use crate::rollout::{Arm, Exposure, choose_version, endpoints_in_use};

use super::Endpoint;

/// Traffic split of a service between versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Serving version, or the old version during a rollout.
    pub old: Arc<str>,
    /// Version that is being rolled out, and how much traffic it gets.
    pub new: Option<(Arc<str>, Exposure)>,
}

impl Split {
    /// Chooses the version for a request, and counts a request to the new version against the
    /// budget of its stage.
    ///
    /// If the chosen version has no endpoints, the other version of the rollout gets the request,
    /// never a third one.
    pub(super) fn choose(&mut self, draw: f64, has_endpoints: impl Fn(&str) -> bool) -> Arc<str> {
        let Some((new, exposure)) = &mut self.new else {
            return Arc::clone(&self.old);
        };
        let arm = choose_version(exposure, draw);
        if (arm == Arm::New && has_endpoints(new)) || !has_endpoints(&self.old) {
            exposure.sent = exposure.sent.saturating_add(1);
            return Arc::clone(new);
        }
        Arc::clone(&self.old)
    }

    /// Returns whether a version is the one that is being rolled out.
    pub(super) fn is_new(&self, version: &str) -> bool {
        self.new.as_ref().is_some_and(|(new, _)| **new == *version)
    }

    /// Returns how many of a version's endpoints get requests.
    pub(super) fn in_use(&self, version: &str, endpoints: usize) -> usize {
        match &self.new {
            Some((new, exposure)) if **new == *version => {
                endpoints_in_use(exposure.stage.map_or(0.0, |stage| stage.share), endpoints)
            }
            _ => endpoints,
        }
    }
}

impl Endpoint {
    /// Returns the version that the endpoint serves, from its load report or else the host list.
    #[must_use]
    pub fn version(&self) -> &Arc<str> {
        if self.load.version.is_empty() {
            &self.host.version
        } else {
            &self.load.version
        }
    }
}
