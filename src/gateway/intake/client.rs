use std::net::IpAddr;

use crate::clock::Millis;

/// What a connection of a caller is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing has arrived since the last request, or since the connection was opened.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// A body is arriving, of which this many bytes have.
    Body(u64),
    /// The caller takes its response more slowly than it is written; it has taken this many bytes
    /// meanwhile.
    Response(u64),
    /// A request is in progress that waits for nothing from its caller.
    Busy,
}

/// A connection of a caller, as the decision on who yields sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client<K> {
    /// Identifies the connection.
    pub key: K,
    /// The caller's address.
    pub address: IpAddr,
    /// Whether a request of this connection had a route and a valid key.
    pub admitted: bool,
    /// What it is doing.
    pub state: State,
    /// Since when.
    pub since: Millis,
}
