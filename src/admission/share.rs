use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;

/// Minimum share of a node, so that a node that has just started can serve its first requests.
const MIN_SHARE: f64 = 0.02;

/// Maximum number of samples kept per node; at one announcement per second, more than any window
/// contains.
const MAX_SAMPLES: usize = 64;

/// Demand samples of one node within a time window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    samples: VecDeque<(Millis, f64)>,
}

impl Window {
    fn push(&mut self, demand: f64, now: Millis, length: Millis) {
        // The newest sample before the window is kept: it still applied when the window began.
        while self.samples.len() > 1 && self.samples[1].0 + length <= now
            || self.samples.len() >= MAX_SAMPLES
        {
            self.samples.pop_front();
        }
        self.samples.push_back((now, demand));
    }

    fn recent(&self, now: Millis, length: Millis) -> impl Iterator<Item = f64> {
        let old = self
            .samples
            .iter()
            .take_while(|(at, _)| *at + length <= now)
            .count();
        self.samples.iter().skip(old.saturating_sub(1)).map(|s| s.1)
    }

    fn last(&self) -> Option<Millis> {
        self.samples.back().map(|sample| sample.0)
    }
}

/// A node's share of one client account's rate limit, which applies to all nodes together.
///
/// The share is the node's demand divided by the demand of all nodes that it knows. Announcements
/// take time to arrive, so a node uses the smallest demand that it announced itself within the
/// window, and the largest demand that it received from each peer within the window.
///
/// # Overshoot
///
/// While every announcement arrives within the window, each node assumes for every peer at least
/// the demand that the peer assumes for itself. Then the shares add up to at most
/// `sum(d_i / sum(d_j)) = 1`, plus `MIN_SHARE` for each node whose share is below that minimum: at
/// most `1 + 0.02 * nodes`. This holds while demand changes, while nodes join (a new node starts at
/// the minimum share and keeps it for `peer_timeout` if it receives no announcement) and while
/// nodes leave (a peer counts until nothing was received from it for `peer_timeout`).
///
/// During a network partition into `k` groups, and for one window after it, the sum is at most
/// `k + 0.02 * nodes`: the same bound holds within each group, and unreachable peers that still
/// count only lower the shares. The token bucket of each node adds a burst of one second of its
/// rate.
///
/// The bound does not hold for a node that receives a peer's demand less than once per window, as
/// with hundreds of nodes that each probe three peers per second, unless announcements are relayed.
#[derive(Clone, Debug, Serialize)]
pub struct Share {
    window: Millis,
    #[serde(rename = "hold")]
    peer_timeout: Millis,
    started: Millis,
    own: Window,
    peers: HashMap<Arc<str>, Window>,
}

impl Share {
    /// Creates the share of a node without peers.
    ///
    /// `window` is the longest time that an announcement takes to reach all nodes, and
    /// `peer_timeout` is the time for which a peer counts after its last announcement.
    #[must_use]
    pub fn new(window: Millis, peer_timeout: Millis, now: Millis) -> Self {
        Self {
            window,
            peer_timeout,
            started: now,
            own: Window::default(),
            peers: HashMap::new(),
        }
    }

    /// Records the demand that this node announces to its peers, in cost units per second.
    pub fn record_own(&mut self, demand: f64, now: Millis) {
        self.own.push(demand, now, self.window);
    }

    /// Records the demand that a peer announced, in cost units per second.
    pub fn record_peer(&mut self, peer: &Arc<str>, demand: f64, now: Millis) {
        let window = self.peers.entry(Arc::clone(peer)).or_default();
        window.push(demand, now, self.window);
    }

    /// Drops the peer `stopped`, if one is known to have stopped, and all peers that timed out.
    pub fn forget(&mut self, stopped: Option<&str>, now: Millis) {
        self.peers.retain(|name, window| {
            Some(&**name) != stopped && window.last().is_some_and(|at| at + self.peer_timeout > now)
        });
    }

    /// Returns this node's share of the rate limit, from 0 to 1.
    #[must_use]
    pub fn current(&self, now: Millis) -> f64 {
        let windows = self.peers.values();
        let alive: Vec<&Window> = windows
            .filter(|window| window.last().is_some_and(|at| at + self.peer_timeout > now))
            .collect();
        let others: f64 = alive
            .iter()
            .map(|window| window.recent(now, self.window).fold(0.0, f64::max))
            .sum();
        let warm_up = if alive.is_empty() {
            self.peer_timeout
        } else {
            self.window
        };
        if now < self.started + warm_up {
            // A node that has just started may not have received the demand of all peers yet.
            return MIN_SHARE;
        }
        let own = self.own_demand(now);
        if own + others > 0.0 {
            return (own / (own + others)).max(MIN_SHARE);
        }
        1.0 / (1.0 + alive.len() as f64)
    }

    fn own_demand(&self, now: Millis) -> f64 {
        let smallest = self.own.recent(now, self.window).reduce(f64::min);
        smallest.unwrap_or(0.0)
    }
}
