//! Load answered: requests that reach endpoints of unequal speed and unequal load.

/// What a request meets at an endpoint when it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Conditions {
    /// Prompt tokens to prefill before its first event, its own and those ahead of it.
    pub tokens: u64,
    /// Requests that the endpoint has.
    pub outstanding: f64,
    /// Time that other nodes' requests ahead of it take beyond the usual, in milliseconds.
    pub backlog_ms: f64,
    /// Time that work takes, relative to an endpoint of usual speed on a host of its own.
    pub scale: f64,
}

impl Conditions {
    /// Returns the same load without what other nodes' requests add to the usual.
    #[must_use]
    pub fn without_backlog(self) -> Self {
        Self {
            backlog_ms: 0.0,
            ..self
        }
    }

    /// Returns the same load at an endpoint of usual speed.
    #[must_use]
    pub fn at_usual_speed(self) -> Self {
        Self { scale: 1.0, ..self }
    }
}
