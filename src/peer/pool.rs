use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use capnp::capability::FromClientHook as _;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, watch};
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::membership::Message;
use crate::verdict::Verdict;

use super::peer_capnp::{answer, authentication, peer, receipts, session};
use super::{Batch, Method, Receipt, Tokens, batch, connection, wire};

/// Time within which another node accepts a connection. Nodes of other regions are less than
/// 200 ms away; the rest allows for one lost packet of the handshake.
const CONNECT_BOUND: Millis = Millis(1_000);

/// Time within which a probe is answered on one connection.
const PROBE_BOUND: Millis = Millis(500);

/// Time within which a new connection is authenticated.
const AUTHENTICATION_BOUND: Millis = Millis(500);

/// Most pooled connections; a node at the design size has 369.
const MAX_CONNECTIONS: usize = 512;

/// Connections to other nodes, at most one for each address.
pub(super) struct Pool {
    connections: RefCell<HashMap<SocketAddr, Connection>>,
    call_bound: Millis,
    tokens: watch::Receiver<Arc<Tokens>>,
    /// Held while a connection is made, so that concurrent calls share it.
    locks: RefCell<HashMap<SocketAddr, Rc<Mutex<()>>>>,
    /// Id of the next connection, from 1.
    next: Cell<u64>,
}

#[derive(Clone)]
struct Connection {
    id: u64,
    client: peer::Client,
    driver: AbortHandle,
}

impl Pool {
    /// Creates an empty pool whose calls other than probes are answered within `call_bound`.
    pub(super) fn new(call_bound: Millis, tokens: watch::Receiver<Arc<Tokens>>) -> Self {
        Self {
            connections: RefCell::default(),
            call_bound,
            tokens,
            locks: RefCell::default(),
            next: Cell::new(1),
        }
    }

    pub(super) async fn probe(&self, to: SocketAddr, message: &Message) -> Result<Message, Error> {
        self.exchange(to, PROBE_BOUND, async |client| {
            let mut request = client.probe_request();
            wire::encode(message, request.get().init_message());
            let response = request.send().promise.await?;
            wire::decode(response.get()?.get_message()?)
        })
        .await
    }

    /// Returns none when the other node does not have the method.
    pub(super) async fn append(
        &self,
        to: SocketAddr,
        batch: &Batch,
    ) -> Result<Option<Vec<Receipt>>, Error> {
        self.exchange(to, self.call_bound, async |client| {
            let mut request = client.append_request();
            batch::encode(batch, request.get().init_batch())?;
            let response = match request.send().promise.await {
                Err(error) if error.kind == capnp::ErrorKind::Unimplemented => return Ok(Ok(None)),
                response => response?,
            };
            Ok(match response.get()?.get_receipts()?.which()? {
                receipts::Which::List(list) => {
                    let receipts = list?.iter().map(batch::decode_receipt);
                    Ok(Some(receipts.collect::<capnp::Result<_>>()?))
                }
                receipts::Which::Error(error) => Err(decode_error(error?)?),
            })
        })
        .await?
    }

    pub(super) async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        payload: &Bytes,
    ) -> Result<Bytes, Error> {
        self.exchange(to, self.call_bound, async |client| {
            send(&client, method, payload).await
        })
        .await?
    }

    /// Runs an exchange on the pooled connection and, when it fails there, on a fresh one.
    async fn exchange<F, G, T>(&self, to: SocketAddr, bound: Millis, run: F) -> Result<T, Error>
    where
        F: Fn(peer::Client) -> G,
        G: Future<Output = capnp::Result<T>>,
    {
        let mut verdict = Verdict::NotRun;
        let mut failed = 0;
        if let Some(connection) = self.pooled(to, failed) {
            match self.attempt(to, &connection, bound, &run).await {
                Err(error) if error.kind() == ErrorKind::Unavailable => {
                    verdict = error.verdict();
                    failed = connection.id;
                }
                result => return result,
            }
        }
        let fresh = self.fresh(to, failed).await;
        match fresh {
            Ok(connection) => self.attempt(to, &connection, bound, &run).await,
            Err(error) => Err(error),
        }
        .map_err(|error| {
            let verdict = verdict.max(error.verdict());
            error.with_verdict(verdict)
        })
    }

    /// Runs an exchange on one connection, which is closed when it does not answer.
    async fn attempt<F, G, T>(
        &self,
        to: SocketAddr,
        connection: &Connection,
        bound: Millis,
        run: &F,
    ) -> Result<T, Error>
    where
        F: Fn(peer::Client) -> G,
        G: Future<Output = capnp::Result<T>>,
    {
        let reason = match timeout(bound.into(), run(connection.client.clone())).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => match error.kind {
                capnp::ErrorKind::Disconnected => error.to_string(),
                capnp::ErrorKind::Unimplemented => {
                    let message = format!("the node at {to} is too old: {error}");
                    return Err(Error::not_run(ErrorKind::NotFound, message));
                }
                _ => {
                    let message = format!("the node at {to} failed: {error}");
                    return Err(Error::may_have_run(ErrorKind::EndpointFailed, message));
                }
            },
            Err(_) => format!("no answer within {bound}"),
        };
        self.close(to, connection.id);
        Err(Error::may_have_run(
            ErrorKind::Unavailable,
            format!("the node at {to} does not answer: {reason}"),
        ))
    }

    /// Returns the pooled connection unless it is the one that failed.
    fn pooled(&self, to: SocketAddr, failed: u64) -> Option<Connection> {
        let connections = self.connections.borrow();
        connections.get(&to).filter(|c| c.id != failed).cloned()
    }

    /// Returns a connection newer than the one that failed; callers that wait share it.
    async fn fresh(&self, to: SocketAddr, failed: u64) -> Result<Connection, Error> {
        let lock = Rc::clone(self.locks.borrow_mut().entry(to).or_default());
        let guard = lock.lock().await;
        let result = match self.pooled(to, failed) {
            Some(connection) => Ok(connection),
            None => self.connect(to).await,
        };
        drop(guard);
        // The last one that waits removes the lock, so that the map stays small.
        if Rc::strong_count(&lock) == 2 {
            self.locks.borrow_mut().remove(&to);
        }
        result
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, Error> {
        let refused = |reason: String| {
            Error::not_run(
                ErrorKind::Unavailable,
                format!("connecting to the node at {to} failed: {reason}"),
            )
        };
        let stream = timeout(CONNECT_BOUND.into(), TcpStream::connect(to))
            .await
            .map_err(|_| refused(format!("no answer within {CONNECT_BOUND}")))?
            .map_err(|error| refused(error.to_string()))?;
        let mut system = connection::system(stream, Side::Client, None);
        let bootstrap: authentication::Client = system.bootstrap(Side::Server);
        let driver = tokio::task::spawn_local(system).abort_handle();
        let tokens = Arc::clone(&self.tokens.borrow());
        let session = timeout(
            AUTHENTICATION_BOUND.into(),
            authenticate(bootstrap, &tokens),
        );
        let client = session
            .await
            .map_err(|_| refused(format!("not authenticated within {AUTHENTICATION_BOUND}")))
            .and_then(|session| session.map_err(|error| refused(error.to_string())))
            .flatten()
            .inspect_err(|_| driver.abort())?;
        let id = self.next.get();
        self.next.set(id + 1);
        let connection = Connection { id, client, driver };
        self.keep(to, connection.clone());
        Ok(connection)
    }

    /// Pools a connection; with a full pool an arbitrary other one is closed.
    fn keep(&self, to: SocketAddr, connection: Connection) {
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= MAX_CONNECTIONS
            && !connections.contains_key(&to)
            && let Some(other) = connections.keys().next().copied()
            && let Some(old) = connections.remove(&other)
        {
            old.driver.abort();
        }
        if let Some(old) = connections.insert(to, connection) {
            old.driver.abort();
        }
    }

    /// Closes a connection unless a newer one has replaced it.
    fn close(&self, to: SocketAddr, id: u64) {
        let mut connections = self.connections.borrow_mut();
        if connections.get(&to).is_some_and(|c| c.id == id)
            && let Some(old) = connections.remove(&to)
        {
            old.driver.abort();
        }
    }
}

/// Presents this node's token on a new connection.
///
/// A node of a release before [`authentication`] offers its methods at once. Once tokens are
/// required here, its methods are not called, because it does not check who it talks to.
async fn authenticate(
    bootstrap: authentication::Client,
    tokens: &Tokens,
) -> capnp::Result<Result<peer::Client, Error>> {
    let mut request = bootstrap.authenticate_request();
    request.get().set_token(tokens.sent());
    let response = match request.send().promise.await {
        Ok(response) => response,
        Err(error) if error.kind == capnp::ErrorKind::Unimplemented && !tokens.is_required() => {
            return Ok(Ok(bootstrap.cast_to()));
        }
        Err(error) => return Err(error),
    };
    Ok(match response.get()?.get_session()?.which()? {
        session::Which::Peer(client) => Ok(client?),
        session::Which::Error(error) => Err(decode_error(error?)?),
    })
}

fn decode_error(from: &[u8]) -> capnp::Result<Error> {
    serde_json::from_slice(from)
        .map_err(|error| capnp::Error::failed(format!("unexpected error: {error}")))
}

/// Calls a method and reads its answer.
macro_rules! call {
    ($client:ident, $request:ident, $payload:ident) => {{
        let mut request = $client.$request();
        request.get().set_payload($payload);
        let response = request.send().promise.await?;
        read(response.get()?.get_answer()?)
    }};
}

async fn send(
    client: &peer::Client,
    method: Method,
    payload: &Bytes,
) -> capnp::Result<Result<Bytes, Error>> {
    match method {
        Method::Hold => call!(client, hold_request, payload),
        Method::Progress => call!(client, progress_request, payload),
        Method::Handover => call!(client, handover_request, payload),
        Method::Find => call!(client, find_request, payload),
        Method::Config => call!(client, config_request, payload),
        Method::Trip => call!(client, trip_request, payload),
        Method::Gossip => call!(client, gossip_request, payload),
    }
}

fn read(from: answer::Reader<'_>) -> capnp::Result<Result<Bytes, Error>> {
    Ok(match from.which()? {
        answer::Which::Payload(payload) => Ok(Bytes::copy_from_slice(payload?)),
        answer::Which::Error(error) => Err(decode_error(error?)?),
    })
}
