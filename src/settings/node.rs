use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::document::{Document, Issue, Problems, Section};
use crate::stream::Limits;

const BODY_LIMIT_BYTES: u64 = 1024 * 1024;
const REQUEST_LIMIT: u64 = 4_096;
const STALL: Millis = Millis(2_000);
const DRAIN: Millis = Millis::from_secs(300);
const NOTICE: Millis = Millis::from_secs(5);

/// One stream: a node appends to each of them, and all appends share one budget.
const CALL_SHARDS: u64 = 1;

const RETRY_WINDOW: Millis = Millis::from_secs(600);
const DISPATCH_BOUND: Millis = Millis(2_000);
const CHECKPOINT_RECORDS: u64 = 1_000;
const CHECKPOINT_INTERVAL: Millis = Millis::from_secs(300);

/// One day, the upper bound of every length of time in the settings.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Settings of a `serve` process.
#[derive(Clone, Debug, Serialize)]
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
    pub seeds: Vec<SocketAddr>,
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the platform's host list and cloud API.
    pub platform: SocketAddr,
    /// File with the tokens of client accounts and operators.
    pub token_file: PathBuf,
    /// File with the tokens by which nodes know each other; none accepts every node.
    pub peer_token_file: Option<PathBuf>,
    /// Largest request body in bytes.
    pub body_limit_bytes: u64,
    /// Most requests in flight.
    pub request_limit: usize,
    /// Time without progress after which a connection counts as stalled.
    pub stall_ms: Millis,
    /// Longest time a graceful shutdown waits for open requests before it hands them over.
    pub drain_ms: Millis,
    /// File to record a trace of model requests to, for `replay`; none records nothing.
    pub trace_file: Option<PathBuf>,
    /// Whether a slow idempotent call to a plain service gets a second attempt at another endpoint.
    pub hedge_calls: bool,
    /// Number of streams that non-idempotent calls are spread over; must be the same on all nodes.
    ///
    /// The first node writes it to the log; a node with another number refuses these calls.
    ///
    /// Each node appends to each stream, so that more streams make the time between two appends
    /// to one of them longer.
    pub call_shards: u32,
    /// Time for which an idempotency key can be used.
    pub retry_window_ms: Millis,
    /// Time from writing a dispatch record to sending, after which the node does not send.
    pub dispatch_bound_ms: Millis,
    /// Records in a calls stream after which it gets a checkpoint.
    pub checkpoint_records: u64,
    /// Time after which a calls stream gets a checkpoint; well below the log's retention time.
    pub checkpoint_interval_ms: Millis,
    /// Time from the first signal that an endpoint's host is leaving until the host is gone.
    pub notice_ms: Millis,
    /// Bounds of the responses that the node holds.
    pub streams: Limits,
}

impl Node {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, and with all problems that it has.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        Ok(Self::from_document(&Document::load(path)?)?)
    }

    /// Checks a parsed settings file.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the document.
    pub fn from_document(document: &Document) -> Result<Self, Problems> {
        document.bind_checked(Self::bind, Self::validate)
    }

    fn bind(section: &Section<'_>) -> Self {
        let address = |key: &str| {
            // A missing address is reported, so that the placeholder is never used.
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
                BODY_LIMIT_BYTES,
                1..=64 * 1024 * 1024,
            ),
            request_limit: section.integer_or("request_limit", REQUEST_LIMIT, 1..=1_000_000)
                as usize,
            stall_ms: section.millis_or("stall_ms", STALL, 100..=DAY_MS),
            drain_ms: section.millis_or("drain_ms", DRAIN, 0..=DAY_MS),
            trace_file: section
                .optional_string("trace_file")
                .map(|path| PathBuf::from(&*path)),
            hedge_calls: section.flag_or("hedge_calls", true),
            call_shards: section.integer_or("call_shards", CALL_SHARDS, 1..=64) as u32,
            retry_window_ms: section.millis_or("retry_window_ms", RETRY_WINDOW, 1_000..=DAY_MS),
            dispatch_bound_ms: section.millis_or("dispatch_bound_ms", DISPATCH_BOUND, 100..=60_000),
            checkpoint_records: section.integer_or(
                "checkpoint_records",
                CHECKPOINT_RECORDS,
                10..=1_000_000,
            ),
            checkpoint_interval_ms: section.millis_or(
                "checkpoint_interval_ms",
                CHECKPOINT_INTERVAL,
                1_000..=DAY_MS,
            ),
            notice_ms: section.millis_or("notice_ms", NOTICE, 0..=DAY_MS),
            streams: bind_limits(section),
        }
    }

    fn validate(&self) -> Vec<Issue> {
        let mut issues = Vec::new();
        let own = [
            ("listen", self.listen),
            ("admin", self.admin),
            ("peer", self.peer),
        ];
        for (index, (key, address)) in own.iter().enumerate() {
            let twin = own[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = twin {
                issues.push(Issue::new(*key, format!("the same address as `{other}`")));
            }
        }
        issues
    }
}

fn bind_limits(section: &Section<'_>) -> Limits {
    let or = Limits::default();
    let (count, bytes) = (or.count as u64, or.bytes as u64);
    Limits {
        count: section.integer_or("stream_limit", count, 1..=1_000_000) as usize,
        bytes: section.integer_or("stream_bytes", bytes, 1_024..=1 << 40) as usize,
        retention_ms: section.millis_or("stream_retention_ms", or.retention_ms, 0..=DAY_MS),
        abandoned_ms: section.millis_or("stream_abandoned_ms", or.abandoned_ms, 0..=DAY_MS),
    }
}
