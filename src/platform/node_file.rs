use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use eyre::{WrapErr, bail};
use serde::Deserialize;

use crate::clock::Millis;
use crate::gateway::rollout::ExposureLimit;
use crate::gateway::{ColdTolerance, RetryLimit, Settings, Terms, Tolerance};

/// Time after the start of a renewal for which a lease is valid. The holder keeps it if two
/// renewals in a row are lost.
const LEASE_VALIDITY: Millis = Millis(2_500);

/// Time after [`LEASE_VALIDITY`] before another node may take the lease over: the longest call of
/// the holder, with its time on the network.
const LEASE_TAKEOVER_MARGIN: Millis = Millis(1_300);

/// Longest time for which callers may cache a response of the directory.
const ADDRESS_TTL: Millis = Millis(2_000);

/// File descriptors reserved for a request: its own connection and one to an endpoint, with a
/// margin.
const DESCRIPTORS_PER_REQUEST: usize = 4;

/// Requests that fit into 1 MB of memory, each with its body and the response data that is buffered
/// for a slow caller.
const REQUESTS_PER_MB: usize = 4;

/// The settings file that the platform gives to each process; unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeFile {
    node_name: Arc<str>,
    /// Failure domain.
    zone: Arc<str>,
    port_range: (u16, u16),
    /// `control` addresses of other nodes; they may be out of date.
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
    /// Address for calls of other nodes; the platform does not use it.
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
    /// Time within which a configuration must be in force on all nodes.
    config_apply_ms: f64,
    /// Time within which an evacuation must be in force on all nodes.
    evacuation_ms: Option<f64>,
    /// Time after which a leaving endpoint must not receive new requests; not the time that it
    /// takes to drain.
    drain_ms: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    budget_slack: f64,
    /// Fraction of the whole quota, not of a node's share, by which an account may exceed it in a
    /// window.
    #[serde(default)]
    quota_overage: f64,
    /// Units by which an account may exceed its quota in a window, in addition to `quota_overage`.
    #[serde(default)]
    quota_slack: f64,
    #[serde(default = "default_quota_window_s")]
    quota_window_s: f64,
    /// Factor by which the rate of requests to a cold endpoint may exceed what it tolerates.
    cold_overage: Option<f64>,
    /// Requests per second to a cold endpoint in addition to `cold_overage`.
    #[serde(default)]
    cold_slack: f64,
    usage_window_s: f64,
    usage_late_s: f64,
    ttl_max_s: f64,
    /// Fraction of a service's requests that a version may get before it has proved itself.
    #[serde(default = "default_exposure_share")]
    exposure_share: f64,
    /// Number of requests that it may get in addition.
    #[serde(default)]
    exposure_slack: f64,
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

/// Parsing.
impl NodeFile {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed, or with all problems of its fields.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("settings file {}", path.display()))
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the text can't be parsed, or with all problems of its fields.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let file: Self = toml::from_str(text)?;
        let problems = file.problems();
        if !problems.is_empty() {
            bail!("{}", problems.join("; "));
        }
        Ok(file)
    }

    /// Returns all problems of the fields.
    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |valid: bool, problem: &str| {
            if !valid {
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
            "limits.memory_mb must be positive",
        );
        check(self.limits.max_fds > 0, "limits.max_fds must be positive");
        check(&*self.platform.form == "log", "platform.form must be `log`");
        let bounds = &self.bounds;
        let durations = [
            ("grace_s", bounds.grace_s),
            ("config_apply_ms", bounds.config_apply_ms),
            ("drain_ms", bounds.drain_ms),
            ("budget_window_s", bounds.budget_window_s),
            ("usage_window_s", bounds.usage_window_s),
            ("usage_late_s", bounds.usage_late_s),
            ("ttl_max_s", bounds.ttl_max_s),
        ];
        for (name, duration) in durations {
            check(duration > 0.0, &format!("bounds.{name} must be positive"));
        }
        check(
            bounds.evacuation_ms.is_none_or(|limit| limit > 0.0),
            "bounds.evacuation_ms must be positive",
        );
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
        check(
            bounds.cold_overage.is_none_or(|overage| overage >= 0.0) && bounds.cold_slack >= 0.0,
            "bounds.cold_overage or bounds.cold_slack is negative",
        );
        check(
            (0.0..=1.0).contains(&bounds.exposure_share) && bounds.exposure_slack >= 0.0,
            "bounds.exposure_share is not within 0 to 1, or bounds.exposure_slack is negative",
        );
        problems
    }
}

/// Conversion to the gateway's settings.
impl NodeFile {
    /// Returns the address of the platform's store.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.platform.address
    }

    /// Returns the address of the cloud API for duties. Without one it is the address of the store,
    /// which rejects such calls.
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
        let has_duty = |name: &str| {
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
            evacuation_time_limit: bounds.evacuation_ms.map(|limit| Millis(limit as u64)),
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
            cold_tolerance: bounds.cold_overage.map(|overage| ColdTolerance {
                overage,
                slack: bounds.cold_slack,
            }),
            exposure_limit: ExposureLimit {
                share: bounds.exposure_share,
                slack: bounds.exposure_slack,
            },
            usage_window: seconds(bounds.usage_window_s),
            usage_report_deadline: seconds(bounds.usage_late_s),
            lease: Terms {
                valid_for: LEASE_VALIDITY,
                takeover_after: LEASE_VALIDITY + LEASE_TAKEOVER_MARGIN,
            },
            address_ttl: ADDRESS_TTL.min(seconds(bounds.ttl_max_s)),
            heartbeat: Millis(self.heartbeat_ms),
            max_requests: by_descriptors.min(by_memory),
            memory: self.limits.memory_mb * 1_000_000,
            descriptors: self.limits.max_fds,
            reports_usage: has_duty("usage_report"),
            orders_endpoints: has_duty("autoscale"),
        }
    }
}

/// Returns the default quota window, in seconds; it has no effect without a tolerance.
const fn default_quota_window_s() -> f64 {
    1.0
}

/// Returns the default share of requests for a version on trial.
const fn default_exposure_share() -> f64 {
    0.1
}

fn seconds(seconds: f64) -> Millis {
    Millis((seconds * 1_000.0) as u64)
}
