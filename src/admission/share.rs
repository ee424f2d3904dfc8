use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;

/// Smallest demand that a node counts itself with, as a share of the others' demand, so that a
/// node that has just started can serve its first requests.
const FLOOR: f64 = 0.02;

/// Announcements kept per node; at one a second more than any window holds.
const MAX_SAMPLES: usize = 64;

/// Demand figures announced within a time window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    samples: VecDeque<(Millis, f64)>,
}

impl Window {
    fn push(&mut self, demand: f64, now: Millis, length: Millis) {
        // The newest sample before the window is kept, because it was valid at its start.
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

/// A node's share of a limit that holds for all nodes together, for one client account.
///
/// The share is the node's demand over the demand of all nodes that it knows. Announcements take
/// time to arrive, so a node counts itself with the smallest demand that it announced within the
/// window, and each peer with the largest that it heard within it.
///
/// # Overshoot
///
/// While every announcement arrives within the window, each node counts every peer with at least
/// the demand that the peer counts itself with. Then the shares add up to at most
/// `sum(d_i / sum(d_j)) = 1`, plus `FLOOR` for each node whose demand is below the floor: at
/// most `1 + 0.02 * nodes`, whether demand moves, nodes join (a new node starts at the floor and, when it
/// hears nobody, stays there for `hold`) or
/// nodes leave (a peer counts until it was silent for `hold`). While the nodes are parted into `k`
/// groups, and for a window after that, the sum is at most `k + 0.02 * nodes`: within a group the
/// same holds, and peers that are silent but still count only lower the shares. The bucket of
/// each node adds its burst of one second of its rate.
///
/// A node that hears each peer less often than once in the window, as with hundreds of nodes that
/// probe three peers a second each, is outside this bound unless announcements are relayed.
#[derive(Clone, Debug, Serialize)]
pub struct Share {
    window: Millis,
    hold: Millis,
    started: Millis,
    own: Window,
    peers: HashMap<Arc<str>, Window>,
}

impl Share {
    /// Creates the share of a node without peers.
    ///
    /// `window` is the longest time that an announcement takes to reach all nodes, and `hold` is
    /// the time for which a silent peer counts.
    #[must_use]
    pub fn new(window: Millis, hold: Millis, now: Millis) -> Self {
        Self {
            window,
            hold,
            started: now,
            own: Window::default(),
            peers: HashMap::new(),
        }
    }

    /// Records the demand that this node announces to its peers, in cost units a second.
    pub fn record_own(&mut self, demand: f64, now: Millis) {
        self.own.push(demand, now, self.window);
    }

    /// Records the demand that a peer announced.
    pub fn record_peer(&mut self, peer: &Arc<str>, demand: f64, now: Millis) {
        let window = self.peers.entry(Arc::clone(peer)).or_default();
        window.push(demand, now, self.window);
    }

    /// Forgets a peer that is known to have ended, and all that were silent for too long.
    pub fn forget(&mut self, gone: Option<&str>, now: Millis) {
        self.peers.retain(|name, window| {
            Some(&**name) != gone && window.last().is_some_and(|at| at + self.hold > now)
        });
    }

    /// Returns this node's share of the limit, from 0 to 1.
    #[must_use]
    pub fn current(&self, now: Millis) -> f64 {
        let heard = self.peers.values();
        let alive: Vec<&Window> = heard
            .filter(|window| window.last().is_some_and(|at| at + self.hold > now))
            .collect();
        let others: f64 = alive
            .iter()
            .map(|window| window.recent(now, self.window).fold(0.0, f64::max))
            .sum();
        let settled = if alive.is_empty() {
            self.hold
        } else {
            self.window
        };
        if now < self.started + settled {
            // A node that has just started may not have heard all its peers yet.
            return FLOOR;
        }
        let own = self.own_demand(now);
        if own + others > 0.0 {
            return (own / (own + others)).max(FLOOR);
        }
        1.0 / (1.0 + alive.len() as f64)
    }

    fn own_demand(&self, now: Millis) -> f64 {
        let smallest = self.own.recent(now, self.window).reduce(f64::min);
        smallest.unwrap_or(0.0)
    }
}
