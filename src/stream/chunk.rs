use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One generated token of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Number of the attempt that generated it, from 1.
    pub attempt: u32,
    /// Position in the response, from 0.
    pub offset: u32,
    /// Text of the token.
    pub text: Arc<str>,
}
