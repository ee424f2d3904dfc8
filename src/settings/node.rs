use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::document::{Document, Issue, Problems, Section};

const BODY_LIMIT_BYTES: u64 = 1024 * 1024;
const REQUEST_LIMIT: u64 = 4_096;
const STALL: Millis = Millis(2_000);
const DRAIN: Millis = Millis::from_secs(300);

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
            name: section.text("name"),
            failure_domain: section.text("failure_domain"),
            listen: address("listen"),
            admin: address("admin"),
            peer: address("peer"),
            seeds: section.parsed_list("seeds", "an address such as 10.0.0.1:7201"),
            log_service: address("log_service"),
            platform: address("platform"),
            token_file: PathBuf::from(&*section.text("token_file")),
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
                .optional_text("trace_file")
                .map(|path| PathBuf::from(&*path)),
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
