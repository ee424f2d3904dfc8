/// A method whose payload and answer are JSON documents.
///
/// A call that is not answered in time is repeated once on a fresh connection, so each method has
/// to have the same effect when it is delivered twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Method {
    /// Stores a copy of an accepted request.
    Hold,
    /// Adds generated tokens to stored copies.
    Progress,
    /// Takes over streams.
    Handover,
    /// Looks for a request.
    Find,
    /// Returns the newest configuration.
    Config,
    /// Announces that a version receives no more requests.
    Trip,
    /// Exchanges what two nodes of a gateway know of all nodes.
    Gossip,
}

impl Method {
    /// Returns the name used in metrics and messages.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hold => "hold",
            Self::Progress => "progress",
            Self::Handover => "handover",
            Self::Find => "find",
            Self::Config => "config",
            Self::Trip => "trip",
            Self::Gossip => "gossip",
        }
    }
}
