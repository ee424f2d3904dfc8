use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;

use eyre::{WrapErr, ensure};
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::Class;
use crate::routing::BLOCK_TOKENS;

/// Version of the trace format that this program reads and writes.
const FORMAT: u32 = 1;

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Version of the format, 1.
    pub format: u32,
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Number of tokens in a prefix block.
    pub block_tokens: u32,
}

impl Header {
    /// Creates the header of a new trace.
    #[must_use]
    pub fn new(deployment: Arc<str>) -> Self {
        Self {
            format: FORMAT,
            deployment,
            block_tokens: BLOCK_TOKENS,
        }
    }
}

/// A client account and its weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Unique name.
    pub name: Arc<str>,
    /// Weight relative to the other accounts.
    pub weight: f64,
}

/// An endpoint and its price.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique name.
    pub name: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Price per hour.
    pub price: f64,
}

impl Endpoint {
    /// Returns an identifier derived from the name, the same at all nodes.
    pub(super) fn id(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.name.as_bytes())
    }
}

/// The prefix of a prompt that is shared with an earlier request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedPrefix {
    /// Number of the earlier request.
    pub n: u64,
    /// Number of leading blocks that are the same.
    pub blocks: u32,
}

/// A recorded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Number in order of arrival, from 0.
    pub n: u64,
    /// Time from the start of the trace to the arrival.
    pub at_ms: Millis,
    /// Client account.
    pub account: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// Service of the route.
    pub service: Arc<str>,
    /// Scheduling class of the route.
    pub class: Class,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Time from arrival to the deadline.
    pub deadline_ms: Millis,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of full prefix blocks of the prompt.
    pub blocks: u32,
    /// The prefix that is shared with an earlier request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<SharedPrefix>,
    /// Number of generated tokens; `None` when the request did not finish.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output_tokens: Option<u32>,
}

/// The loss of an endpoint's host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reclaim {
    /// Time from the start of the trace to the loss.
    pub at_ms: Millis,
    /// Time between the notice and the loss.
    pub notice_ms: Millis,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Line {
    /// The first line.
    Header(Header),
    /// A client account.
    Account(Account),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A request.
    Request(Request),
    /// A reclaimed host.
    Reclaim(Reclaim),
}

/// A parsed trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The first line.
    pub header: Header,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Requests in order of arrival.
    pub requests: Vec<Request>,
    /// Reclaimed hosts.
    pub reclaims: Vec<Reclaim>,
}

/// Parsing.
impl Trace {
    /// Reads a trace file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or is not a valid trace of a supported format.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read the trace {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("invalid trace {}", path.display()))
    }

    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// Fails when a line is invalid, which the error names by its number, or when the format is not
    /// supported.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let mut trace = Self {
            header: Header::new("".into()),
            accounts: Vec::new(),
            endpoints: Vec::new(),
            requests: Vec::new(),
            reclaims: Vec::new(),
        };
        let lines = text.lines().enumerate();
        for (index, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
            let line =
                serde_json::from_str(line).wrap_err_with(|| format!("line {}", index + 1))?;
            ensure!(
                matches!(line, Line::Header(_)) == (index == 0),
                "line {}: the header must be the first line and appear only once",
                index + 1
            );
            trace.push(line);
        }
        ensure!(
            trace.header.format == FORMAT && trace.header.block_tokens == BLOCK_TOKENS,
            "unsupported format {} with blocks of {} tokens; supported is format {FORMAT} with blocks \
             of {BLOCK_TOKENS} tokens",
            trace.header.format,
            trace.header.block_tokens
        );
        trace
            .requests
            .sort_by_key(|request| (request.at_ms, request.n));
        Ok(trace)
    }

    fn push(&mut self, line: Line) {
        match line {
            Line::Header(header) => self.header = header,
            Line::Account(account) => self.accounts.push(account),
            Line::Endpoint(endpoint) => self.endpoints.push(endpoint),
            Line::Request(request) => self.requests.push(request),
            Line::Reclaim(reclaim) => self.reclaims.push(reclaim),
        }
    }
}

/// Reconstruction of values that are not recorded.
impl Trace {
    /// Returns made-up block hashes for each request, equal where the prompts share a prefix.
    #[must_use]
    pub fn block_hashes(&self) -> Vec<Vec<u64>> {
        let mut order: Vec<usize> = (0..self.requests.len()).collect();
        order.sort_by_key(|&index| self.requests[index].n);
        let mut index_of: HashMap<u64, usize> = HashMap::new();
        let mut hashes: Vec<Vec<u64>> = vec![Vec::new(); self.requests.len()];
        for index in order {
            let request = &self.requests[index];
            let mut request_hashes = Vec::new();
            if let Some(shared) = request.shared
                && let Some(&earlier) = index_of.get(&shared.n)
            {
                let length = (shared.blocks as usize).min(hashes[earlier].len());
                request_hashes.extend_from_slice(&hashes[earlier][..length]);
            }
            for block in u32::try_from(request_hashes.len()).unwrap_or(u32::MAX)..request.blocks {
                request_hashes.push(unique_hash(request.n, block));
            }
            index_of.insert(request.n, index);
            hashes[index] = request_hashes;
        }
        hashes
    }

    /// Returns the number of generated tokens of each request.
    ///
    /// Requests that did not finish get the mean of their route.
    #[must_use]
    pub fn output_tokens(&self) -> Vec<u32> {
        let mut sums: HashMap<&str, (u64, u64)> = HashMap::new();
        for request in &self.requests {
            if let Some(tokens) = request.output_tokens {
                let sum = sums.entry(&request.route).or_default();
                *sum = (sum.0 + u64::from(tokens), sum.1 + 1);
            }
        }
        let mean = |route: &str| {
            let (sum, count) = sums.get(route).copied().unwrap_or((1, 1));
            u32::try_from(sum / count.max(1)).unwrap_or(u32::MAX)
        };
        self.requests
            .iter()
            .map(|r| r.output_tokens.unwrap_or_else(|| mean(&r.route)).max(1))
            .collect()
    }
}

/// Returns a well-distributed hash for a block that no earlier request has.
fn unique_hash(n: u64, block: u32) -> u64 {
    let bytes = [n.to_le_bytes(), u64::from(block).to_le_bytes()].concat();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// Fleet.
impl Trace {
    /// Returns `engines` endpoints of the first endpoint's service, or all when none is given.
    ///
    /// When the trace has fewer, its endpoints are repeated under names of their own.
    pub(super) fn fleet(&self, engines: Option<usize>) -> Vec<Endpoint> {
        let service = self.endpoints.first().map(|endpoint| &endpoint.service);
        let eligible = self.endpoints.iter();
        let eligible: Vec<&Endpoint> = eligible.filter(|e| Some(&e.service) == service).collect();
        let count = engines.unwrap_or(eligible.len());
        let copy = |index: usize| {
            let endpoint = eligible[index % eligible.len()];
            let copy = index / eligible.len();
            Endpoint {
                name: if copy == 0 {
                    Arc::clone(&endpoint.name)
                } else {
                    format!("{}-{copy}", endpoint.name).into()
                },
                ..endpoint.clone()
            }
        };
        (0..count)
            .filter(|_| !eligible.is_empty())
            .map(copy)
            .collect()
    }
}
