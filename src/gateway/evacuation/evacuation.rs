use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::Revision;

/// What is known of the evacuation of a failure domain, and as of which revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether it is ordered; else the order was removed.
    pub in_force: bool,
    /// Offset of the latest known order in the operator's topic.
    pub order: u64,
    /// Revision as of which this is known.
    pub revision: Revision,
}

impl Evacuation {
    /// Returns whether this replaces what is known: it is later, or as late and says that the order
    /// was removed, which another node may have known before a restore of the store.
    #[must_use]
    pub fn replaces(&self, known: &Self) -> bool {
        let age = |evacuation: &Self| (evacuation.revision, !evacuation.in_force);
        age(self) > age(known)
    }
}
