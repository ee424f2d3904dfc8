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

/// Timeout for establishing a TCP connection. The one-way latency to other regions is less than
/// 200 ms; the rest allows for one lost packet of the handshake.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Timeout for a probe on one connection.
const PROBE_TIMEOUT: Millis = Millis(500);

/// Timeout for the authentication of a new connection.
const AUTHENTICATION_TIMEOUT: Millis = Millis(500);

/// Maximum number of pooled connections; a node at the design size has 369.
const MAX_CONNECTIONS: usize = 512;

/// Pool of connections to other nodes, at most one for each address.
pub(super) struct Pool {
    connections: RefCell<HashMap<SocketAddr, Connection>>,
    call_timeout: Millis,
    tokens: watch::Receiver<Arc<Tokens>>,
    /// Locks held while connecting to an address, so that concurrent calls share the connection.
    connect_locks: RefCell<HashMap<SocketAddr, Rc<Mutex<()>>>>,
    /// Id of the next connection, from 1.
    next_id: Cell<u64>,
}

#[derive(Clone)]
struct Connection {
    id: u64,
    client: peer::Client,
    driver: AbortHandle,
}

impl Pool {
    /// Creates an empty pool; calls other than probes time out after `call_timeout`.
    pub(super) fn new(call_timeout: Millis, tokens: watch::Receiver<Arc<Tokens>>) -> Self {
        Self {
            connections: RefCell::default(),
            call_timeout,
            tokens,
            connect_locks: RefCell::default(),
            next_id: Cell::new(1),
        }
    }

    pub(super) async fn probe(&self, to: SocketAddr, message: &Message) -> Result<Message, Error> {
        self.exchange(to, PROBE_TIMEOUT, async |client| {
            let mut request = client.probe_request();
            wire::encode(message, request.get().init_message());
            let response = request.send().promise.await?;
            wire::decode(response.get()?.get_message()?)
        })
        .await
    }

    /// Returns `None` when the other node does not implement the method.
    pub(super) async fn append(
        &self,
        to: SocketAddr,
        batch: &Batch,
    ) -> Result<Option<Vec<Receipt>>, Error> {
        self.exchange(to, self.call_timeout, async |client| {
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
        self.exchange(to, self.call_timeout, async |client| {
            call_method(&client, method, payload).await
        })
        .await?
    }

    /// Runs an exchange on the pooled connection and, if that does not respond, on a new one.
    async fn exchange<F, G, T>(
        &self,
        to: SocketAddr,
        time_limit: Millis,
        run: F,
    ) -> Result<T, Error>
    where
        F: Fn(peer::Client) -> G,
        G: Future<Output = capnp::Result<T>>,
    {
        let mut verdict = Verdict::NotRun;
        let mut failed_id = 0;
        if let Some(connection) = self.pooled(to, failed_id) {
            match self.attempt(to, &connection, time_limit, &run).await {
                Err(error) if error.kind() == ErrorKind::Unavailable => {
                    verdict = error.verdict();
                    failed_id = connection.id;
                }
                result => return result,
            }
        }
        let fresh = self.fresh_connection(to, failed_id).await;
        match fresh {
            Ok(connection) => self.attempt(to, &connection, time_limit, &run).await,
            Err(error) => Err(error),
        }
        .map_err(|error| {
            let verdict = verdict.max(error.verdict());
            error.with_verdict(verdict)
        })
    }

    /// Runs an exchange on one connection, which is closed when it does not respond.
    async fn attempt<F, G, T>(
        &self,
        to: SocketAddr,
        connection: &Connection,
        time_limit: Millis,
        run: &F,
    ) -> Result<T, Error>
    where
        F: Fn(peer::Client) -> G,
        G: Future<Output = capnp::Result<T>>,
    {
        let reason = match timeout(time_limit.into(), run(connection.client.clone())).await {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(error)) => match error.kind {
                capnp::ErrorKind::Disconnected => error.to_string(),
                capnp::ErrorKind::Unimplemented => {
                    let message =
                        format!("the node at {to} does not implement the method: {error}");
                    return Err(Error::not_run(ErrorKind::NotFound, message));
                }
                _ => {
                    let message = format!("the call to the node at {to} failed: {error}");
                    return Err(Error::may_have_run(ErrorKind::EndpointFailed, message));
                }
            },
            Err(_) => format!("no response within {time_limit}"),
        };
        self.close(to, connection.id);
        Err(Error::may_have_run(
            ErrorKind::Unavailable,
            format!("the node at {to} does not respond: {reason}"),
        ))
    }

    /// Returns the pooled connection unless it is the one that failed.
    fn pooled(&self, to: SocketAddr, failed_id: u64) -> Option<Connection> {
        let connections = self.connections.borrow();
        connections.get(&to).filter(|c| c.id != failed_id).cloned()
    }

    /// Returns a connection newer than the one that failed; concurrent callers share it.
    async fn fresh_connection(&self, to: SocketAddr, failed_id: u64) -> Result<Connection, Error> {
        let lock = Rc::clone(self.connect_locks.borrow_mut().entry(to).or_default());
        let guard = lock.lock().await;
        let result = match self.pooled(to, failed_id) {
            Some(connection) => Ok(connection),
            None => self.connect(to).await,
        };
        drop(guard);
        // The last waiting caller removes the lock, so that the map stays small.
        if Rc::strong_count(&lock) == 2 {
            self.connect_locks.borrow_mut().remove(&to);
        }
        result
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, Error> {
        let connect_error = |reason: String| {
            Error::not_run(
                ErrorKind::Unavailable,
                format!("connecting to the node at {to} failed: {reason}"),
            )
        };
        let stream = timeout(CONNECT_TIMEOUT.into(), TcpStream::connect(to))
            .await
            .map_err(|_| connect_error(format!("no TCP connection within {CONNECT_TIMEOUT}")))?
            .map_err(|error| connect_error(error.to_string()))?;
        let mut system = connection::system(stream, Side::Client, None);
        let bootstrap: authentication::Client = system.bootstrap(Side::Server);
        let driver = tokio::task::spawn_local(system).abort_handle();
        let tokens = Arc::clone(&self.tokens.borrow());
        let session = timeout(
            AUTHENTICATION_TIMEOUT.into(),
            authenticate(bootstrap, &tokens),
        );
        let client = session
            .await
            .map_err(|_| {
                connect_error(format!("not authenticated within {AUTHENTICATION_TIMEOUT}"))
            })
            .and_then(|session| session.map_err(|error| connect_error(error.to_string())))
            .flatten()
            .inspect_err(|_| driver.abort())?;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Connection { id, client, driver };
        self.insert(to, connection.clone());
        Ok(connection)
    }

    /// Adds a connection to the pool; if the pool is full, an arbitrary other one is closed.
    fn insert(&self, to: SocketAddr, connection: Connection) {
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

/// Presents this node's token on a new connection, and returns the client for its methods.
///
/// A node of a release without [`authentication`] offers its methods immediately. They are not
/// called if this node requires tokens, because such a node does not authenticate its callers.
async fn authenticate(
    bootstrap: authentication::Client,
    tokens: &Tokens,
) -> capnp::Result<Result<peer::Client, Error>> {
    let mut request = bootstrap.authenticate_request();
    request.get().set_token(tokens.outgoing());
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
        .map_err(|error| capnp::Error::failed(format!("invalid error payload: {error}")))
}

/// Calls a method and decodes its response.
macro_rules! call {
    ($client:ident, $request:ident, $payload:ident) => {{
        let mut request = $client.$request();
        request.get().set_payload($payload);
        let response = request.send().promise.await?;
        decode_answer(response.get()?.get_answer()?)
    }};
}

async fn call_method(
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

fn decode_answer(from: answer::Reader<'_>) -> capnp::Result<Result<Bytes, Error>> {
    Ok(match from.which()? {
        answer::Which::Payload(payload) => Ok(Bytes::copy_from_slice(payload?)),
        answer::Which::Error(error) => Err(decode_error(error?)?),
    })
}
