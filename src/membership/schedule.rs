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

/// Most addresses of possible nodes.
const MAX_SEEDS: usize = 512;

/// Ticks between two probes of an address at which no live node is known. These probes find nodes
/// again after a partition.
const SEED_PROBE_TICKS: u32 = 15;

/// The same while nodes are remembered that are gone: with 15, two regions of 20 nodes that had been
/// parted for 10 s took 74 s to agree again.
const SEED_PROBE_TICKS_AFTER_LOSS: u32 = 3;

/// Probes that pass on an urgent update at once, in a burst and in the long run.
const RELAY_BURST: f64 = 12.0;
const RELAYS_PER_SECOND: f64 = 1.0;

/// Candidates that are looked at for one in another failure domain than the probe before.
const DOMAIN_CANDIDATES: usize = 8;

/// A node to probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Address for other nodes.
    pub address: SocketAddr,
    /// Name of the node; none when only an address is known.
    pub name: Option<Arc<str>>,
}

/// The order in which other nodes are probed.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    ring: Vec<Arc<str>>,
    last_domain: Option<Arc<str>>,
    seeds: Vec<SocketAddr>,
    /// Hints that were never probed.
    unprobed: Vec<SocketAddr>,
    ticks: u32,
    relays: Bucket,
}

impl Schedule {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        let mut schedule = Self {
            ring: Vec::new(),
            last_domain: None,
            seeds: Vec::new(),
            unprobed: Vec::new(),
            ticks: 0,
            relays: Bucket::new(RELAY_BURST, RELAYS_PER_SECOND),
        };
        schedule.add_seeds(seeds);
        schedule.unprobed.reverse();
        schedule
    }

    /// Adds addresses at which nodes may exist.
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

    /// Returns the node to probe in this tick.
    pub(super) fn next(&mut self, roster: &Roster, rng: &mut SmallRng) -> Option<Target> {
        self.ticks = self.ticks.wrapping_add(1);
        if let Some(target) = self.unprobed_seed(roster) {
            return Some(target);
        }
        let interval = if roster.has_gone() {
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

    /// Returns a hint that was never probed, in every second tick.
    ///
    /// Nodes that start at the same time would otherwise form groups that know only each other
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

    /// Returns a hint at which no live node is known; a few random picks are enough.
    fn unknown_seed(&self, roster: &Roster, rng: &mut SmallRng) -> Option<Target> {
        for _ in 0..DOMAIN_CANDIDATES {
            let address = *self
                .seeds
                .get(rng.random_range(0..self.seeds.len().max(1)))?;
            if address != roster.local.peer && !roster.is_live_at(address) {
                // A node that is named learns that it counts as gone, and objects in its answer.
                let name = roster.name_at(address).cloned();
                return Some(Target { address, name });
            }
        }
        None
    }

    /// Returns the next node of a round in which each is probed once, preferably in another
    /// failure domain than the one before.
    fn next_member(&mut self, roster: &Roster, rng: &mut SmallRng) -> Option<Target> {
        for _ in 0..2 {
            while !self.ring.is_empty() {
                let from = self.ring.len().saturating_sub(DOMAIN_CANDIDATES);
                let index = (from..self.ring.len())
                    .rev()
                    .find(|&index| {
                        let peer = roster.get(&self.ring[index]);
                        peer.is_some_and(|p| Some(&p.member.domain) != self.last_domain.as_ref())
                    })
                    .unwrap_or(self.ring.len() - 1);
                let name = self.ring.swap_remove(index);
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
            self.ring = roster.peers().map(|p| Arc::clone(&p.member.name)).collect();
            self.ring.shuffle(rng);
        }
        None
    }

    /// Returns a random node among those not yet probed in this round.
    pub(super) fn sample(&self, rng: &mut SmallRng) -> Option<&Arc<str>> {
        self.ring.get(rng.random_range(0..self.ring.len().max(1)))
    }

    /// Returns nodes to probe at once: one in the own failure domain, and one relay in each other
    /// one, as far as the bucket allows.
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
            if self.relays.available(now) < 1.0 {
                break;
            }
            self.relays.take(1.0);
            domains.push(&peer.member.domain);
            targets.push(Target {
                address: peer.member.peer,
                name: Some(Arc::clone(&peer.member.name)),
            });
        }
        targets
    }
}
