use std::sync::Arc;

use crate::membership::Member;
use crate::node::Node;
use crate::peer;
use crate::stream::Replica;

impl Node {
    /// Describes this node process to other nodes.
    pub(in crate::node) fn local_replica(&self) -> Replica {
        replica(self.cluster.view().local())
    }

    /// Returns the other nodes that accept new requests.
    pub(super) fn available_replicas(&self) -> Vec<Replica> {
        let view = self.cluster.view();
        view.available().map(|peer| replica(&peer.member)).collect()
    }

    /// Announces to the other nodes that this one is leaving.
    pub(in crate::node) fn announce_leaving(self: &Arc<Self>) {
        self.announce_departure();
    }

    /// Returns the connections to other nodes, or `None` before the node runs.
    pub(super) fn peer_handle(&self) -> Option<peer::Handle> {
        self.cluster.handle().cloned()
    }
}

fn replica(member: &Member) -> Replica {
    Replica {
        name: Arc::clone(&member.name),
        incarnation: member.incarnation,
        domain: Arc::clone(&member.domain),
        peer: member.peer,
        listen: member.listen,
    }
}
