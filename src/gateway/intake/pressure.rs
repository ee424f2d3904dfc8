//! The load it answers: callers that hold memory or connections and do not go on, next to ordinary ones.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::clock::Millis;

use super::{Client, State};

/// Rate in bytes a second below which a transfer is closed when memory runs short.
const MIN_RATE: u64 = 64 * 1024;

/// Time before a rate counts.
const MIN_TRANSFER_TIME: Millis = Millis(1_000);

/// Time that a new connection has for its first request when connections run short.
const MIN_OPEN_TIME: Millis = Millis(100);

/// What runs short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Connections.
    Connections,
    /// Memory for heads.
    Heads,
    /// Memory for bodies.
    Bodies,
    /// Memory for responses.
    Responses,
    /// The time that a caller has for a head, or to take a part of a response; no other one yields.
    Time,
}

impl Need {
    /// Returns the name used in metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Heads => "heads",
            Self::Bodies => "bodies",
            Self::Responses => "responses",
            Self::Time => "time",
        }
    }
}

/// How readily a connection yields; the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It has not shown a route and a key.
    Unknown,
    /// Its transfer is slow.
    Slow,
    /// It was admitted before, and is idle.
    Idle,
}

/// Returns the connection that yields, if one may: the unknown first, then the slowest, then the one
/// that has been idle for longest. Of connections alike, one of the address with most of them yields.
#[must_use]
pub fn choose<K>(clients: &[Client<K>], need: Need, now: Millis) -> Option<K>
where
    K: Copy,
{
    let mut by_address: HashMap<IpAddr, usize> = HashMap::new();
    for client in clients {
        *by_address.entry(client.address).or_default() += 1;
    }
    let is_heavy = |client: &Client<K>| by_address[&client.address] * 2 > clients.len();
    let ranked = clients.iter().filter_map(|client| {
        let rank = rank(client, need, now)?;
        Some((rank, !is_heavy(client), rate(client, now), client))
    });
    let first =
        ranked.min_by_key(|(rank, light, rate, client)| (*rank, *light, *rate, client.since));
    first.map(|(_, _, _, client)| client.key)
}

/// Returns how readily a connection yields; `None` if it keeps what it has.
fn rank<K>(client: &Client<K>, need: Need, now: Millis) -> Option<Rank> {
    let elapsed = now - client.since;
    let is_slow = elapsed >= MIN_TRANSFER_TIME && rate(client, now) < MIN_RATE;
    let slow = is_slow.then_some(Rank::Slow);
    match (need, client.state) {
        (Need::Connections, State::Idle | State::Head) if !client.admitted => {
            (elapsed >= MIN_OPEN_TIME).then_some(Rank::Unknown)
        }
        (Need::Connections, State::Idle) => Some(Rank::Idle),
        (Need::Connections | Need::Bodies, State::Body(_))
        | (Need::Connections | Need::Responses, State::Response(_)) => slow,
        (Need::Connections | Need::Heads, State::Head) => {
            (elapsed >= MIN_TRANSFER_TIME).then_some(Rank::Slow)
        }
        _ => None,
    }
}

/// Returns the rate of a transfer in bytes a second; 0 if there is none.
fn rate<K>(client: &Client<K>, now: Millis) -> u64 {
    let (State::Body(bytes) | State::Response(bytes)) = client.state else {
        return 0;
    };
    bytes.saturating_mul(1_000) / (now - client.since).0.max(1)
}
