use serde::Serialize;

use crate::clock::Millis;

/// The outcome of a routing decision.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Choice<K> {
    /// The chosen endpoint.
    pub key: K,
    /// Expected time to first token in milliseconds, with the price term.
    pub expected_ms: f64,
    /// Prompt tokens that the endpoint probably has cached.
    pub matched_tokens: u32,
    /// Endpoints whose expected times were compared.
    pub scored: usize,
    /// Time of the decision.
    pub at: Millis,
}
