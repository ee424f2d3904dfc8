use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::log::Offset;

/// Life cycle state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It answers probes.
    Alive,
    /// It did not answer, but this may be a fault of the path.
    Suspect,
    /// It announced that it is leaving; this is never taken back by the same process.
    Leaving,
    /// It is believed dead.
    Gone,
}

/// A statement about one process of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Name of the node.
    pub name: Arc<str>,
    /// Failure domain of its host.
    pub domain: Arc<str>,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Random number of the process.
    pub incarnation: u64,
    /// Number of the statement; only the process itself raises it.
    pub version: u32,
    /// Its state.
    pub state: State,
}

impl Member {
    /// Returns the position in the order of statements: a greater one replaces a smaller one.
    #[must_use]
    pub fn precedence(&self) -> (u64, u32, State) {
        (self.incarnation, self.version, self.state)
    }

    /// Returns the bytes that the statement takes in a message: 16 of numbers, 4 pointers of 8 and
    /// the texts, each padded to a multiple of 8 with its final zero.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        let addresses = 2 * padded("255.255.255.255:65535".len());
        16 + 4 * 8 + padded(self.name.len()) + padded(self.domain.len()) + addresses
    }
}

const fn padded(length: usize) -> usize {
    (length + 1).next_multiple_of(8)
}

/// A statement that an endpoint is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Notice {
    /// Name of the endpoint's host.
    pub host: Arc<str>,
    /// Random number of the endpoint's process; 0 when the signal does not name it.
    pub incarnation: u64,
}

impl Notice {
    /// Returns the bytes that the statement takes in a message.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        8 + 8 + padded(self.host.len())
    }
}

/// Returns the hash that stands for a name in messages.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    reason = "the low half of the hash is as good as the high one"
)]
pub fn short_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// A load report of an endpoint as nodes pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Hash of the host's name.
    pub host: u32,
    /// Low bits of the endpoint's incarnation.
    pub incarnation: u8,
    /// Low bits of the number of the report at its endpoint.
    pub seq: u8,
    /// Requests that are being served, at most 255.
    pub running: u8,
    /// Requests that wait, at most 255.
    pub queued: u8,
}

impl Load {
    /// Bytes that a report takes in a message.
    pub const ENCODED_BYTES: usize = 8;
}

/// Cost units per second that callers of a client account ask of one node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Demand {
    /// Hash of the account's name.
    pub account: u32,
    /// Cost units per second.
    pub rate: f32,
}

/// What every probe and every response to one says about its sender.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Header {
    /// Version of the peer protocol.
    pub protocol: u16,
    /// Highest format number of configurations that the sender reads.
    pub format: u16,
    /// Random number of the sender's process.
    pub incarnation: u64,
    /// Version of the active configuration.
    pub config: Option<Offset>,
    /// Offset after the newest record of `control` that the sender has read.
    pub control_end: Offset,
    /// Weight in address responses, from 0 (overloaded) to 255.
    pub weight: u8,
    /// Whether the sender is leaving.
    pub draining: bool,
    /// Whether the sender has just started and asks for statements about many nodes.
    pub joining: bool,
    /// Hash of the notices that the sender learned lately.
    pub digest: u16,
    /// Demand per client account at the sender.
    pub demand: Vec<Demand>,
}

/// A probe or the response to one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Message {
    /// About the sender.
    pub header: Header,
    /// Statements about nodes.
    pub members: Vec<Member>,
    /// Endpoints that are leaving.
    pub notices: Vec<Notice>,
    /// Load reports.
    pub loads: Vec<Load>,
}
