use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{ModelRequest, Phase, Source};

/// An attempt and the offset at which it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Number of the attempt.
    pub attempt: u32,
    /// Offset of its first chunk.
    pub start: u32,
}

/// A part of a response that is sent to a backup copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Id of the request.
    pub id: Uuid,
    /// All attempts that have generated chunks, and the current one.
    pub runs: Vec<Run>,
    /// Offset of the first text.
    pub offset: u32,
    /// Texts of the chunks from `offset` on.
    pub texts: Vec<String>,
    /// The engine stream that the response is read from.
    pub source: Option<Source>,
    /// Phase after these chunks.
    pub phase: Phase,
}

/// A whole response that is sent to another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The request.
    #[serde(rename = "work")]
    pub request: ModelRequest,
    /// The response so far, from offset 0.
    pub progress: Progress,
}
