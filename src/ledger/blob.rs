use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Opaque bytes, encoded as base64 text in records.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Blob(pub Bytes);

impl From<Blob> for String {
    fn from(blob: Blob) -> Self {
        STANDARD.encode(&blob.0)
    }
}

impl TryFrom<String> for Blob {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        STANDARD.decode(text).map(|bytes| Self(bytes.into()))
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Blob({} bytes)", self.0.len())
    }
}
