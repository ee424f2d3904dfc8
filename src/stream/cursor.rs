use serde::{Deserialize, Serialize};

use super::{Chunk, Phase};

/// What a caller has received of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Number of chunks, which is the offset of the next one.
    #[serde(default)]
    pub offset: u32,
    /// Attempt of the last chunk; a caller that does not tell it may have to restart at an
    /// earlier offset than necessary.
    #[serde(default)]
    pub attempt: Option<u32>,
}

/// The next part of a response for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Set when the caller has to discard its text from this offset on before it appends.
    pub restart: Option<Restart>,
    /// The chunks that follow.
    pub chunks: Vec<Chunk>,
    /// Phase after these chunks.
    pub phase: Phase,
    /// The caller's cursor after these chunks.
    pub cursor: Cursor,
}

/// Tells a caller that its text after an offset belongs to an abandoned sampling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restart {
    /// Attempt that generates the text from the offset on.
    pub attempt: u32,
    /// Number of chunks that stay valid.
    pub offset: u32,
}
