use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;

use super::budget::RetryLimit;
use super::lease::Terms;
use super::pace::ColdTolerance;
use super::quota::Tolerance;
use super::rollout::ExposureLimit;

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of the node.
    pub node: Arc<str>,
    /// Failure domain of the node's host.
    pub domain: Arc<str>,
    /// Address for requests of callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address that lists the nodes that accept requests.
    pub directory: SocketAddr,
    /// Address for calls of other nodes.
    pub peer: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Addresses of other nodes to join through.
    pub seeds: Vec<SocketAddr>,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// Time within which a new configuration must be in force on all nodes.
    pub config_time_limit: Millis,
    /// Time within which an evacuation must be in force on all nodes, where operators order them.
    pub evacuation_time_limit: Option<Millis>,
    /// Time after which a leaving endpoint must not receive new requests.
    pub drain_time_limit: Millis,
    /// Limit on retries.
    pub retry_limit: RetryLimit,
    /// How far quotas may be exceeded.
    pub quota_tolerance: Tolerance,
    /// How far the rate that cold endpoints tolerate may be exceeded; none where it is not bounded.
    pub cold_tolerance: Option<ColdTolerance>,
    /// Limit on the requests that a version gets before it has proved itself.
    pub exposure_limit: ExposureLimit,
    /// Length of the windows of usage reports.
    pub usage_window: Millis,
    /// Time after the end of a window until which its usage report is accepted.
    pub usage_report_deadline: Millis,
    /// How long a lease is valid, and when other nodes may take it over.
    pub lease: Terms,
    /// Longest time that callers may cache an address.
    pub address_ttl: Millis,
    /// Interval of the endpoints' heartbeats.
    pub heartbeat: Millis,
    /// Maximum number of requests in flight at the node.
    pub max_requests: usize,
    /// Memory of the process, in bytes.
    pub memory: usize,
    /// Maximum number of file descriptors of the process.
    pub descriptors: usize,
    /// Whether the platform accepts usage reports.
    pub reports_usage: bool,
    /// Whether the platform accepts orders for endpoints.
    pub orders_endpoints: bool,
}

/// Heartbeats that an endpoint misses until its entry expires.
const MISSED_HEARTBEATS: u64 = 3;

/// Time within which nodes learn of an entry that expired.
const EXPIRY_NEWS_TIME: Millis = Millis(1_000);

impl Settings {
    /// Returns the time within which a record of the operator must be in force on all nodes.
    #[must_use]
    pub fn operator_time_limit(&self) -> Millis {
        let evacuation = self.evacuation_time_limit;
        evacuation.map_or(self.config_time_limit, |limit| {
            limit.min(self.config_time_limit)
        })
    }

    /// Returns the time after which the entry of an endpoint that was lost is known to be gone.
    #[must_use]
    pub fn endpoint_expiry(&self) -> Millis {
        Millis(self.heartbeat.0 * MISSED_HEARTBEATS) + EXPIRY_NEWS_TIME
    }

    /// Returns the first usage window whose report may still be accepted at this wall time.
    #[must_use]
    pub fn oldest_open_window(&self, wall: Millis) -> u64 {
        (wall - self.usage_report_deadline).0 / self.usage_window.0.max(1)
    }

    /// Returns the number of usage windows whose reports may still be accepted.
    #[must_use]
    pub fn open_windows(&self) -> usize {
        let due = self.usage_report_deadline.0 / self.usage_window.0.max(1);
        // Plus the current window and the one in which the report falls due.
        usize::try_from(due).unwrap_or(usize::MAX).saturating_add(2)
    }
}
