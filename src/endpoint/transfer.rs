use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Response to `POST /streams/{handle}/export`, after which the engine generates nothing more on
/// the stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Export {
    /// Name under which another engine imports the KV cache.
    pub kv: Arc<str>,
    /// Number of generated tokens that the KV cache covers.
    pub tokens: u32,
}

/// Body of `POST /import`; the response is the same as that of `POST /generate`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Import {
    /// Name of the exported KV cache.
    pub kv: Arc<str>,
    /// Id of the caller's request.
    pub request_id: Uuid,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}
