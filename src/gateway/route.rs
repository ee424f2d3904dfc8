use std::sync::Arc;

use crate::clock::Millis;

use super::capacity::Targets;

/// Whether and how the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    Never,
    /// A stream may resume at another endpoint after the last event that the caller received.
    Resume,
}

/// The share of a route's traffic that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// A routing rule: which requests match, which services receive them, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host name that requests must have.
    pub host: Arc<str>,
    /// Path prefix that requests must have; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether and how requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// Time within which the final response is due.
    pub timeout: Millis,
    /// Latency target of a response, or of the first event of a stream.
    pub target_latency: Millis,
    /// Target for the longest gap between two events of a stream.
    pub gap_target: Option<Millis>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the traffic; never empty.
    pub shares: Vec<Share>,
    /// Maximum number of endpoints that may receive one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub anonymous: bool,
}

impl Route {
    /// Returns what the callers need.
    #[must_use]
    pub fn targets(&self) -> Targets {
        Targets {
            latency: self.target_latency,
            gap: self.gap_target,
        }
    }

    /// Picks a service by weight, for a random number from 0 to 1; `None` if no weight is positive.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut rest = draw * total;
        for share in &self.shares {
            if share.weight > 0.0 && rest < share.weight {
                return Some(&share.service);
            }
            rest -= share.weight;
        }
        self.shares
            .iter()
            .rev()
            .find(|share| share.weight > 0.0)
            .map(|share| &share.service)
    }
}
