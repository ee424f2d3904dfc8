use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Millis};

use super::moment::Moment;
use super::transfer::Transfer;
use super::{Client, State};

/// Time for which a caller may take nothing of a response.
const MAX_BLOCKED_TIME: Millis = Millis(30_000);

/// A connection of a caller: what it is doing, for the decision on who yields.
pub(in crate::gateway) struct Connection {
    address: IpAddr,
    clock: Clock,
    admitted: AtomicBool,
    /// Since when no request is in progress.
    idle: Moment,
    /// When the first byte of the next head arrived.
    head: Moment,
    body: Transfer,
    /// The response since its caller has taken less than was written.
    response: Transfer,
    /// Since when the caller takes nothing.
    blocked: Moment,
    yielded: CancellationToken,
}

impl Connection {
    /// Creates the state of a connection that was just opened.
    pub(super) fn new(address: IpAddr, clock: Clock) -> Self {
        let idle = Moment::default();
        idle.set(clock.now());
        Self {
            address,
            clock,
            admitted: AtomicBool::new(false),
            idle,
            head: Moment::default(),
            body: Transfer::default(),
            response: Transfer::default(),
            blocked: Moment::default(),
            yielded: CancellationToken::new(),
        }
    }

    pub(in crate::gateway) fn address(&self) -> IpAddr {
        self.address
    }

    /// Cancelled when the connection has to close for the sake of others.
    pub(in crate::gateway) fn yielded(&self) -> &CancellationToken {
        &self.yielded
    }

    /// Returns the connection as the decision on who yields sees it.
    pub(super) fn client<K>(&self, key: K) -> Client<K> {
        let (state, since) = self.state();
        Client {
            key,
            address: self.address,
            admitted: self.admitted.load(Ordering::Relaxed),
            state,
            since,
        }
    }

    /// Returns whether a request is in progress that waits for nothing from its caller.
    pub(in crate::gateway) fn is_busy(&self) -> bool {
        self.state().0 == State::Busy
    }

    /// Returns what the connection is doing, and since when.
    pub(super) fn state(&self) -> (State, Millis) {
        if let Some(since) = self.body.since() {
            return (State::Body(self.body.bytes()), since);
        }
        if let Some(since) = self.response.since() {
            return (State::Response(self.response.bytes()), since);
        }
        match (self.idle.get(), self.head.get()) {
            (Some(_), Some(since)) => (State::Head, since),
            (Some(since), None) => (State::Idle, since),
            (None, _) => (State::Busy, Millis::ZERO),
        }
    }
}

/// Requests.
impl Connection {
    /// Records that a request has arrived on the idle connection.
    pub(in crate::gateway) fn start_request(&self) {
        self.head.clear();
        self.idle.clear();
    }

    /// Records that no request is in progress any more.
    pub(in crate::gateway) fn end_request(&self) {
        self.idle.set(self.clock.now());
    }

    /// Records that a request had a route and a valid key.
    pub(in crate::gateway) fn admit(&self) {
        self.admitted.store(true, Ordering::Relaxed);
    }

    /// Returns when the head arriving now began.
    pub(in crate::gateway) fn head_since(&self) -> Option<Millis> {
        self.idle.get().and(self.head.get())
    }

    /// Returns whether the caller has taken nothing of a response for too long.
    pub(in crate::gateway) fn is_stalled(&self) -> bool {
        let blocked = self.blocked.get();
        blocked.is_some_and(|since| self.clock.now() - since >= MAX_BLOCKED_TIME)
    }
}

/// Bytes.
impl Connection {
    /// Records that bytes were read; returns whether they belong to a head.
    pub(super) fn record_read(&self) -> bool {
        if self.idle.get().is_none() {
            return false;
        }
        if self.head.get().is_none() {
            self.head.set(self.clock.now());
        }
        true
    }

    pub(in crate::gateway) fn start_body(&self) {
        self.body.start(self.clock.now());
    }

    pub(in crate::gateway) fn record_body(&self, bytes: usize) {
        self.body.record(bytes);
    }

    pub(in crate::gateway) fn end_body(&self) {
        self.body.end();
    }

    /// Returns whether the caller takes nothing at present.
    pub(in crate::gateway) fn is_blocked(&self) -> bool {
        self.blocked.get().is_some()
    }

    /// Records that the caller takes nothing at present.
    pub(super) fn record_blocked(&self) {
        if self.blocked.get().is_some() {
            return;
        }
        let now = self.clock.now();
        self.blocked.set(now);
        if self.response.since().is_none() {
            self.response.start(now);
        }
    }

    /// Records that the caller has taken bytes, all that were offered or a part of them.
    pub(super) fn record_written(&self, bytes: usize, all: bool) {
        if self.response.since().is_none() {
            return;
        }
        self.blocked.clear();
        self.response.record(bytes);
        if all {
            self.response.end();
        }
    }
}
