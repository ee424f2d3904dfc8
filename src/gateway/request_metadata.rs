use std::sync::Arc;

use crate::clock::Millis;

/// A part of a prompt; requests share parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Segment {
    /// Number that identifies the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a request declares about its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Most tokens of the response.
    pub max_output_tokens: u64,
    /// Estimate of the tokens of the response.
    pub output_hint: Option<u64>,
    /// Parts in order; the last one belongs to the request or its session alone.
    pub segments: Vec<Segment>,
}

impl Prompt {
    /// Returns the tokens of prompt and response together.
    #[must_use]
    pub fn total_tokens(&self) -> u64 {
        self.input_tokens + self.max_output_tokens
    }

    /// Returns the parts that other requests share.
    #[must_use]
    pub fn shared_segments(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the tokens of the part that no other request shares.
    #[must_use]
    pub fn unique_tokens(&self) -> u64 {
        self.segments
            .last()
            .map_or(0, |part| u64::from(part.tokens))
    }

    /// Returns the number of the longest shared prefix, by which requests of one subject meet at
    /// the same endpoint.
    #[must_use]
    pub fn affinity_key(&self) -> Option<u64> {
        self.shared_segments().last().map(|part| part.id)
    }
}

/// What a caller says of a request in its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller.
    pub id: Option<Arc<str>>,
    /// Key of the client account.
    pub api_key: Option<Arc<str>>,
    /// Time for which the caller waits.
    pub timeout: Option<Millis>,
    /// Present on requests to model engines.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
}
