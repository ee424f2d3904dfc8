use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;

use super::{Caller, Cloud, Engine, Request, Store};
use crate::harness::{eventually, free_address};

/// Time within which changes in the store take effect at every gateway: `config_apply_ms` and
/// `drain_ms` of the settings below.
const PROPAGATION_TIME: Duration = Duration::from_millis(2_000);

/// What the settings of a process allow it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Host {
    pub(crate) memory_mb: u32,
    pub(crate) max_fds: u32,
}

impl Default for Host {
    fn default() -> Self {
        Self {
            memory_mb: 260,
            max_fds: 4_100,
        }
    }
}

/// A gateway process.
pub(crate) struct Gateway {
    pub(crate) name: String,
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) directory: SocketAddr,
    pub(crate) metrics: SocketAddr,
    control: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Child,
}

impl Gateway {
    pub(crate) fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("process ids fit an i32");
        // SAFETY: `kill` has no memory effects; the child has not been waited for, so that its
        // id can't belong to another process.
        assert_eq!(unsafe { libc::kill(pid, signal) }, 0);
    }

    /// Returns the most memory that the process has used so far, in KiB.
    pub(crate) fn peak_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().next());
        kib.expect("a peak").parse().expect("a number")
    }

    /// Returns the number of file descriptors that the process has open.
    pub(crate) fn open_descriptors(&self) -> usize {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        folder.expect("the process runs").count()
    }

    /// Returns whether the process exited successfully; `None` while it runs.
    pub(crate) fn exited_successfully(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("a child");
        status.map(|status| status.success())
    }

    /// Returns all log lines.
    pub(crate) fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.output).expect("the output");
        text.lines()
            .map(|line| serde_json::from_str(line).expect("a JSON line"))
            .collect()
    }

    /// Returns the log lines with this message and, if given, this request id.
    pub(crate) fn log_lines(&self, text: &str, id: Option<&str>) -> Vec<Value> {
        let lines = self.log().into_iter();
        lines
            .filter(|line| line["msg"] == text && id.is_none_or(|id| line["id"] == id))
            .collect()
    }

    pub(crate) async fn send(&self, request: &Request) -> Option<super::Response> {
        Caller(self.front).send(request).await
    }

    /// Returns the status code of the readiness check.
    pub(crate) async fn readiness(&self) -> Option<u16> {
        Some(
            Caller(self.ready)
                .send(&Request::new("/api/readiness"))
                .await?
                .status,
        )
    }

    fn start(settings: &PathBuf, output: &PathBuf) -> Child {
        let log = File::options().create(true).append(true).open(output);
        Command::new(env!("CARGO_BIN_EXE_almondpath"))
            .arg("gateway")
            .env("ALMONDPATH_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a file for the output"))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts")
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    pub(crate) fn restart(&mut self) {
        self.child = Self::start(&self.settings, &self.output);
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Either call fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Test doubles of the platform with gateway processes.
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) cloud: Cloud,
    pub(crate) engines: Vec<Engine>,
    pub(crate) gateways: Vec<Gateway>,
    temp_dir: TempDir,
}

/// A configuration with a route of each kind, for the services `llm` and `app`.
pub(crate) fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resume: bool| {
        json!({
            "name": name, "hostname": "h.example", "path_prefix": format!("/{name}/"),
            "route_type": kind, "timeout_ms": 4_000, "target_latency_ms": 500, "priority": 1,
            "service": service, "max_attempts": attempts, "resume_streams": resume,
            "gap_target_ms": 400,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("resumed", "streaming", "llm", 2, true),
            route("stream", "streaming", "llm", 1, false),
            route("unsafe", "non_idempotent", "app", 2, false),
            route("safe", "idempotent", "app", 2, false),
        ],
        "services": [
            { "name": "llm", "max_connections": 100,
              "engine": { "slots": 8, "kv_capacity": 100_000 } },
            { "name": "app", "max_connections": 100 },
        ],
        "limits": { "max_body_bytes": 1_000 },
        "tenants": [
            { "name": "one", "api_keys": ["key-one"], "unit": "tokens", "plain_tokens": 10,
              "rate_per_s": 1_000_000, "burst": 1_000_000 },
            { "name": "small", "api_keys": ["key-small"], "unit": "tokens", "plain_tokens": 100,
              "rate_per_s": 50, "burst": 250 },
        ],
    })
}

impl Deployment {
    /// Starts a platform with these engines and this many gateways, and waits until all are ready.
    pub(crate) async fn start(gateways: usize, engines: Vec<Engine>) -> Self {
        Self::start_with(gateways, engines, &config(1)).await
    }

    /// As [`Deployment::start`], with another first configuration.
    pub(crate) async fn start_with(gateways: usize, engines: Vec<Engine>, config: &Value) -> Self {
        Self::start_on_hosts(gateways, Host::default(), engines, config).await
    }

    /// As [`Deployment::start_with`], with one gateway on a host with this memory.
    pub(crate) async fn start_with_memory(
        memory_mb: u32,
        engines: Vec<Engine>,
        config: &Value,
    ) -> Self {
        let host = Host {
            memory_mb,
            ..Host::default()
        };
        Self::start_on_hosts(1, host, engines, config).await
    }

    /// As [`Deployment::start_with`], on hosts like this.
    pub(crate) async fn start_on_hosts(
        gateways: usize,
        host: Host,
        engines: Vec<Engine>,
        config: &Value,
    ) -> Self {
        let mut deployment = Self {
            store: Store::start().await,
            cloud: Cloud::start().await,
            engines,
            gateways: Vec::new(),
            temp_dir: TempDir::new().expect("a temporary directory"),
        };
        deployment.store.put("keyed.op", "config", config);
        for engine in &deployment.engines {
            let entry = engine.entry("ready", 1);
            deployment.store.put("keyed.servers", &engine.id, &entry);
        }
        for number in 0..gateways {
            deployment.add_gateway(number, host);
        }
        for gateway in &deployment.gateways {
            eventually("a gateway is ready", async || {
                gateway.readiness().await == Some(200)
            })
            .await;
        }
        deployment
    }

    fn add_gateway(&mut self, number: usize, host: Host) {
        let Host { memory_mb, max_fds } = host;
        let [front, ready, control, directory, metrics] = [(); 5].map(|()| free_address());
        let name = format!("edge-{number}");
        let seeds: Vec<String> = self
            .gateways
            .iter()
            .map(|g| format!("{:?}", g.control.to_string()))
            .collect();
        let text = format!(
            "node_name = \"{name}\"\nzone = \"a\"\nport_range = [{}, {}]\nseeds = [{}]\n\
             heartbeat_ms = 1200\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             directory = \"{directory}\"\n\
             [limits]\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n\
             [bounds]\ngrace_s = 8\nconfig_apply_ms = 2000\ndrain_ms = 2000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_slack = 52\nusage_window_s = 1\nusage_late_s = 10\nttl_max_s = 5\n\
             [platform]\naddress = \"{}\"\nform = \"log\"\n\
             [cloud]\naddress = \"{}\"\nduties = [\"usage_report\"]\n",
            metrics.port(),
            metrics.port(),
            seeds.join(", "),
            self.store.address,
            self.cloud.address,
        );
        let settings = self.temp_dir.path().join(format!("{name}.toml"));
        let output = self.temp_dir.path().join(format!("{name}.log"));
        std::fs::write(&settings, text).expect("a settings file");
        let child = Gateway::start(&settings, &output);
        self.gateways.push(Gateway {
            name,
            front,
            ready,
            directory,
            metrics,
            control,
            settings,
            output,
            child,
        });
    }

    /// Waits until all gateways have applied the latest changes in the store.
    pub(crate) async fn wait_for_propagation(&self) {
        tokio::time::sleep(PROPAGATION_TIME).await;
    }
}
