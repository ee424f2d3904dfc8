use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

use super::bounded_set::BoundedSet;
use super::bucket::Bucket;
use super::queue::Queue;
use super::{Load, Member, Message, Notice};

/// Capacity of the queues of membership records and notices; also the number of recent notices
/// that count in the digest.
const MAX_UPDATES: usize = 512;

/// Maximum number of notices that are remembered to detect duplicates.
const MAX_SEEN_NOTICES: usize = 4_096;

/// Maximum number of endpoints whose newest load report is remembered; the design size is 600.
const MAX_LOADS: usize = 2_048;

/// Maximum byte budget of the notices and membership records in one message, and separately of the
/// load reports in it.
const MAX_BUDGET_BYTES: usize = 512;

/// Sustained rate and burst of notices and membership records that a node sends.
///
/// Three probes per second and their responses take about 1,400 bytes without updates, polls of
/// load reports about 200, and the target is 2 KB per second.
const BYTES_PER_SECOND: f64 = 250.0;
const BURST_BYTES: f64 = 16_384.0;

/// Sustained rate of load reports that a node sends: 20 reports of 8 bytes per second.
///
/// With 13 endpoints each report reaches all nodes within about a second. With 600, a node relays
/// only those of its failure domain, about 100, so that a report is about 5 s old on average; a
/// node then relies on its own dispatches and on the reports that it polls itself. Load reports
/// have a separate bucket because otherwise the larger membership records would never fit.
const LOAD_BYTES_PER_SECOND: f64 = 160.0;
const LOAD_BURST_BYTES: f64 = 512.0;

/// Time for which a notice counts in the digest of recent notices. All nodes have received the
/// notice long before it ends, so that their digests agree again.
const DIGEST_WINDOW: Millis = Millis::from_secs(60);

/// Number of times that a node sends a load report. Every node that receives a new report does
/// the same, so a few transmissions suffice; the next report replaces a lost one.
const LOAD_TRANSMISSIONS: u32 = 3;

/// Updates that wait to be sent to other nodes.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    members: Queue<Arc<str>, Member>,
    notices: Queue<Notice, Notice>,
    loads: Queue<u32, Load>,
    seen: BoundedSet<Notice>,
    recent: VecDeque<(Millis, Notice)>,
    newest_loads: HashMap<u32, NewestLoad>,
    /// Hosts whose load reports are relayed; `None` relays those of all hosts.
    relayed_hosts: Option<HashSet<u32>>,
    update_bucket: Bucket,
    load_bucket: Bucket,
}

#[derive(Clone, Copy, Debug)]
struct NewestLoad {
    incarnation: u8,
    seq: u8,
    /// Incarnation of the previous process.
    previous: Option<u8>,
}

impl Outbox {
    pub(super) fn new() -> Self {
        Self {
            members: Queue::new(MAX_UPDATES),
            notices: Queue::new(MAX_UPDATES),
            loads: Queue::new(MAX_LOADS),
            seen: BoundedSet::new(MAX_SEEN_NOTICES),
            recent: VecDeque::new(),
            newest_loads: HashMap::new(),
            relayed_hosts: None,
            update_bucket: Bucket::new(BURST_BYTES, BYTES_PER_SECOND),
            load_bucket: Bucket::new(LOAD_BURST_BYTES, LOAD_BYTES_PER_SECOND),
        }
    }

    /// Queues the record of a node.
    pub(super) fn add_member(&mut self, member: Member, nodes: usize) {
        let name = Arc::clone(&member.name);
        self.members.push(name, member, transmissions(nodes));
    }

    /// Queues a notice unless it is known, and returns whether it was new.
    pub(super) fn add_notice(&mut self, notice: Notice, nodes: usize, now: Millis) -> bool {
        let new = self.seen.insert(notice.clone());
        if new {
            self.recent.push_back((now, notice.clone()));
            if self.recent.len() > MAX_UPDATES {
                self.recent.pop_front();
            }
            self.notices
                .push(notice.clone(), notice, transmissions(nodes));
        }
        new
    }

    /// Returns a hash of the recent notices that does not depend on their order.
    pub(super) fn digest(&mut self, now: Millis) -> u16 {
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| now - *at > DIGEST_WINDOW)
        {
            self.recent.pop_front();
        }
        let hash = |notice: &Notice| {
            let bytes = xxh3_64_with_seed(notice.host.as_bytes(), notice.incarnation).to_le_bytes();
            u16::from_le_bytes([bytes[0], bytes[1]])
        };
        self.recent.iter().fold(0, |all, (_, n)| all ^ hash(n))
    }

    /// Queues the recent notices for one more transmission, because the digest of another node
    /// differs.
    ///
    /// A limited number of transmissions alone is not enough: with 4 per node, one of 8 nodes never
    /// received a notice, because the others had sent it only to nodes that knew it already.
    pub(super) fn requeue_recent_notices(&mut self) {
        for (_, notice) in &self.recent {
            if !self.notices.contains(notice) {
                self.notices.push(notice.clone(), notice.clone(), 1);
            }
        }
    }

    /// Returns whether the byte budget keeps enough for urgent updates if other updates are sent
    /// now.
    pub(super) fn has_reserve(&mut self, now: Millis) -> bool {
        self.update_bucket.available(now) >= BURST_BYTES / 2.0
    }

    /// Sets the hosts, by hash, whose load reports are relayed.
    pub(super) fn set_relayed_hosts(&mut self, hosts: HashSet<u32>) {
        self.relayed_hosts = Some(hosts);
    }

    /// Records a load report and returns whether it was newer than the known one.
    ///
    /// A newer report is queued if this node polled it itself or relays reports of its host.
    pub(super) fn add_load(&mut self, load: Load, polled: bool) -> bool {
        let previous = match self.newest_loads.get(&load.host) {
            Some(known) if known.incarnation == load.incarnation => {
                if !is_newer(load.seq, known.seq) {
                    return false;
                }
                known.previous
            }
            // Reports of the previous process may still circulate. Accepting them again would keep
            // the reports of both processes circulating forever.
            Some(known) if known.previous == Some(load.incarnation) => return false,
            Some(known) => Some(known.incarnation),
            None => None,
        };
        if self.newest_loads.len() >= MAX_LOADS && !self.newest_loads.contains_key(&load.host) {
            self.newest_loads.clear();
        }
        let newest = NewestLoad {
            incarnation: load.incarnation,
            seq: load.seq,
            previous,
        };
        self.newest_loads.insert(load.host, newest);
        if polled
            || self
                .relayed_hosts
                .as_ref()
                .is_none_or(|hosts| hosts.contains(&load.host))
        {
            self.loads.push(load.host, load, LOAD_TRANSMISSIONS);
        }
        true
    }

    /// Adds updates to a message within the byte budgets: notices first, then membership records,
    /// and load reports from a budget of their own. Returns the unused bytes of the first budget.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "byte counts of one message"
    )]
    pub(super) fn fill(&mut self, now: Millis, message: &mut Message) -> usize {
        let budget = (self.update_bucket.available(now) as usize).min(MAX_BUDGET_BYTES);
        let (notices, left) = self.notices.take(budget, Notice::encoded_bytes);
        let (members, left) = self.members.take(left, Member::encoded_bytes);
        let load_budget = (self.load_bucket.available(now) as usize).min(MAX_BUDGET_BYTES);
        let (loads, load_left) = self.loads.take(load_budget, |_| Load::ENCODED_BYTES);
        message.notices = notices;
        message.members = members;
        message.loads = loads;
        self.update_bucket.take((budget - left) as f64);
        self.load_bucket.take((load_budget - load_left) as f64);
        left
    }

    /// Charges the budget for bytes that were added to a message outside of [`Outbox::fill`].
    #[allow(clippy::cast_precision_loss, reason = "byte counts of one message")]
    pub(super) fn spend(&mut self, bytes: usize) {
        self.update_bucket.take(bytes as f64);
    }

    /// Returns the number of queued updates.
    pub(super) fn len(&self) -> usize {
        self.members.len() + self.notices.len() + self.loads.len()
    }
}

/// Returns how often a node sends an update.
///
/// Every node that receives a new update does the same, so about the logarithm of the number of
/// nodes suffices to reach nearly all of them; the records of random nodes that are sent without
/// a change reach the rest.
fn transmissions(nodes: usize) -> u32 {
    (nodes + 2).ilog2() + 1
}

/// Returns whether a sequence number is newer than another one, allowing for wraparound.
fn is_newer(seq: u8, than: u8) -> bool {
    (1..128).contains(&seq.wrapping_sub(than))
}
