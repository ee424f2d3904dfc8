use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;

use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use crate::admission::{Action, Reason, Share};
use crate::clock::Millis;
use crate::endpoint::Key;
use crate::retry::{Latencies, Retry};
use crate::routing;
use crate::scheduler::{self, Scheduler};

/// Longest time until a node's demand is known to its peers: each node probes three peers a second.
const DEMAND_WINDOW: Millis = Millis(5_000);

/// Time after which a peer that announces nothing no longer counts in the shares of limits.
const DEMAND_EXPIRY: Millis = Millis(15_000);

/// Maximum number of accounts with a share. There are a few more than the configured accounts only
/// while the configuration changes.
const MAX_SHARES: usize = 1_024;

/// Requests in the queue, by the id of their ticket.
type Waiting = HashMap<u64, oneshot::Sender<Result<(), Reason>>>;

/// The mutable state of [`Dispatch`](super::Dispatch).
#[derive(Debug)]
pub(super) struct State {
    pub(super) services: HashMap<Arc<str>, Service>,
    pub(super) retry: Retry<Key>,
    pub(super) shares: HashMap<Arc<str>, Share>,
    pub(super) seed: u64,
}

/// The queue, router and latencies of one service.
#[derive(Debug)]
pub(super) struct Service {
    pub(super) scheduler: Scheduler<Key>,
    /// Latencies of attempts at a plain service, per route.
    pub(super) latencies: HashMap<Arc<str>, Latencies>,
    pub(super) waiting: Waiting,
}

impl State {
    pub(super) fn service(&mut self, name: &Arc<str>, cost_weight: f64) -> &mut Service {
        let seed = self.seed ^ stable_id(name);
        self.services.entry(Arc::clone(name)).or_insert_with(|| {
            let routing = routing::Settings {
                seed,
                ..routing::Settings::default()
            };
            let price_ms = routing.price_ms * cost_weight * 2.0;
            Service {
                scheduler: Scheduler::new(scheduler::Settings {
                    routing: routing::Settings {
                        price_ms,
                        ..routing
                    },
                    ..scheduler::Settings::default()
                }),
                latencies: HashMap::new(),
                waiting: HashMap::new(),
            }
        })
    }

    pub(super) fn share(&mut self, account: &Arc<str>, now: Millis) -> &mut Share {
        if self.shares.len() >= MAX_SHARES && !self.shares.contains_key(account) {
            self.shares.clear();
        }
        self.shares
            .entry(Arc::clone(account))
            .or_insert_with(|| Share::new(DEMAND_WINDOW, DEMAND_EXPIRY, now))
    }
}

impl Service {
    /// Dispatches and refuses requests that are due; a request whose caller is gone counts as
    /// ended.
    pub(super) fn dispatch_due(&mut self, now: Millis) {
        while let Some(action) = self.scheduler.poll(now) {
            let (ticket, result) = match action {
                Action::Dispatch(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, reason) => (ticket, Err(reason)),
            };
            let sender = self.waiting.remove(&ticket.id);
            let dispatched = result.is_ok();
            let taken = sender.is_some_and(|sender| sender.send(result).is_ok());
            if dispatched && !taken {
                self.scheduler.finished(&ticket, &"".into(), None, now);
            }
        }
    }
}

/// Returns the hash of a name; the same at all nodes.
pub(super) fn stable_id(name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}
