use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Part of the memory of a process that one kind may hold, as a divisor.
const fn divisor(kind: Kind) -> usize {
    match kind {
        Kind::Heads => 8,
        Kind::Bodies | Kind::Responses => 4,
    }
}

/// What callers make a process hold in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Heads of requests that are arriving.
    Heads,
    /// Bodies of requests.
    Bodies,
    /// Responses that are not complete, or that their callers have not taken.
    Responses,
}

/// The memory of a process that callers may make it hold. Each kind has a part, and one address may
/// hold three quarters of it, so that neither uses up what others need.
#[derive(Debug)]
pub struct Budget {
    memory: usize,
    parts: [Mutex<Held>; 3],
}

/// What is held of a part.
#[derive(Debug, Default)]
struct Held {
    all: usize,
    by_address: HashMap<IpAddr, usize>,
}

impl Budget {
    /// Creates the budget of a process with this memory, in bytes.
    #[must_use]
    pub fn new(memory: usize) -> Self {
        Self {
            memory,
            parts: Default::default(),
        }
    }

    /// Returns the memory for a kind, in bytes.
    #[must_use]
    pub fn limit(&self, kind: Kind) -> usize {
        self.memory / divisor(kind)
    }

    /// Returns whether less than a quarter of the memory for a kind is free.
    #[must_use]
    pub fn is_short(&self, kind: Kind) -> bool {
        self.held(kind).all > self.limit(kind) / 4 * 3
    }

    /// Takes memory for a holder at an address that has `own` bytes already; returns whether there was
    /// enough. The only holder gets what it asks for, since it is bounded by the limits on a request.
    pub(super) fn take(
        &self,
        kind: Kind,
        address: Option<IpAddr>,
        own: usize,
        bytes: usize,
    ) -> bool {
        let limit = self.limit(kind);
        let held = &mut *self.held(kind);
        let of_address = address.map_or(0, |address| {
            held.by_address.get(&address).copied().unwrap_or_default()
        });
        let fits = held.all + bytes <= limit && of_address + bytes <= limit / 4 * 3;
        if !fits && held.all > own {
            return false;
        }
        held.all += bytes;
        if let Some(address) = address {
            held.by_address.insert(address, of_address + bytes);
        }
        true
    }

    pub(super) fn give_back(&self, kind: Kind, address: Option<IpAddr>, bytes: usize) {
        let held = &mut *self.held(kind);
        held.all = held.all.saturating_sub(bytes);
        let Some(address) = address else {
            return;
        };
        if let Some(of_address) = held.by_address.get_mut(&address) {
            *of_address = of_address.saturating_sub(bytes);
            if *of_address == 0 {
                held.by_address.remove(&address);
            }
        }
    }

    fn held(&self, kind: Kind) -> MutexGuard<'_, Held> {
        // Each change leaves the sums consistent.
        self.parts[kind as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
