use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use slog::Logger;

use crate::clock::{Clock, Millis};

use super::{Budget, Connection, Connections, Entry, Kind, Need, Share, State};

/// Part of the descriptors that is for connections of callers, as numerator and divisor.
const CALLERS: (usize, usize) = (9, 16);

/// Part of the descriptors that is for connections to the addresses that serve pages, as a divisor.
const PAGES_DIVISOR: usize = 16;

/// Shortest time between two connections that are closed for the sake of memory.
const MIN_RELIEF_INTERVAL: Millis = Millis(10);

/// Shortest time between two log lines.
const LOG_INTERVAL: Millis = Millis(1_000);

/// What callers may take of this process, and who of them yields when it runs short.
pub(in crate::gateway) struct Intake {
    budget: Arc<Budget>,
    callers: Arc<Connections>,
    pages: Arc<Connections>,
    clock: Clock,
    log: Logger,
    relieved_at: AtomicU64,
    logged_at: AtomicU64,
}

impl Intake {
    /// Creates the intake of a process with this memory, in bytes, and this many file descriptors.
    pub(in crate::gateway) fn new(
        memory: usize,
        descriptors: usize,
        clock: &Clock,
        log: &Logger,
    ) -> Arc<Self> {
        let callers = descriptors * CALLERS.0 / CALLERS.1;
        let pages = (descriptors / PAGES_DIVISOR).max(1);
        Arc::new(Self {
            budget: Arc::new(Budget::new(memory)),
            callers: Arc::new(Connections::new(callers, clock.clone())),
            pages: Arc::new(Connections::new(pages, clock.clone())),
            clock: clock.clone(),
            log: log.clone(),
            relieved_at: AtomicU64::new(0),
            logged_at: AtomicU64::new(0),
        })
    }

    /// Returns the connections to the address for requests.
    pub(in crate::gateway) fn callers(&self) -> &Arc<Connections> {
        &self.callers
    }

    /// Returns the connections to the addresses that serve pages.
    pub(in crate::gateway) fn pages(&self) -> &Arc<Connections> {
        &self.pages
    }

    /// Returns a share of the memory that holds nothing yet.
    pub(in crate::gateway) fn share(&self, kind: Kind) -> Share {
        Share::new(&self.budget, kind)
    }

    /// Adds a connection to its group, in the place of another one if there are too many; `None` if
    /// none yields.
    pub(in crate::gateway) fn open(
        &self,
        group: &Arc<Connections>,
        address: IpAddr,
    ) -> Option<Entry> {
        if let Some(entry) = group.open(address) {
            return Some(entry);
        }
        let Some((closed, state)) = group.close_one(Need::Connections) else {
            self.report(Need::Connections, "refused", Some(address), None);
            return None;
        };
        self.report(Need::Connections, "closed", Some(closed), Some(state));
        group.open(address)
    }

    /// Holds this many bytes in a share; closes the connection that yields if memory runs short.
    /// Returns whether there was enough.
    pub(in crate::gateway) fn hold(&self, share: &mut Share, kind: Kind, bytes: usize) -> bool {
        let grows = bytes > share.bytes();
        let held = share.hold(bytes);
        let need = match kind {
            Kind::Heads => Need::Heads,
            Kind::Bodies => Need::Bodies,
            Kind::Responses => Need::Responses,
        };
        if !held {
            self.report(need, "refused", share.address(), None);
        }
        if grows && (!held || self.budget.is_short(kind)) {
            self.relieve(need);
        }
        held
    }

    fn relieve(&self, need: Need) {
        let now = self.clock.now();
        let relieved_at = self.relieved_at.load(Ordering::Relaxed);
        if now - Millis(relieved_at) < MIN_RELIEF_INTERVAL {
            return;
        }
        self.relieved_at.store(now.0, Ordering::Relaxed);
        let groups = [&self.callers, &self.pages];
        let closed = groups.into_iter().find_map(|group| group.close_one(need));
        if let Some((address, state)) = closed {
            self.report(need, "closed", Some(address), Some(state));
        }
    }

    /// Reports that a connection is closed since its caller took too long.
    pub(in crate::gateway) fn report_stalled(&self, connection: &Connection) {
        let (state, _) = connection.state();
        let address = Some(connection.address());
        self.report(Need::Time, "closed", address, Some(state));
    }

    /// Counts what was done, and logs it at most once a second.
    fn report(
        &self,
        need: Need,
        action: &'static str,
        address: Option<IpAddr>,
        state: Option<State>,
    ) {
        let labels = [("need", need.as_str()), ("action", action)];
        metrics::counter!("almondpath_callers_limited_total", &labels).increment(1);
        let now = self.clock.now();
        let logged_at = self.logged_at.load(Ordering::Relaxed);
        if now - Millis(logged_at) < LOG_INTERVAL {
            return;
        }
        self.logged_at.store(now.0, Ordering::Relaxed);
        slog::warn!(self.log, "caller limited"; "need" => need.as_str(), "action" => action,
            "address" => address.map(|address| address.to_string()),
            "state" => state.map(|state| format!("{state:?}")));
    }
}
