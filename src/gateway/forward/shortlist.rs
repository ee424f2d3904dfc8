//! Load answered: many nodes that choose at the same moment from the same old reports. Each compares
//! the homes of the prompt's prefix with a few endpoints that it draws for this request alone.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::Endpoint;
use crate::gateway::endpoint::Key;

/// Endpoints at which a prefix may be cached, in order.
const HOMES: usize = 2;

/// Endpoints drawn for one request in addition, which are compared if the others let it miss its
/// targets. The first of them always is: with more, the fastest would get most such requests, far beyond
/// its share.
const DRAWN: usize = 8;

/// The endpoints that are compared for a request.
///
/// Both kinds are selected by weighted rendezvous hashing: an endpoint of double speed is selected
/// twice as often, and when the fleet changes, only the prefixes of the endpoints that joined or left
/// move.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shortlist {
    affinity_key: Option<u64>,
    draw: u64,
    homes: Best<HOMES>,
    drawn: Best<DRAWN>,
}

impl Shortlist {
    /// Creates an empty list for a prompt with this affinity key; `draw` is a random number.
    pub(super) fn new(affinity_key: Option<u64>, draw: u64) -> Self {
        Self {
            affinity_key,
            draw,
            homes: Best::default(),
            drawn: Best::default(),
        }
    }

    /// Considers an endpoint.
    pub(super) fn add(&mut self, key: Key, endpoint: &Endpoint) {
        let id = endpoint.registration.identity.id.as_bytes();
        let slowness = endpoint.slowness.agreed();
        if let Some(affinity_key) = self.affinity_key {
            self.homes
                .add(delay(xxh3_64_with_seed(id, affinity_key), slowness), key);
        }
        self.drawn
            .add(delay(xxh3_64_with_seed(id, self.draw), slowness), key);
    }

    /// Returns the home of the prefix.
    pub(super) fn home(&self) -> Option<Key> {
        self.homes.entries[0].map(|(_, key)| key)
    }

    /// Returns whether an endpoint is to be compared in any case.
    pub(super) fn is_first(&self, key: Key) -> bool {
        self.homes.contains(key) || self.drawn.entries[0].is_some_and(|(_, first)| first == key)
    }

    /// Returns whether an endpoint is on the list.
    pub(super) fn contains(&self, key: Key) -> bool {
        self.homes.contains(key) || self.drawn.contains(key)
    }
}

/// Returns an exponentially distributed number whose mean is proportional to `slowness`: the least of
/// several numbers belongs to an endpoint with a probability in proportion to its speed.
fn delay(hash: u64, slowness: f64) -> f64 {
    let uniform = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    -(1.0 - uniform).ln() * slowness
}

/// The `N` keys with the least numbers, in order.
#[derive(Clone, Copy, Debug)]
struct Best<const N: usize> {
    entries: [Option<(f64, Key)>; N],
}

impl<const N: usize> Default for Best<N> {
    fn default() -> Self {
        Self { entries: [None; N] }
    }
}

impl<const N: usize> Best<N> {
    fn add(&mut self, number: f64, key: Key) {
        let mut carried = (number, key);
        for entry in &mut self.entries {
            match entry {
                Some(known) if known.0 <= carried.0 => {}
                Some(known) => std::mem::swap(known, &mut carried),
                None => {
                    *entry = Some(carried);
                    return;
                }
            }
        }
    }

    fn contains(&self, key: Key) -> bool {
        self.entries
            .iter()
            .flatten()
            .any(|(_, known)| *known == key)
    }
}
