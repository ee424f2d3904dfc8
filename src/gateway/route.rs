use std::sync::Arc;

use crate::clock::Millis;

/// What may be repeated of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    Never,
    /// A stream may go on at another endpoint after the last event that the caller has.
    Resume,
}

/// A part of a route's traffic that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Weight among the shares of the route.
    pub weight: f64,
}

/// Where requests of a host and path go, and how they may be treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host name that the caller asks for.
    pub host: Arc<str>,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// Time after which a request has its final answer.
    pub timeout: Millis,
    /// Time within which a response, or the first event of a stream, is on time.
    pub target_latency: Millis,
    /// Longest pause between two events of a stream that is on time.
    pub gap_target: Option<Millis>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the traffic; never empty.
    pub shares: Vec<Share>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the service for a draw from 0 to 1.
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
