use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// An operator's order to move the requests of a service to endpoints of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: Arc<str>,
    /// The version that is rolled out.
    pub target: Arc<str>,
    /// Time within which the rollout has to be completed.
    pub duration: Millis,
}
