use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::Tokens;
use super::tokens::Digest;

/// Timeout for presenting a token on a new connection. A round trip to another region takes less
/// than 400 ms; the rest allows for one lost packet.
const AUTHENTICATION_TIMEOUT: Millis = Millis(1_000);

/// Maximum number of connections that have not presented a token.
///
/// At the design size all nodes reconnect to a restarted node within some seconds, and each needs
/// one round trip to authenticate.
const MAX_UNAUTHENTICATED: usize = 64;

/// Maximum number of connections from admitted nodes; a node at the design size has 369.
const MAX_ADMITTED: usize = 1_024;

/// Slots that limit the number of connections from other nodes.
#[derive(Clone)]
pub(super) struct ConnectionSlots {
    unauthenticated: Arc<Semaphore>,
    admitted: Arc<Semaphore>,
}

impl ConnectionSlots {
    pub(super) fn new() -> Self {
        Self {
            unauthenticated: Arc::new(Semaphore::new(MAX_UNAUTHENTICATED)),
            admitted: Arc::new(Semaphore::new(MAX_ADMITTED)),
        }
    }
}

/// Authentication state of a connection from another node.
pub(super) struct Session {
    state: RefCell<State>,
    slots: ConnectionSlots,
    tokens: watch::Receiver<Arc<Tokens>>,
    authenticated: Notify,
    /// Whether no token was required when the connection was accepted.
    open: bool,
}

struct State {
    /// Digest of the presented token.
    presented: Option<Digest>,
    /// Slot of the connection; authentication moves it to the slots of admitted nodes.
    _slot: OwnedSemaphorePermit,
}

impl Session {
    /// Creates the session of a new connection; returns `None` when no slot is free.
    pub(super) fn new(
        slots: &ConnectionSlots,
        tokens: watch::Receiver<Arc<Tokens>>,
    ) -> Option<Rc<Self>> {
        let open = !tokens.borrow().is_required();
        let kind = if open {
            &slots.admitted
        } else {
            &slots.unauthenticated
        };
        let slot = Arc::clone(kind).try_acquire_owned().ok()?;
        Some(Rc::new(Self {
            state: RefCell::new(State {
                presented: None,
                _slot: slot,
            }),
            slots: slots.clone(),
            tokens,
            authenticated: Notify::new(),
            open,
        }))
    }

    /// Returns whether the methods are available without a token.
    pub(super) fn is_open(&self) -> bool {
        self.open
    }

    /// Authenticates the other node with a token; an empty one means that it presented none.
    pub(super) fn authenticate(&self, token: &[u8]) -> Result<(), Error> {
        let Some(presented) = self.tokens.borrow().check(token) else {
            let (why, message) = if token.is_empty() {
                ("missing", "this node requires a peer token")
            } else {
                ("wrong", "this node does not accept the peer token")
            };
            count_failure(why);
            return Err(Error::not_run(ErrorKind::Unauthorized, message));
        };
        let mut state = self.state.borrow_mut();
        if !self.open && state.presented.is_none() {
            let slot = Arc::clone(&self.slots.admitted).try_acquire_owned();
            state._slot = slot.map_err(|_| {
                metrics::counter!("almondpath_peer_connections_refused_total").increment(1);
                Error::not_run(
                    ErrorKind::Overloaded,
                    "too many connections from other nodes",
                )
            })?;
        }
        state.presented = presented;
        self.authenticated.notify_one();
        Ok(())
    }

    /// Waits until the connection must be closed: no token was presented in time, or the tokens
    /// have changed and no longer admit the other node.
    pub(super) async fn expired(&self) {
        let mut tokens = self.tokens.clone();
        let authenticated = self.authenticated.notified();
        if !self.open
            && timeout(AUTHENTICATION_TIMEOUT.into(), authenticated)
                .await
                .is_err()
        {
            return count_failure("late");
        }
        loop {
            let admitted = tokens
                .borrow_and_update()
                .admits(self.state.borrow().presented.as_ref());
            if !admitted {
                return count_failure("revoked");
            }
            if tokens.changed().await.is_err() {
                // The sender is gone, so the tokens can't change any more.
                return std::future::pending().await;
            }
        }
    }
}

fn count_failure(why: &'static str) {
    metrics::counter!("almondpath_peer_authentication_failures_total", "why" => why).increment(1);
}
