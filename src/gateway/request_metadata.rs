use std::sync::Arc;

use crate::clock::Millis;

/// A segment of a prompt, which requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Segment {
    /// Id of the segment.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt of a request, as the caller declares it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Maximum number of tokens of the response.
    pub max_output_tokens: u64,
    /// Estimated tokens of the response.
    pub output_hint: Option<u64>,
    /// Segments in order; the last one belongs to the request or its session alone.
    pub segments: Vec<Segment>,
}

impl Prompt {
    /// Returns the maximum number of tokens of prompt and response together.
    #[must_use]
    pub fn total_tokens(&self) -> u64 {
        self.input_tokens + self.max_output_tokens
    }

    /// Returns the segments that other requests may share.
    #[must_use]
    pub fn shared_segments(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the ids of the segments that other requests may share.
    pub fn shared_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.shared_segments().iter().map(|segment| segment.id)
    }

    /// Returns the tokens of the segment that no other request shares.
    #[must_use]
    pub fn unique_tokens(&self) -> u64 {
        self.segments
            .last()
            .map_or(0, |segment| u64::from(segment.tokens))
    }

    /// Returns the id of the last shared segment, by which requests with the same prefix are routed
    /// to the same endpoint.
    #[must_use]
    pub fn affinity_key(&self) -> Option<u64> {
        self.shared_segments().last().map(|segment| segment.id)
    }
}

/// Header values of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the request, unique to each of the caller's attempts.
    pub id: Option<Arc<str>>,
    /// API key of the client account.
    pub api_key: Option<Arc<str>>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Millis>,
    /// Prompt, on requests to model engines.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received.
    pub resume_after: Option<u64>,
}
