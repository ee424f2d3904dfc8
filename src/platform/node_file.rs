use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use eyre::{WrapErr, bail};
use serde::Deserialize;

use crate::clock::Millis;
use crate::gateway::{RetryLimit, Settings, Terms, Tolerance};

/// Time for which the holder of a lease acts after the start of a renewal. It bears two lost
/// renewals.
const LEASE_USE: Millis = Millis(2_500);

/// Time beyond [`LEASE_USE`] for which others respect the lease: the longest call and its way.
const LEASE_MARGIN: Millis = Millis(1_300);

/// Longest time for which callers may keep an answer of the directory.
const ADDRESS_TTL: Millis = Millis(2_000);

/// Descriptors that a request may need: its own connection and one to an endpoint, with room.
const DESCRIPTORS_PER_REQUEST: usize = 4;

/// Memory that a request may need, in MB: its body and what waits for a slow caller.
const REQUESTS_PER_MB: usize = 4;

/// The settings file that the platform gives to each process; fields that are not used are passed
/// over.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeFile {
    node_name: Arc<str>,
    /// Failure domain.
    zone: Arc<str>,
    port_range: (u16, u16),
    /// `control` addresses of other nodes, which may be stale.
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    heartbeat_ms: u64,
    listen: Listen,
    limits: Limits,
    bounds: Bounds,
    platform: Platform,
    cloud: Option<Cloud>,
}

#[derive(Clone, Debug, Deserialize)]
struct Listen {
    front: SocketAddr,
    ready: SocketAddr,
    /// Address for other nodes: the platform calls nothing there.
    control: SocketAddr,
    directory: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
struct Limits {
    memory_mb: usize,
    max_fds: usize,
}

#[derive(Clone, Debug, Deserialize)]
struct Bounds {
    grace_s: f64,
    /// Time within which a configuration has to be in force everywhere.
    config_apply_ms: f64,
    /// Time after which an endpoint that leaves may get no new work, not the time that it drains for.
    drain_ms: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    budget_slack: f64,
    /// Part by which an account may have more than its quota in a window, not of a node's share.
    #[serde(default)]
    quota_overage: f64,
    /// Units that an account may have besides in a window.
    #[serde(default)]
    quota_slack: f64,
    #[serde(default = "quota_window")]
    quota_window_s: f64,
    usage_window_s: f64,
    usage_late_s: f64,
    ttl_max_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
struct Platform {
    address: SocketAddr,
    form: Arc<str>,
}

#[derive(Clone, Debug, Deserialize)]
struct Cloud {
    address: SocketAddr,
    #[serde(default)]
    duties: Vec<Arc<str>>,
}

/// Reading.
impl NodeFile {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, or with all problems of its fields.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("settings file {}", path.display()))
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails with all problems of its fields.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let file: Self = toml::from_str(text)?;
        let problems = file.problems();
        if !problems.is_empty() {
            bail!("{}", problems.join("; "));
        }
        Ok(file)
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |holds: bool, problem: &str| {
            if !holds {
                problems.push(problem.to_owned());
            }
        };
        check(!self.node_name.is_empty(), "node_name is empty");
        check(!self.zone.is_empty(), "zone is empty");
        check(
            self.port_range.0 <= self.port_range.1,
            "port_range is empty",
        );
        check(
            self.limits.memory_mb > 0,
            "limits.memory_mb has to be positive",
        );
        check(self.limits.max_fds > 0, "limits.max_fds has to be positive");
        check(
            &*self.platform.form == "log",
            "platform.form has to be `log`",
        );
        let bounds = &self.bounds;
        let times = [
            ("grace_s", bounds.grace_s),
            ("config_apply_ms", bounds.config_apply_ms),
            ("drain_ms", bounds.drain_ms),
            ("budget_window_s", bounds.budget_window_s),
            ("usage_window_s", bounds.usage_window_s),
            ("usage_late_s", bounds.usage_late_s),
            ("ttl_max_s", bounds.ttl_max_s),
        ];
        for (name, time) in times {
            check(time > 0.0, &format!("bounds.{name} has to be positive"));
        }
        check(
            bounds.retry_budget_ratio >= 0.0,
            "bounds.retry_budget_ratio is negative",
        );
        check(
            bounds.budget_slack >= 0.0,
            "bounds.budget_slack is negative",
        );
        check(
            bounds.quota_overage >= 0.0 && bounds.quota_slack >= 0.0,
            "bounds.quota_overage or bounds.quota_slack is negative",
        );
        problems
    }
}

/// Translation.
impl NodeFile {
    /// Returns the address of the platform's store.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.platform.address
    }

    /// Returns the address of the interface for duties; the store's, which refuses, without one.
    #[must_use]
    pub fn cloud(&self) -> SocketAddr {
        self.cloud
            .as_ref()
            .map_or(self.platform.address, |cloud| cloud.address)
    }

    /// Returns the gateway's settings.
    #[must_use]
    pub fn settings(&self) -> Settings {
        let bounds = &self.bounds;
        let duty = |name: &str| {
            let duties = self.cloud.as_ref().map(|cloud| &cloud.duties);
            duties.is_some_and(|duties| duties.iter().any(|duty| &**duty == name))
        };
        let metrics = SocketAddr::new(self.listen.front.ip(), self.port_range.0);
        let by_descriptors = self.limits.max_fds / DESCRIPTORS_PER_REQUEST;
        let by_memory = self.limits.memory_mb * REQUESTS_PER_MB;
        Settings {
            node: Arc::clone(&self.node_name),
            domain: Arc::clone(&self.zone),
            front: self.listen.front,
            ready: self.listen.ready,
            directory: self.listen.directory,
            peer: self.listen.control,
            metrics,
            seeds: self.seeds.clone(),
            grace: seconds(bounds.grace_s),
            config_time_limit: Millis(bounds.config_apply_ms as u64),
            drain_time_limit: Millis(bounds.drain_ms as u64),
            retry_limit: RetryLimit {
                ratio: bounds.retry_budget_ratio,
                window: seconds(bounds.budget_window_s),
                slack: bounds.budget_slack,
            },
            quota_tolerance: Tolerance {
                overage: bounds.quota_overage,
                slack: bounds.quota_slack,
                window: seconds(bounds.quota_window_s),
            },
            usage_window: seconds(bounds.usage_window_s),
            usage_report_deadline: seconds(bounds.usage_late_s),
            lease: Terms {
                valid_for: LEASE_USE,
                takeover_after: LEASE_USE + LEASE_MARGIN,
            },
            address_ttl: ADDRESS_TTL.min(seconds(bounds.ttl_max_s)),
            heartbeat: Millis(self.heartbeat_ms),
            max_requests: by_descriptors.min(by_memory),
            reports_usage: duty("usage_report"),
            orders_endpoints: duty("autoscale"),
        }
    }
}

/// Window of quotas, in seconds, where none is stated: without a tolerance it has no effect.
const fn quota_window() -> f64 {
    1.0
}

fn seconds(seconds: f64) -> Millis {
    Millis((seconds * 1_000.0) as u64)
}
