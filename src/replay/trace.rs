use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;

use eyre::{WrapErr, ensure};
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::Class;
use crate::routing::BLOCK_TOKENS;

/// The format of traces that this program reads and writes.
const FORMAT: u32 = 1;

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Format number, 1.
    pub format: u32,
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Tokens of one prefix block.
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

/// The weight of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account.
    pub name: Arc<str>,
    /// Share relative to the other accounts.
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
    /// Returns the number that all nodes know the endpoint by.
    pub(super) fn id(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.name.as_bytes())
    }
}

/// The part of a prompt that an earlier request had too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedPrefix {
    /// Number of the earlier request.
    pub n: u64,
    /// Blocks from the start that are the same.
    pub blocks: u32,
}

/// A recorded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Number in order of arrival, from 0.
    pub n: u64,
    /// Arrival after the start of the trace.
    pub at_ms: Millis,
    /// Client account.
    pub account: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// Service of the route.
    pub service: Arc<str>,
    /// Scheduling class of the route.
    pub class: Class,
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// Time from arrival to the deadline.
    pub deadline_ms: Millis,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Full prefix blocks of the prompt.
    pub blocks: u32,
    /// The part that an earlier request had too.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<SharedPrefix>,
    /// Generated tokens; none when the request did not finish.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output_tokens: Option<u32>,
}

/// The loss of an endpoint's host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reclaim {
    /// When the host is lost.
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

/// A trace in memory, its requests in order of arrival.
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

/// Reading.
impl Trace {
    /// Reads a trace file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or isn't a trace of a known format.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading the trace {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("in the trace {}", path.display()))
    }

    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// Fails with the line number when a line isn't one of a known format.
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
                "line {}: the header has to be the first line and only that",
                index + 1
            );
            trace.push(line);
        }
        ensure!(
            trace.header.format == FORMAT && trace.header.block_tokens == BLOCK_TOKENS,
            "the format or the block size is not known"
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

/// Reconstruction of what was not recorded.
impl Trace {
    /// Returns block hashes for each request, equal where prompts were equal.
    #[must_use]
    pub fn blocks(&self) -> Vec<Vec<u64>> {
        let mut order: Vec<usize> = (0..self.requests.len()).collect();
        order.sort_by_key(|&index| self.requests[index].n);
        let mut known: HashMap<u64, usize> = HashMap::new();
        let mut blocks: Vec<Vec<u64>> = vec![Vec::new(); self.requests.len()];
        for index in order {
            let request = &self.requests[index];
            let mut own = Vec::new();
            if let Some(shared) = request.shared
                && let Some(&earlier) = known.get(&shared.n)
            {
                let length = (shared.blocks as usize).min(blocks[earlier].len());
                own.extend_from_slice(&blocks[earlier][..length]);
            }
            for block in u32::try_from(own.len()).unwrap_or(u32::MAX)..request.blocks {
                own.push(unique(request.n, block));
            }
            known.insert(request.n, index);
            blocks[index] = own;
        }
        blocks
    }

    /// Returns the generated tokens of each request; those that did not finish count with the
    /// mean of their route.
    #[must_use]
    pub fn outputs(&self) -> Vec<u32> {
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

/// Returns a well-mixed number for a block that no earlier request had.
fn unique(n: u64, block: u32) -> u64 {
    let bytes = [n.to_le_bytes(), u64::from(block).to_le_bytes()].concat();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// Endpoints.
impl Trace {
    /// Returns the endpoints of the first one's service, with copies when more are asked for.
    pub(super) fn sites(&self, engines: Option<usize>) -> Vec<Endpoint> {
        let service = self.endpoints.first().map(|site| &site.service);
        let own = self.endpoints.iter();
        let own: Vec<&Endpoint> = own.filter(|s| Some(&s.service) == service).collect();
        let count = engines.unwrap_or(own.len());
        let copy = |index: usize| {
            let site = own[index % own.len()];
            let copy = index / own.len();
            Endpoint {
                name: if copy == 0 {
                    Arc::clone(&site.name)
                } else {
                    format!("{}-{copy}", site.name).into()
                },
                ..site.clone()
            }
        };
        (0..count).filter(|_| !own.is_empty()).map(copy).collect()
    }
}
