use serde::{Deserialize, Serialize};

use super::{Chunk, Phase};

/// Position up to which a caller has received a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Number of received chunks, which is the offset of the next one.
    #[serde(default)]
    pub offset: u32,
    /// Attempt of the last received chunk; a caller that does not send it may have to restart at
    /// an earlier offset than necessary.
    #[serde(default)]
    pub attempt: Option<u32>,
}

/// Next part of a response for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Set when the caller must discard its text from an offset on before it appends the chunks.
    pub restart: Option<Restart>,
    /// Chunks to append.
    pub chunks: Vec<Chunk>,
    /// Phase after these chunks.
    pub phase: Phase,
    /// Cursor of the caller after these chunks.
    pub cursor: Cursor,
}

/// Notifies a caller that its text from an offset on belongs to an abandoned attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restart {
    /// Attempt that generates the text from the offset on.
    pub attempt: u32,
    /// Number of chunks that stay valid.
    pub offset: u32,
}
