use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::log::Offset;

use super::{Change, Projection};

/// A record of the `control` stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Publishes a configuration that was made from the version `base`.
    Publish {
        /// Unique id of the attempt, by which its writer finds the record.
        id: uuid::Uuid,
        /// Version that was active when the configuration was made; `None` for the first one.
        base: Option<Offset>,
        /// Name of the operator who published it.
        operator: Arc<str>,
        /// The configuration.
        config: Box<Config>,
    },
    /// State up to an offset, from which a reader continues when older records have expired.
    Checkpoint(Box<Projection>),
    /// Changes a rollout or a claim.
    #[serde(untagged)]
    Change(Change),
}
