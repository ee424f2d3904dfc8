use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde::Serialize;

use crate::clock::Millis;

use super::State;
use super::bucket::Bucket;
use super::roster::Roster;

/// Maximum number of seed addresses.
const MAX_SEEDS: usize = 512;

/// Ticks between two probes of a seed address without a known live node. These probes reconnect
/// the nodes after a network partition.
const SEED_PROBE_TICKS: u32 = 15;

/// Like [`SEED_PROBE_TICKS`], while nodes that are gone are remembered. With 15 ticks, two regions
/// of 20 nodes each took 74 s to converge after a partition of 10 s.
const SEED_PROBE_TICKS_AFTER_LOSS: u32 = 3;

/// Burst and sustained rate of the immediate probes that carry an urgent update.
const RELAY_BURST: f64 = 12.0;
const RELAYS_PER_SECOND: f64 = 1.0;

/// Maximum number of candidates examined to find one outside the failure domain of the previous
/// probe, and of random picks to find a seed without a live node.
const MAX_CANDIDATES: usize = 8;

/// Target of a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Address for other nodes.
    pub address: SocketAddr,
    /// Name of the node; `None` when only the address is known.
    pub name: Option<Arc<str>>,
}

/// Order in which other nodes and seed addresses are probed.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    /// Nodes not yet probed in this round.
    remaining: Vec<Arc<str>>,
    last_domain: Option<Arc<str>>,
    seeds: Vec<SocketAddr>,
    /// Seeds that were never probed.
    unprobed: Vec<SocketAddr>,
    ticks: u32,
    relay_bucket: Bucket,
}

impl Schedule {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        let mut schedule = Self {
            remaining: Vec::new(),
            last_domain: None,
            seeds: Vec::new(),
            unprobed: Vec::new(),
            ticks: 0,
            relay_bucket: Bucket::new(RELAY_BURST, RELAYS_PER_SECOND),
        };
        schedule.add_seeds(seeds);
        schedule.unprobed.reverse();
        schedule
    }

    /// Adds addresses at which nodes may run.
    pub(super) fn add_seeds<T>(&mut self, addresses: T)
    where
        T: IntoIterator<Item = SocketAddr>,
    {
        for address in addresses {
            if !self.seeds.contains(&address) && self.seeds.len() < MAX_SEEDS {
                self.seeds.push(address);
                self.unprobed.push(address);
            }
        }
    }

    /// Returns the target to probe in this tick.
    pub(super) fn next_target(&mut self, roster: &Roster, rng: &mut SmallRng) -> Option<Target> {
        self.ticks = self.ticks.wrapping_add(1);
        if let Some(target) = self.unprobed_seed(roster) {
            return Some(target);
        }
        let interval = if roster.remembers_gone() {
            SEED_PROBE_TICKS_AFTER_LOSS
        } else {
            SEED_PROBE_TICKS
        };
        if (roster.live_count() == 1 || self.ticks.is_multiple_of(interval))
            && let Some(target) = self.unknown_seed(roster, rng)
        {
            return Some(target);
        }
        self.next_member(roster, rng)
    }

    /// Returns a seed that was never probed, in every second tick.
    ///
    /// Otherwise nodes that start at the same time would form groups that know only each other
    /// until [`SEED_PROBE_TICKS`] have passed.
    fn unprobed_seed(&mut self, roster: &Roster) -> Option<Target> {
        if self.ticks.is_multiple_of(2) {
            return None;
        }
        while let Some(address) = self.unprobed.pop() {
            if address != roster.local.peer && !roster.is_live_at(address) {
                return Some(Target {
                    address,
                    name: None,
                });
            }
        }
        None
    }

    /// Returns a random seed without a known live node; gives up after a few picks.
    fn unknown_seed(&self, roster: &Roster, rng: &mut SmallRng) -> Option<Target> {
        for _ in 0..MAX_CANDIDATES {
            let address = *self
                .seeds
                .get(rng.random_range(0..self.seeds.len().max(1)))?;
            if address != roster.local.peer && !roster.is_live_at(address) {
                // A probe to a named target carries its record, so that a node declared gone
                // refutes that in its response.
                let name = roster.name_at(address).cloned();
                return Some(Target { address, name });
            }
        }
        None
    }

    /// Returns the next node of a round in which each one is probed once in random order.
    ///
    /// Prefers a node outside the failure domain of the previous one.
    fn next_member(&mut self, roster: &Roster, rng: &mut SmallRng) -> Option<Target> {
        for _ in 0..2 {
            while !self.remaining.is_empty() {
                let from = self.remaining.len().saturating_sub(MAX_CANDIDATES);
                let index = (from..self.remaining.len())
                    .rev()
                    .find(|&index| {
                        let peer = roster.get(&self.remaining[index]);
                        peer.is_some_and(|p| Some(&p.member.domain) != self.last_domain.as_ref())
                    })
                    .unwrap_or(self.remaining.len() - 1);
                let name = self.remaining.swap_remove(index);
                let Some(peer) = roster.get(&name) else {
                    continue;
                };
                if peer.member.state == State::Gone {
                    continue;
                }
                self.last_domain = Some(Arc::clone(&peer.member.domain));
                return Some(Target {
                    address: peer.member.peer,
                    name: Some(name),
                });
            }
            self.remaining = roster.peers().map(|p| Arc::clone(&p.member.name)).collect();
            self.remaining.shuffle(rng);
        }
        None
    }

    /// Returns a random node not yet probed in this round.
    pub(super) fn sample(&self, rng: &mut SmallRng) -> Option<&Arc<str>> {
        self.remaining
            .get(rng.random_range(0..self.remaining.len().max(1)))
    }

    /// Returns the relays to probe immediately: one random node in each failure domain, as far as
    /// the rate limit allows.
    pub(super) fn relay_targets(
        &mut self,
        now: Millis,
        roster: &Roster,
        rng: &mut SmallRng,
    ) -> Vec<Target> {
        let mut live: Vec<_> = roster.peers().filter(|p| p.is_available()).collect();
        live.shuffle(rng);
        let mut domains = Vec::new();
        let mut targets = Vec::new();
        for peer in live {
            if domains.contains(&&peer.member.domain) {
                continue;
            }
            if self.relay_bucket.available(now) < 1.0 {
                break;
            }
            self.relay_bucket.take(1.0);
            domains.push(&peer.member.domain);
            targets.push(Target {
                address: peer.member.peer,
                name: Some(Arc::clone(&peer.member.name)),
            });
        }
        targets
    }
}
