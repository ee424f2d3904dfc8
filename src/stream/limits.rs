use serde::Serialize;

use crate::clock::Millis;

/// Bounds of the responses that a node holds, backup copies included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Most responses.
    pub count: usize,
    /// Memory of requests and responses above which no new one is accepted.
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
            // Longer than a phone takes to change from one network to another.
            abandoned_ms: Millis::from_secs(30),
        }
    }
}
