use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Mutex, MutexGuard, OnceLock};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::addressing::Candidate;
use crate::clock::{Clock, Millis};
use crate::control::Projection;
use crate::membership::{Member, Rates, State, View};
use crate::peer;
use crate::provider;
use crate::settings;

/// What a node knows about the cluster, and its connections to other nodes.
#[derive(Debug)]
pub(super) struct Cluster {
    view: Mutex<View>,
    handle: OnceLock<peer::Handle>,
    /// The newest state of the `control` stream, from the log or from another node.
    pub(super) control: Mutex<Projection>,
    /// Whether the `control` state is being fetched from another node.
    pub(super) fetching_control: AtomicBool,
    /// Whether the log has dropped the next record of the `control` stream.
    pub(super) control_gap: AtomicBool,
    /// Offset up to which this process has read the `control` stream from the log.
    pub(super) control_read_to: AtomicU64,
    /// Whether the last read of the `control` stream succeeded.
    pub(super) log_reachable: AtomicBool,
    /// Notified when the `control` stream has probably grown.
    pub(super) control_grown: Notify,
    /// Request rates of the client accounts at this node.
    pub(super) rates: Mutex<Rates>,
    /// When a relayed load report first named an unknown process, by the hash of its host's name.
    pub(super) unknown_endpoints: Mutex<HashMap<u32, Millis>>,
    pub(super) platform: provider::Http,
    /// Cancelled when the connections to other nodes close, after open calls have ended.
    pub(super) shutdown: CancellationToken,
}

impl Cluster {
    pub(super) fn new(settings: &settings::Node, clock: &Clock) -> Self {
        let own = Member {
            name: settings.name.clone(),
            domain: settings.failure_domain.clone(),
            peer: settings.peer,
            listen: settings.listen,
            incarnation: incarnation(clock.wall()),
            version: 0,
            state: State::Alive,
        };
        let seeds = settings.seeds.clone();
        Self {
            view: Mutex::new(View::new(own, seeds, rand::random())),
            handle: OnceLock::new(),
            control: Mutex::default(),
            fetching_control: AtomicBool::new(false),
            control_gap: AtomicBool::new(false),
            control_read_to: AtomicU64::new(0),
            log_reachable: AtomicBool::new(false),
            control_grown: Notify::new(),
            rates: Mutex::default(),
            unknown_endpoints: Mutex::default(),
            platform: provider::Http::new(settings.platform),
            shutdown: CancellationToken::new(),
        }
    }

    /// Locks the membership view; the guard must not be held across an await point.
    pub(super) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().expect("view lock")
    }

    /// Returns the connections to other nodes, or `None` before the node runs.
    pub(super) fn handle(&self) -> Option<&peer::Handle> {
        self.handle.get()
    }

    /// Sets the connections to other nodes.
    pub(super) fn connect(&self, handle: peer::Handle) {
        // A node runs once, so the cell is empty.
        let _ = self.handle.set(handle);
    }

    /// Returns whether this process has announced that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.view().local().state == State::Leaving
    }

    /// Returns the nodes that callers may use: this one first, unless it is leaving.
    pub(super) fn candidates(&self, weight: u8) -> Vec<Candidate> {
        let view = self.view();
        let own = view.local();
        let mut candidates = Vec::new();
        if own.state == State::Alive {
            candidates.push(candidate(own, weight));
        }
        candidates.extend(view.available().map(|peer| {
            let weight = peer.header.as_ref().map_or(u8::MAX, |h| h.weight);
            candidate(&peer.member, weight)
        }));
        candidates
    }
}

fn candidate(member: &Member, weight: u8) -> Candidate {
    Candidate {
        name: member.name.clone(),
        address: member.listen,
        domain: member.domain.clone(),
        weight,
    }
}

/// Number of random bits in an incarnation, below the start time.
const RANDOM_BITS: u32 = 20;

/// Returns the incarnation of this process: its start time, so that a later process of the same
/// name supersedes it, and random bits.
fn incarnation(wall: Millis) -> u64 {
    (wall.0 << RANDOM_BITS) | rand::random_range(0..1 << RANDOM_BITS)
}
