use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Answer to `POST /streams/{handle}/export`; the engine generates nothing more on the stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Export {
    /// Name under which another engine imports the KV cache.
    pub kv: Arc<str>,
    /// Generated tokens that it covers.
    pub tokens: u32,
}

/// Body of `POST /import`; the answer is that of `POST /generate`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Import {
    /// Name of the exported KV cache.
    pub kv: Arc<str>,
    /// Id of the caller's request.
    pub request_id: Uuid,
    /// Number of the attempt.
    pub attempt: u32,
}
