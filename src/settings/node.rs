use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::document::{Document, Issue, Problems, Section};
use crate::stream::Limits;

const DEFAULT_BODY_LIMIT_BYTES: u64 = 1024 * 1024;
const DEFAULT_REQUEST_LIMIT: u64 = 4_096;
const DEFAULT_STALL_TIMEOUT: Millis = Millis(2_000);
const DEFAULT_DRAIN_TIMEOUT: Millis = Millis::from_secs(300);
const DEFAULT_RECLAIM_NOTICE: Millis = Millis::from_secs(5);

/// Default number of streams for non-idempotent calls: one, because a node appends to each of them
/// and all appends share one rate limit.
const DEFAULT_CALL_SHARDS: u64 = 1;

const DEFAULT_RETRY_WINDOW: Millis = Millis::from_secs(600);
const DEFAULT_DISPATCH_TIME_LIMIT: Millis = Millis(2_000);
const DEFAULT_CHECKPOINT_RECORDS: u64 = 1_000;
const DEFAULT_CHECKPOINT_INTERVAL: Millis = Millis::from_secs(300);

/// Upper limit for most durations in the settings: one day.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Settings of a node that runs with `almondpath serve`.
#[derive(Clone, Debug, Serialize)]
pub struct Node {
    /// Name of the node, unique in the deployment.
    pub name: Arc<str>,
    /// Failure domain of the node's host.
    pub failure_domain: Arc<str>,
    /// Address that serves callers.
    pub listen: SocketAddr,
    /// Address that serves operators.
    pub admin: SocketAddr,
    /// Address that serves other nodes.
    pub peer: SocketAddr,
    /// `peer` addresses of other nodes, through which this node joins the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the platform, which provides the host list and the cloud API.
    pub platform: SocketAddr,
    /// File with the tokens of client accounts and operators.
    pub token_file: PathBuf,
    /// File with the tokens that authenticate nodes to each other; `None` accepts every node.
    pub peer_token_file: Option<PathBuf>,
    /// Maximum size of a request body in bytes.
    pub body_limit_bytes: u64,
    /// Maximum number of requests in flight.
    pub request_limit: usize,
    /// Time without progress after which a connection counts as stalled.
    pub stall_ms: Millis,
    /// Maximum time for which a graceful shutdown waits for open requests before it hands them over.
    pub drain_ms: Millis,
    /// File to which a trace of model requests is recorded, for `almondpath replay`; `None` disables
    /// the trace.
    pub trace_file: Option<PathBuf>,
    /// Whether slow idempotent calls to plain services are hedged: sent to a second endpoint as
    /// well.
    pub hedge_calls: bool,
    /// Number of log streams across which non-idempotent calls are sharded; the same on all nodes.
    ///
    /// The first node writes the number to the log; a node with another number rejects these calls.
    ///
    /// Each node appends to each stream, so more streams mean a longer interval between a node's
    /// appends to one of them.
    pub call_shards: u32,
    /// Time for which an idempotency key can be used.
    pub retry_window_ms: Millis,
    /// Maximum time between the append of a dispatch record and the dispatch; later, the node does
    /// not send the call.
    pub dispatch_bound_ms: Millis,
    /// Number of records in a calls stream after which a checkpoint is written.
    pub checkpoint_records: u64,
    /// Interval between checkpoints of a calls stream; must be well below the log's retention time.
    pub checkpoint_interval_ms: Millis,
    /// Time from the first signal that an endpoint's host is being reclaimed until the host is gone.
    pub notice_ms: Millis,
    /// Limits of the responses that the node stores.
    pub streams: Limits,
}

impl Node {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or isn't valid YAML, and with all problems of the settings.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        Ok(Self::from_document(&Document::load(path)?)?)
    }

    /// Converts a YAML document to settings and validates them.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the document.
    pub fn from_document(document: &Document) -> Result<Self, Problems> {
        document.bind_checked(Self::bind, Self::validate)
    }

    fn bind(section: &Section<'_>) -> Self {
        let address = |key: &str| {
            // A missing or invalid address is reported as a problem, so the placeholder is never
            // used.
            section
                .parsed(key, "an address such as 10.0.0.1:7001")
                .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
        };
        Self {
            name: section.string("name"),
            failure_domain: section.string("failure_domain"),
            listen: address("listen"),
            admin: address("admin"),
            peer: address("peer"),
            seeds: section.parsed_list("seeds", "an address such as 10.0.0.1:7201"),
            log_service: address("log_service"),
            platform: address("platform"),
            token_file: PathBuf::from(&*section.string("token_file")),
            peer_token_file: section
                .optional_string("peer_token_file")
                .map(|path| PathBuf::from(&*path)),
            body_limit_bytes: section.integer_or(
                "body_limit_bytes",
                DEFAULT_BODY_LIMIT_BYTES,
                1..=64 * 1024 * 1024,
            ),
            request_limit: section.integer_or("request_limit", DEFAULT_REQUEST_LIMIT, 1..=1_000_000)
                as usize,
            stall_ms: section.millis_or("stall_ms", DEFAULT_STALL_TIMEOUT, 100..=MAX_DURATION_MS),
            drain_ms: section.millis_or("drain_ms", DEFAULT_DRAIN_TIMEOUT, 0..=MAX_DURATION_MS),
            trace_file: section
                .optional_string("trace_file")
                .map(|path| PathBuf::from(&*path)),
            hedge_calls: section.flag_or("hedge_calls", true),
            call_shards: section.integer_or("call_shards", DEFAULT_CALL_SHARDS, 1..=64) as u32,
            retry_window_ms: section.millis_or(
                "retry_window_ms",
                DEFAULT_RETRY_WINDOW,
                1_000..=MAX_DURATION_MS,
            ),
            dispatch_bound_ms: section.millis_or(
                "dispatch_bound_ms",
                DEFAULT_DISPATCH_TIME_LIMIT,
                100..=60_000,
            ),
            checkpoint_records: section.integer_or(
                "checkpoint_records",
                DEFAULT_CHECKPOINT_RECORDS,
                10..=1_000_000,
            ),
            checkpoint_interval_ms: section.millis_or(
                "checkpoint_interval_ms",
                DEFAULT_CHECKPOINT_INTERVAL,
                1_000..=MAX_DURATION_MS,
            ),
            notice_ms: section.millis_or("notice_ms", DEFAULT_RECLAIM_NOTICE, 0..=MAX_DURATION_MS),
            streams: bind_stream_limits(section),
        }
    }

    fn validate(&self) -> Vec<Issue> {
        let mut issues = Vec::new();
        let addresses = [
            ("listen", self.listen),
            ("admin", self.admin),
            ("peer", self.peer),
        ];
        for (index, (key, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[..index]
                .iter()
                .find(|(_, other)| other == address);
            if let Some((other, _)) = duplicate {
                issues.push(Issue::new(*key, format!("same address as `{other}`")));
            }
        }
        issues
    }
}

fn bind_stream_limits(section: &Section<'_>) -> Limits {
    let default = Limits::default();
    let (count, bytes) = (default.count as u64, default.bytes as u64);
    Limits {
        count: section.integer_or("stream_limit", count, 1..=1_000_000) as usize,
        bytes: section.integer_or("stream_bytes", bytes, 1_024..=1 << 40) as usize,
        retention_ms: section.millis_or(
            "stream_retention_ms",
            default.retention_ms,
            0..=MAX_DURATION_MS,
        ),
        abandoned_ms: section.millis_or(
            "stream_abandoned_ms",
            default.abandoned_ms,
            0..=MAX_DURATION_MS,
        ),
    }
}
