use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::Tokens;
use super::tokens::Digest;

/// Time within which a node has to present a token. A round trip to another region takes less than
/// 400 ms; the rest allows for one lost packet.
const AUTHENTICATION_BOUND: Millis = Millis(1_000);

/// Most connections that have not presented a token. All nodes at the design size reconnect to a
/// restarted one over some seconds, and each needs one round trip.
const MAX_UNAUTHENTICATED: usize = 64;

/// Most connections of admitted nodes; a node at the design size has 369.
const MAX_CONNECTIONS: usize = 1_024;

/// The places for connections from other nodes.
#[derive(Clone)]
pub(super) struct Places {
    unauthenticated: Arc<Semaphore>,
    admitted: Arc<Semaphore>,
}

impl Places {
    pub(super) fn new() -> Self {
        Self {
            unauthenticated: Arc::new(Semaphore::new(MAX_UNAUTHENTICATED)),
            admitted: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        }
    }
}

/// Who is at the other end of a connection, and what the connection may do.
pub(super) struct Session {
    state: RefCell<State>,
    places: Places,
    tokens: watch::Receiver<Arc<Tokens>>,
    authenticated: Notify,
    /// Whether the connection began without a token being required.
    open: bool,
}

struct State {
    /// Digest of the token that was presented.
    bearer: Option<Digest>,
    /// Place among the connections; one that authenticates changes its place.
    _place: OwnedSemaphorePermit,
}

impl Session {
    /// Takes a place for a new connection; none when there is no free one.
    pub(super) fn new(places: &Places, tokens: watch::Receiver<Arc<Tokens>>) -> Option<Rc<Self>> {
        let open = !tokens.borrow().is_required();
        let kind = if open {
            &places.admitted
        } else {
            &places.unauthenticated
        };
        let place = Arc::clone(kind).try_acquire_owned().ok()?;
        Some(Rc::new(Self {
            state: RefCell::new(State {
                bearer: None,
                _place: place,
            }),
            places: places.clone(),
            tokens,
            authenticated: Notify::new(),
            open,
        }))
    }

    /// Returns whether the methods are available without a token.
    pub(super) fn is_open(&self) -> bool {
        self.open
    }

    /// Checks a token; an empty one stands for none.
    pub(super) fn authenticate(&self, token: &[u8]) -> Result<(), Error> {
        let Some(bearer) = self.tokens.borrow().check(token) else {
            let (why, message) = if token.is_empty() {
                ("missing", "this node requires a token of other nodes")
            } else {
                ("wrong", "this node does not know the token")
            };
            count_failure(why);
            return Err(Error::not_run(ErrorKind::Unauthorized, message));
        };
        let mut state = self.state.borrow_mut();
        if !self.open && state.bearer.is_none() {
            let place = Arc::clone(&self.places.admitted).try_acquire_owned();
            state._place = place.map_err(|_| {
                metrics::counter!("almondpath_peer_connections_refused_total").increment(1);
                Error::not_run(ErrorKind::Overloaded, "too many connections of other nodes")
            })?;
        }
        state.bearer = bearer;
        self.authenticated.notify_one();
        Ok(())
    }

    /// Returns when the connection has to be closed: without a token in time, or when the tokens
    /// have changed and no longer admit the other node.
    pub(super) async fn expired(&self) {
        let mut tokens = self.tokens.clone();
        let authenticated = self.authenticated.notified();
        if !self.open
            && timeout(AUTHENTICATION_BOUND.into(), authenticated)
                .await
                .is_err()
        {
            return count_failure("late");
        }
        loop {
            let admitted = tokens
                .borrow_and_update()
                .admits(self.state.borrow().bearer.as_ref());
            if !admitted {
                return count_failure("revoked");
            }
            if tokens.changed().await.is_err() {
                // The tokens can't change any more.
                return std::future::pending().await;
            }
        }
    }
}

fn count_failure(why: &'static str) {
    metrics::counter!("almondpath_peer_authentication_failures_total", "why" => why).increment(1);
}
