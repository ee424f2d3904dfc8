use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::log::Offset;

/// Lifecycle state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It responds to probes.
    Alive,
    /// It did not respond to a probe, possibly because of a network fault.
    Suspect,
    /// It announced that it is leaving; the same process never reverts this.
    Leaving,
    /// It has left or is considered dead.
    Gone,
}

/// Membership record of one process of a node.
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
    /// Number that identifies the process; a later process of the node has a greater one.
    pub incarnation: u64,
    /// Version of the record; only the process itself increments it.
    pub version: u32,
    /// Lifecycle state of the process.
    pub state: State,
}

impl Member {
    /// Returns the key by which records of a node are ordered: a greater one replaces a smaller
    /// one.
    #[must_use]
    pub fn precedence(&self) -> (u64, u32, State) {
        (self.incarnation, self.version, self.state)
    }

    /// Returns the encoded size of the record in a message: 16 bytes of numbers, 4 pointers of 8
    /// bytes, and the texts, each with its terminating zero padded to a multiple of 8 bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        let addresses = 2 * padded("255.255.255.255:65535".len());
        16 + 4 * 8 + padded(self.name.len()) + padded(self.domain.len()) + addresses
    }
}

const fn padded(length: usize) -> usize {
    (length + 1).next_multiple_of(8)
}

/// A notice that an endpoint is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Notice {
    /// Name of the endpoint's host.
    pub host: Arc<str>,
    /// Number that identifies the endpoint's process; 0 when the source of the notice does not
    /// name it.
    pub incarnation: u64,
}

impl Notice {
    /// Returns the encoded size of the notice in a message.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        8 + 8 + padded(self.host.len())
    }
}

/// Returns the 32-bit hash that represents a name in messages.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    reason = "the low half of the hash is as good as the high one"
)]
pub fn short_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// A load report of an endpoint, as nodes relay it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Hash of the host's name.
    pub host: u32,
    /// Low bits of the endpoint's incarnation.
    pub incarnation: u8,
    /// Low bits of the sequence number that the endpoint gave the report.
    pub seq: u8,
    /// Requests being served, capped at 255.
    pub running: u8,
    /// Requests waiting, capped at 255.
    pub queued: u8,
}

impl Load {
    /// Encoded size of a report in a message, in bytes.
    pub const ENCODED_BYTES: usize = 8;
}

/// Demand of a client account at one node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Demand {
    /// Hash of the account's name.
    pub account: u32,
    /// Requested cost units per second.
    pub rate: f32,
}

/// Information about the sender in every probe and probe response.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Header {
    /// Version of the peer protocol.
    pub protocol: u16,
    /// Highest configuration format that the sender reads.
    pub format: u16,
    /// Number that identifies the sender's process.
    pub incarnation: u64,
    /// Version of the active configuration.
    pub config: Option<Offset>,
    /// Offset after the newest record of the `control` stream that the sender has read.
    pub control_end: Offset,
    /// Weight of the sender in address responses, from 0 (overloaded) to 255.
    pub weight: u8,
    /// Whether the sender is leaving.
    pub draining: bool,
    /// Whether the sender has just started and requests the records of many nodes.
    pub joining: bool,
    /// Hash of the notices that the sender received recently.
    pub digest: u16,
    /// Demand per client account at the sender.
    pub demand: Vec<Demand>,
}

/// A probe or the response to one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Message {
    /// Information about the sender.
    pub header: Header,
    /// Records of nodes.
    pub members: Vec<Member>,
    /// Notices of endpoints that are leaving.
    pub notices: Vec<Notice>,
    /// Load reports of endpoints.
    pub loads: Vec<Load>,
}
