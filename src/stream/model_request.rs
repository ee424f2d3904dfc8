use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Millis;

/// An accepted model request, with all that another node needs to continue it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRequest {
    /// Id of the request.
    pub id: Uuid,
    /// Client account that may read the response.
    pub account: Arc<str>,
    /// Service that generates the response.
    pub service: Arc<str>,
    /// Route that the caller used.
    #[serde(default)]
    pub route: Arc<str>,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// Priority at the engine; 0 is served first.
    pub priority: u8,
    /// Time since the Unix epoch by which the response must be complete; the monotonic clocks of
    /// nodes are not comparable.
    pub deadline: Millis,
}
