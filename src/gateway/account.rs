use std::sync::Arc;

/// How much a client account may ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate that may be asked for at once.
    pub burst: f64,
    /// Whether the units are tokens and not requests.
    pub counts_tokens: bool,
    /// Tokens that a request without a token count stands for.
    pub plain_tokens: f64,
}

impl Quota {
    /// Returns the units of a request with this number of tokens.
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
    /// Keys that its callers present.
    pub keys: Vec<Arc<str>>,
    /// Rank of its requests, which goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Present when the account is limited.
    pub quota: Option<Quota>,
}
