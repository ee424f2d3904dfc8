use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::Reachability;

use super::readers::rank;
use super::roster::Roster;

/// Time since its start after which a node that hears most of the others takes those that it never
/// heard for gone.
const JOINED: Millis = Millis(10_000);

/// Nodes that a deployment is taken to have while the store could not be asked.
const UNKNOWN_NODES: usize = 16;

/// The other nodes that the store names: nodes write themselves there once, and stay after their end.
#[derive(Debug, Default)]
pub(in crate::gateway) struct KnownNodes {
    /// Names and addresses, in the order in which nodes are chosen.
    nodes: Vec<(Arc<str>, SocketAddr)>,
    /// Whether the store was read.
    read: bool,
}

impl KnownNodes {
    /// Takes in the nodes that the store names.
    pub(in crate::gateway) fn take_in<I>(&mut self, nodes: I)
    where
        I: IntoIterator<Item = (Arc<str>, SocketAddr)>,
    {
        let known: HashMap<_, _> = self.nodes.drain(..).chain(nodes).collect();
        self.nodes.extend(known);
        self.nodes.sort_by_cached_key(|(name, _)| rank(name));
        self.read = true;
    }

    /// Returns all nodes, those first that are chosen to read the store first.
    pub(super) fn nodes(&self) -> &[(Arc<str>, SocketAddr)] {
        &self.nodes
    }

    /// Returns how many nodes may be serving and how many of them are not heard, for a node that has
    /// been running for `uptime`.
    pub(in crate::gateway) fn reachability(
        &self,
        roster: &Roster,
        uptime: Millis,
        now: Millis,
    ) -> Reachability {
        let (nodes, unheard) = roster.count_serving(now);
        let names = self.nodes.iter().map(|(name, _)| name);
        let never_heard = names.filter(|name| roster.member(name).is_none()).count();
        let hears_most = (nodes - unheard) * 2 > self.nodes.len();
        let missing = if uptime >= JOINED && hears_most {
            0
        } else if self.read {
            never_heard
        } else {
            UNKNOWN_NODES.saturating_sub(nodes)
        };
        Reachability {
            nodes: nodes + missing,
            unreachable: unheard + missing,
        }
    }
}
