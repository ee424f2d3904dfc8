use crate::clock::Millis;

/// Uptime from which a node owns buckets of accounts: by then it has learned of the other nodes and
/// of what they granted.
pub(in crate::gateway) const OWNERSHIP_DELAY: Millis = Millis(5_000);

/// Where a node is between its start and its end, the later ones preferred as owners of buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It is shutting down.
    Leaving,
    /// It has just started.
    Starting,
    /// It has been running for long enough to own buckets.
    Established,
}

impl Phase {
    /// Returns the phase of a node.
    #[must_use]
    pub fn new(uptime: Millis, is_leaving: bool) -> Self {
        match is_leaving {
            true => Self::Leaving,
            false if uptime >= OWNERSHIP_DELAY => Self::Established,
            false => Self::Starting,
        }
    }
}
