//! The gateway processes, started by the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::platform::Store;

/// Time within which the gateways must be ready.
const START_TIME: Duration = Duration::from_secs(20);

/// Memory of a machine, in MB.
pub const MEMORY_MB: u64 = 260;

/// Ids of the gateways that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Child,
}

/// First port that is tried for the gateways: below the range from which the system takes the ports of
/// outgoing connections.
const FIRST_PORT: u32 = 12_000;

/// Number of ports that are tried.
const PORTS: u32 = 16_000;

/// Returns addresses with ports that are free now.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let start = std::process::id().wrapping_mul(97);
    let ports = (0..PORTS).map(|n| FIRST_PORT + start.wrapping_add(n) % PORTS);
    let addresses = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16)));
    let free = addresses.filter(|address| TcpListener::bind(address).is_ok());
    free.take(count).collect()
}

/// Starts one gateway in each of these zones and waits until all are ready.
pub fn start_all(
    zones: &[&str],
    store: &Store,
    cloud: SocketAddr,
    folder: &Path,
) -> Option<Vec<Gateway>> {
    let addresses = free_addresses(zones.len() * 5);
    let controls: Vec<String> = addresses
        .chunks(5)
        .map(|a| format!("\"{}\"", a[2]))
        .collect();
    let seeds = controls[..controls.len().min(3)].join(",");
    let mut gateways = Vec::new();
    for (number, (zone, own)) in zones.iter().zip(addresses.chunks(5)).enumerate() {
        let [front, ready, control, directory, metrics] = own else {
            return None;
        };
        let name = format!("edge-{zone}-{number}");
        let port = metrics.port();
        let store = store.address(number);
        let text = format!(
            "node_name = \"{name}\"\nrole = \"gateway\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\",\"registry\"]\nip = \"127.0.0.1\"\n\
             zone = \"{zone}\"\nregion = \"r\"\nport_range = [{port},{port}]\nseeds = [{seeds}]\n\
             bootstrap = true\ndiscovery = \"platform\"\nentry = \"registry\"\nheartbeat_ms = 1200\n\
             [zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             directory = \"{directory}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = {MEMORY_MB}\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nregression_slack_ms = 250\nouter_ms = 5000\n\
             strict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             budget_window_s = 10\nbudget_slack = 52\nquota_window_s = 8\nquota_overage = 0.1\n\
             quota_slack = 110000\nrequire_fencing = false\nlease_ms = 3000\nthaw_slack_ms = 300\n\
             usage_window_s = 5\nusage_off = 0.05\nusage_late_s = 10\nexposure_share = 0.1\n\
             exposure_slack = 50\nrollback_ms = 5000\nrecovery_s = 12\npass_ms = 120\n\
             retry_after_s = 9.3\nttl_max_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nparts = 8\nappend_ms = 4.0\nkeep_s = 300\nttl_min_ms = 1000\n\
             [cloud]\naddress = \"{cloud}\"\nrate_per_s = 50.0\nduties = [\"usage_report\"]\n\
             duty_per_s = 50.0\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        let output = folder.join(format!("{name}.log"));
        fs::write(&settings, text).ok()?;
        let child = spawn(&settings, &output)?;
        gateways.push(Gateway {
            name,
            front: *front,
            ready: *ready,
            settings,
            output,
            child,
        });
    }
    let until = Instant::now() + START_TIME;
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > until {
            return None;
        }
        thread::sleep(Duration::from_millis(100));
    }
    Some(gateways)
}

fn spawn(settings: &Path, output: &Path) -> Option<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(output)
        .ok()?;
    let child = Command::new("target/release/almondpath")
        .arg("gateway")
        .env_clear()
        .env("ALMONDPATH_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().ok()?)
        .stderr(log)
        .spawn()
        .ok()?;
    RUNNING.lock().unwrap().push(child.id());
    Some(child)
}

/// Ends all gateways that still run, when a case is given up.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        signal("KILL", id);
    }
}

fn signal(name: &str, id: u32) {
    let command = format!("kill -{name} {id}");
    let _ = Command::new("sh").args(["-c", &command]).status();
}

impl Gateway {
    /// Returns whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let text = b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        let sent = http::write(&mut stream, text).is_ok();
        let answer = sent
            .then(|| http::read_request(&mut stream, &mut Vec::new()))
            .flatten();
        answer.is_some_and(|(head, _)| head.status() == 200)
    }

    /// Returns the memory that the process has allocated and in use, in MB; none if it has ended.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kib / 1024)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        signal("TERM", self.child.id());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }

    pub fn restart(&mut self) -> bool {
        match spawn(&self.settings, &self.output) {
            Some(child) => self.child = child,
            None => return false,
        }
        true
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
