/// A method whose request and response are opaque payloads, usually JSON.
///
/// A call that gets no response in time is retried once on a new connection, so each method must
/// be idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Method {
    /// Stores a copy of an accepted request.
    Hold,
    /// Appends generated tokens to stored copies.
    Progress,
    /// Takes over streams.
    Handover,
    /// Looks up requests.
    Find,
    /// Returns the newest configuration.
    Config,
    /// Announces that a version receives no more requests.
    Trip,
    /// Exchanges the cluster state of two gateway nodes.
    Gossip,
}

impl Method {
    /// Returns the name of the method in metrics and error messages.
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
