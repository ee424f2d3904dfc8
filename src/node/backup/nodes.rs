use std::sync::Arc;

use crate::membership::Member;
use crate::node::Node;
use crate::peer;
use crate::stream::Replica;

impl Node {
    /// Returns this process.
    pub(in crate::node) fn own(&self) -> Replica {
        holder(self.cluster.view().local())
    }

    /// Returns the other nodes that may get new work.
    pub(super) fn neighbours(&self) -> Vec<Replica> {
        let view = self.cluster.view();
        view.available().map(|peer| holder(&peer.member)).collect()
    }

    /// Tells the other nodes that this one is leaving.
    pub(in crate::node) fn announce_leaving(self: &Arc<Self>) {
        self.announce_departure();
    }

    /// Returns the connections to other nodes.
    pub(super) fn peers(&self) -> Option<peer::Handle> {
        self.cluster.handle().cloned()
    }
}

fn holder(member: &Member) -> Replica {
    Replica {
        name: Arc::clone(&member.name),
        incarnation: member.incarnation,
        domain: Arc::clone(&member.domain),
        peer: member.peer,
        listen: member.listen,
    }
}
