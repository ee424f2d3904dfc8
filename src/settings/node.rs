use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::stream::Limits;

/// Settings of a `serve` process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Unique name of the node.
    pub name: Arc<str>,
    /// Failure domain of the node's host.
    pub failure_domain: Arc<str>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Addresses of other nodes' `peer` ports to start from.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the platform's host list and cloud API.
    pub platform: SocketAddr,
    /// File with the tokens of client accounts and operators.
    pub token_file: PathBuf,
    /// Largest request body in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: u64,
    /// Most requests in flight.
    #[serde(default = "default_request_limit")]
    pub request_limit: usize,
    /// Time without progress after which a connection counts as silent.
    #[serde(default = "default_stall")]
    pub stall_ms: Millis,
    /// Longest time a graceful shutdown waits for open requests before it hands them over.
    #[serde(default = "default_drain")]
    pub drain_ms: Millis,
    /// Time from the first signal that an endpoint's host is leaving until the host is gone.
    #[serde(default = "default_notice")]
    pub notice_ms: Millis,
    /// Bounds of the responses that the node holds.
    #[serde(default)]
    pub streams: Limits,
}

fn default_body_limit() -> u64 {
    1024 * 1024
}

fn default_request_limit() -> usize {
    4_096
}

fn default_stall() -> Millis {
    Millis(2_000)
}

fn default_notice() -> Millis {
    Millis::from_secs(5)
}

fn default_drain() -> Millis {
    Millis::from_secs(300)
}

impl Node {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or has an unknown key, a missing key or a bad value.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading the settings {}", path.display()))?;
        serde_saphyr::from_str(&text).wrap_err_with(|| format!("in {}", path.display()))
    }
}
