use std::collections::HashSet;
use std::sync::Arc;

use crate::clock::Millis;

/// Time without contact with any other node after which a node considers itself isolated.
const ISOLATION_TIMEOUT: Millis = Millis(1_200);

/// Time for which a node has to observe that it is isolated before the others count as not alive.
const UNHEARD_TIMEOUT: Millis = Millis(1_800);

/// Whether this node has contact with other nodes, and which of them it has not heard of since it
/// was isolated.
///
/// A node cannot tell whether it is isolated or the only one left. It makes no claims about the
/// others in either case, but it does not vouch for them to callers either.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    last_contact: Millis,
    /// Start of the current period without isolation.
    connected_since: Millis,
    /// When this node first observed the current isolation. A paused process observes none.
    observed_since: Option<Millis>,
    /// Nodes of which there has been no news since an isolation.
    unheard: HashSet<Arc<str>>,
}

impl Isolation {
    /// Records contact with any node.
    pub(super) fn record_contact(&mut self, now: Millis) {
        if self.is_isolated(now) {
            self.connected_since = now;
        }
        self.last_contact = now;
        self.observed_since = None;
    }

    /// Clears a node: there is news of it, from itself or from another node, or it is forgotten.
    /// Returns whether there was none since an isolation.
    pub(super) fn clear(&mut self, node: &str) -> bool {
        self.unheard.remove(node)
    }

    /// Checks for a long isolation, in which all of the `others` become unheard of.
    pub(super) fn tick<I>(&mut self, others: I, now: Millis)
    where
        I: Iterator<Item = Arc<str>>,
    {
        if !self.is_isolated(now) {
            return;
        }
        let since = *self.observed_since.get_or_insert(now);
        if since + UNHEARD_TIMEOUT <= now {
            self.unheard.extend(others);
        }
    }

    /// Returns whether there has been no contact with any node for [`ISOLATION_TIMEOUT`].
    pub(super) fn is_isolated(&self, now: Millis) -> bool {
        self.last_contact + ISOLATION_TIMEOUT <= now
    }

    /// Returns whether this node is isolated or was so within the last `period`.
    pub(super) fn is_recent(&self, period: Millis, now: Millis) -> bool {
        self.is_isolated(now) || self.connected_since + period > now
    }

    /// Returns whether this node was isolated at a time, or has been so since.
    pub(super) fn was_isolated_at(&self, at: Millis) -> bool {
        at < self.connected_since || self.is_isolated(at)
    }

    /// Returns whether there has been no news of a node since an isolation.
    pub(super) fn is_unheard(&self, node: &str) -> bool {
        self.unheard.contains(node)
    }
}
