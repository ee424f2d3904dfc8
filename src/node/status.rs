use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::Summary;
use crate::log::Offset;

use super::Node;
use super::lifecycle::Stage;

/// Status of a node, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node.
    pub node: Arc<str>,
    /// `ready`, `starting` or `stopping`.
    pub state: Arc<str>,
    /// Version of the active configuration.
    pub version: Option<Offset>,
    /// Operator who published it.
    pub operator: Option<Arc<str>>,
    /// Why the last control record that had no effect was rejected, with its offset.
    pub refused: Option<String>,
    /// The newest rollout of each service.
    #[serde(default)]
    pub rollouts: Vec<Summary>,
}

impl Node {
    /// Returns the node's status.
    pub(super) fn status(&self) -> Status {
        let active = self.active.load_full();
        let state = if self.lifecycle.stage() != Stage::Serving {
            "stopping"
        } else if active.is_some() {
            "ready"
        } else {
            "starting"
        };
        Status {
            node: Arc::clone(&self.settings.name),
            state: state.into(),
            version: active.as_ref().map(|active| active.version),
            operator: active.as_ref().map(|active| Arc::clone(&active.operator)),
            refused: self.last_rejection.load().as_deref().cloned(),
            rollouts: self.rollouts.summaries(),
        }
    }
}
