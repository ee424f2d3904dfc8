use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Position of a record in a stream, counted from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A record read from a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the stream.
    pub offset: Offset,
    /// The record's text.
    pub data: Arc<str>,
}

/// The response to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that is retained.
    pub earliest: Offset,
    /// Offset after the newest record.
    pub end: Offset,
    /// Records in offset order, from the requested offset or `earliest` on, whichever is later.
    pub records: Vec<Entry>,
}

/// Body of an append request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Append {
    /// Texts of the records, which are appended in this order without other records in between.
    pub records: Vec<Arc<str>>,
}

/// Body of the response to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Receipt {
    /// Offset of the first appended record.
    pub first_offset: Offset,
}
