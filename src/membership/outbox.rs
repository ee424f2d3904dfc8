use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

use super::bounded_set::BoundedSet;
use super::bucket::Bucket;
use super::queue::Queue;
use super::{Load, Member, Message, Notice};

/// Statements that wait to be passed on, for each kind.
const MAX_UPDATES: usize = 512;

/// Notices that are recognized when they arrive again.
const MAX_SEEN: usize = 4_096;

/// Endpoints whose newest load report is known; the design size is 600.
const MAX_LOADS: usize = 2_048;

/// Bytes of updates in one message.
const MESSAGE_BYTES: usize = 512;

/// Bytes of notices and statements about nodes that a node sends in the long run, and at once
/// after a quiet time. Three probes a second, asked and answered, take about 1,400 bytes without
/// updates, polls of load reports about 200, and the target is 2 KB.
const BYTES_PER_SECOND: f64 = 250.0;
const BURST_BYTES: f64 = 16_384.0;

/// Bytes of load reports that a node sends in the long run: 20 reports of 8 bytes.
///
/// With 13 endpoints each report reaches all nodes within about a second. With 600, a node passes
/// on those of its failure domain, about 100, so that a report is about 5 s old on average; a node
/// then relies on its own dispatches and on reports that it reads itself. They have a bucket of
/// their own because statements about nodes, which are larger, would never fit otherwise.
const LOAD_BYTES_PER_SECOND: f64 = 160.0;
const LOAD_BURST_BYTES: f64 = 512.0;

/// Time for which a notice counts in the digest of recent ones. All nodes have learned it long
/// before, so that their digests agree again.
const RECENT: Millis = Millis::from_secs(60);

/// Times that a load report is passed on. Each node that it is new to does the same, so that a few
/// are enough; a lost report is replaced by the next one.
const LOAD_TIMES: u32 = 3;

/// Updates on their way to other nodes.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    members: Queue<Arc<str>, Member>,
    notices: Queue<Notice, Notice>,
    loads: Queue<u32, Load>,
    seen: BoundedSet<Notice>,
    recent: VecDeque<(Millis, Notice)>,
    newest: HashMap<u32, Newest>,
    relayed_hosts: Option<HashSet<u32>>,
    bytes: Bucket,
    load_bytes: Bucket,
}

#[derive(Clone, Copy, Debug)]
struct Newest {
    incarnation: u8,
    seq: u8,
    previous: Option<u8>,
}

impl Outbox {
    pub(super) fn new() -> Self {
        Self {
            members: Queue::new(MAX_UPDATES),
            notices: Queue::new(MAX_UPDATES),
            loads: Queue::new(MAX_LOADS),
            seen: BoundedSet::new(MAX_SEEN),
            recent: VecDeque::new(),
            newest: HashMap::new(),
            relayed_hosts: None,
            bytes: Bucket::new(BURST_BYTES, BYTES_PER_SECOND),
            load_bytes: Bucket::new(LOAD_BURST_BYTES, LOAD_BYTES_PER_SECOND),
        }
    }

    /// Passes on a statement about a node.
    pub(super) fn add_member(&mut self, member: Member, nodes: usize) {
        let name = Arc::clone(&member.name);
        self.members.push(name, member, times(nodes));
    }

    /// Passes on a notice and returns whether it was new.
    pub(super) fn add_notice(&mut self, notice: Notice, nodes: usize, now: Millis) -> bool {
        let new = self.seen.insert(notice.clone());
        if new {
            self.recent.push_back((now, notice.clone()));
            if self.recent.len() > MAX_UPDATES {
                self.recent.pop_front();
            }
            self.notices.push(notice.clone(), notice, times(nodes));
        }
        new
    }

    /// Returns a hash of the recent notices that does not depend on their order.
    pub(super) fn digest(&mut self, now: Millis) -> u16 {
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| now - *at > RECENT)
        {
            self.recent.pop_front();
        }
        let hash = |notice: &Notice| {
            let bytes = xxh3_64_with_seed(notice.host.as_bytes(), notice.incarnation).to_le_bytes();
            u16::from_le_bytes([bytes[0], bytes[1]])
        };
        self.recent.iter().fold(0, |all, (_, n)| all ^ hash(n))
    }

    /// Passes the recent notices on once more, because a node with another digest asked.
    ///
    /// A limited number of transmissions alone is not enough: with 4 per node, one of 8 nodes never
    /// learned a notice, because nodes had told it only to those that knew it already.
    pub(super) fn requeue_recent_notices(&mut self) {
        for (_, notice) in &self.recent {
            if !self.notices.contains(notice) {
                self.notices.push(notice.clone(), notice.clone(), 1);
            }
        }
    }

    /// Returns whether enough bytes are left for urgent updates to send others now.
    pub(super) fn has_reserve(&mut self, now: Millis) -> bool {
        self.bytes.available(now) >= BURST_BYTES / 2.0
    }

    pub(super) fn set_relayed_hosts(&mut self, hosts: HashSet<u32>) {
        self.relayed_hosts = Some(hosts);
    }

    /// Takes a load report and returns whether it was newer than the one known; it is passed on if
    /// it is the node's own or of an endpoint in the set for this.
    pub(super) fn add_load(&mut self, load: Load, own: bool) -> bool {
        let previous = match self.newest.get(&load.host) {
            Some(known) if known.incarnation == load.incarnation => {
                if !is_newer(load.seq, known.seq) {
                    return false;
                }
                known.previous
            }
            // Reports of the process before may still be on their way. Accepting them again would
            // keep the reports of both processes going round for ever.
            Some(known) if known.previous == Some(load.incarnation) => return false,
            Some(known) => Some(known.incarnation),
            None => None,
        };
        if self.newest.len() >= MAX_LOADS && !self.newest.contains_key(&load.host) {
            self.newest.clear();
        }
        let newest = Newest {
            incarnation: load.incarnation,
            seq: load.seq,
            previous,
        };
        self.newest.insert(load.host, newest);
        if own
            || self
                .relayed_hosts
                .as_ref()
                .is_none_or(|l| l.contains(&load.host))
        {
            self.loads.push(load.host, load, LOAD_TIMES);
        }
        true
    }

    /// Adds updates to a message, as far as the bytes allow: notices, then statements about nodes,
    /// then load reports. Returns the bytes left in the message.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "byte counts of one message"
    )]
    pub(super) fn fill(&mut self, now: Millis, message: &mut Message) -> usize {
        let budget = (self.bytes.available(now) as usize).min(MESSAGE_BYTES);
        let (notices, left) = self.notices.take(budget, Notice::encoded_bytes);
        let (members, left) = self.members.take(left, Member::encoded_bytes);
        let load_budget = (self.load_bytes.available(now) as usize).min(MESSAGE_BYTES);
        let (loads, load_left) = self.loads.take(load_budget, |_| Load::ENCODED_BYTES);
        message.notices = notices;
        message.members = members;
        message.loads = loads;
        self.bytes.take((budget - left) as f64);
        self.load_bytes.take((load_budget - load_left) as f64);
        left
    }

    /// Accounts for bytes that were added to a message outside of [`Outbox::fill`].
    #[allow(clippy::cast_precision_loss, reason = "byte counts of one message")]
    pub(super) fn spend(&mut self, bytes: usize) {
        self.bytes.take(bytes as f64);
    }

    /// Returns the number of updates that wait.
    pub(super) fn len(&self) -> usize {
        self.members.len() + self.notices.len() + self.loads.len()
    }
}

/// Returns how often a node passes an update on. Each node that it is new to does the same, so that
/// about the logarithm of the number of nodes reaches nearly all; random statements do the rest.
fn times(nodes: usize) -> u32 {
    (nodes + 2).ilog2() + 1
}

/// Compares numbers that wrap around.
fn is_newer(seq: u8, than: u8) -> bool {
    (1..128).contains(&seq.wrapping_sub(than))
}
