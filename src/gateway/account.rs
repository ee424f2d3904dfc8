use std::sync::Arc;

/// The rate limit of a client account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Whether units are tokens instead of requests.
    pub counts_tokens: bool,
    /// Tokens that a request without a token count is charged.
    pub plain_tokens: f64,
}

impl Quota {
    /// Returns the units that a request with this number of tokens costs.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match tokens {
            _ if !self.counts_tokens => 1.0,
            Some(tokens) => tokens as f64,
            None => self.plain_tokens,
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name.
    pub name: Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Priority of its requests, which outranks the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Rate limit; `None` if the account is not limited.
    pub quota: Option<Quota>,
}
