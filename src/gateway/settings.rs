use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;

use super::budget::RetryLimit;
use super::lease::Terms;
use super::quota::Tolerance;

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of the node.
    pub node: Arc<str>,
    /// Failure domain of the node's host.
    pub domain: Arc<str>,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address that tells whether the node takes requests.
    pub ready: SocketAddr,
    /// Address that tells callers which nodes take requests.
    pub directory: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Addresses of other nodes to start from.
    pub seeds: Vec<SocketAddr>,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// Time within which a configuration has to be in force.
    pub config_bound: Millis,
    /// Time after which an endpoint that leaves may get no new work.
    pub drain_bound: Millis,
    /// Limit of repeated sends.
    pub retry_limit: RetryLimit,
    /// How exactly quotas are kept.
    pub quota_tolerance: Tolerance,
    /// Length of a window of the usage report.
    pub usage_window: Millis,
    /// Time after the end of a window until which its report is taken.
    pub usage_due: Millis,
    /// How long a lease is used and respected.
    pub lease: Terms,
    /// Longest time that callers may keep an address.
    pub address_ttl: Millis,
    /// Interval at which endpoints state that they live.
    pub heartbeat: Millis,
    /// Most requests at the same time.
    pub max_requests: usize,
    /// Whether the platform takes usage reports.
    pub reports_usage: bool,
    /// Whether the platform takes orders for endpoints.
    pub orders_endpoints: bool,
}

impl Settings {
    /// Returns the number of windows of usage whose reports may still be taken.
    #[must_use]
    pub fn open_windows(&self) -> usize {
        let due = self.usage_due.0 / self.usage_window.0.max(1);
        // The present window, and the one in which the report is due.
        usize::try_from(due).unwrap_or(usize::MAX).saturating_add(2)
    }
}
