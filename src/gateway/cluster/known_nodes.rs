use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::Reachability;

use super::readers::rank;
use super::roster::Roster;

/// Uptime from which a node that reaches most other nodes assumes that those it never had contact
/// with no longer exist.
const DISCOVERY_PERIOD: Millis = Millis(10_000);

/// Cluster size that is assumed until the store has been read.
const ASSUMED_NODES: usize = 16;

/// The other nodes that have a record in the store.
///
/// A node writes its record once, at its start; the record stays there after the node has ended.
#[derive(Debug, Default)]
pub(in crate::gateway) struct KnownNodes {
    /// Names and addresses, ordered by rank.
    nodes: Vec<(Arc<str>, SocketAddr)>,
    /// Whether the store has been read.
    loaded: bool,
}

impl KnownNodes {
    /// Merges the nodes that were read from the store.
    pub(in crate::gateway) fn merge<I>(&mut self, nodes: I)
    where
        I: IntoIterator<Item = (Arc<str>, SocketAddr)>,
    {
        let known: HashMap<_, _> = self.nodes.drain(..).chain(nodes).collect();
        self.nodes.extend(known);
        self.nodes.sort_by_cached_key(|(name, _)| rank(name));
        self.loaded = true;
    }

    /// Returns all nodes in the order in which they are preferred as readers of the store.
    pub(super) fn nodes(&self) -> &[(Arc<str>, SocketAddr)] {
        &self.nodes
    }

    /// Returns how many nodes may be serving and how many of them are unreachable, as seen by a
    /// node with this uptime.
    pub(in crate::gateway) fn reachability(
        &self,
        roster: &Roster,
        uptime: Millis,
        now: Millis,
    ) -> Reachability {
        let (nodes, unreachable) = roster.count_serving(now);
        let names = self.nodes.iter().map(|(name, _)| name);
        let never_seen = names.filter(|name| roster.member(name).is_none()).count();
        let reaches_most = (nodes - unreachable) * 2 > self.nodes.len();
        let missing = if uptime >= DISCOVERY_PERIOD && reaches_most {
            0
        } else if self.loaded {
            never_seen
        } else {
            ASSUMED_NODES.saturating_sub(nodes)
        };
        Reachability {
            nodes: nodes + missing,
            unreachable: unreachable + missing,
            lost_at: roster.lost_at(),
        }
    }
}
