use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One generated token of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Attempt that generated it, from 1.
    pub attempt: u32,
    /// Position in the response, from 0.
    pub offset: u32,
    /// The text.
    pub text: Arc<str>,
}
