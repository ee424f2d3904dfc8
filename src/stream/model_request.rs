use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Millis;

/// An accepted model request: all that another node needs to continue it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRequest {
    /// Id of the request.
    pub id: Uuid,
    /// Client account that may read the response.
    pub account: Arc<str>,
    /// Service that generates it.
    pub service: Arc<str>,
    /// Route that the caller used.
    #[serde(default)]
    pub route: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens.
    pub max_tokens: u32,
    /// Priority at the engine, 0 is served first.
    pub priority: u8,
    /// Time by which the response has to be complete, since the Unix epoch; nodes have different
    /// monotonic clocks.
    pub deadline: Millis,
}
