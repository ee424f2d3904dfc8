use crate::node::Node;
use crate::peer;
use crate::stream::Holder;

impl Node {
    /// Returns this process.
    pub(in crate::node) fn own(&self) -> Holder {
        Holder {
            name: self.settings.name.clone(),
            incarnation: 0,
            domain: self.settings.failure_domain.clone(),
            peer: self.settings.peer,
            listen: self.settings.listen,
        }
    }

    /// Returns the other nodes that may get new work.
    pub(super) fn neighbours(&self) -> Vec<Holder> {
        Vec::new()
    }

    /// Tells the other nodes that this one is leaving.
    pub(in crate::node) fn announce_leaving(&self) {}

    /// Returns the connections to other nodes.
    pub(super) fn peers(&self) -> Option<peer::Handle> {
        None
    }
}
