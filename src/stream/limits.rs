use serde::Serialize;

use crate::clock::Millis;

/// Limits of the responses that a node stores, including backup copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Maximum number of responses.
    pub count: usize,
    /// Memory usage of requests and responses, in bytes, at which no new ones are accepted.
    pub bytes: usize,
    /// Time for which a finished response stays available to a caller that reconnects.
    pub retention_ms: Millis,
    /// Time without any caller after which a response is cancelled.
    pub abandoned_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            count: 16_384,
            // Half of the 128 MB that a node may take.
            bytes: 64 * 1024 * 1024,
            retention_ms: Millis::from_secs(60),
            // Longer than a phone needs to switch from one network to another.
            abandoned_ms: Millis::from_secs(30),
        }
    }
}
