use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle as Runtime;
use tokio::sync::{Semaphore, watch};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::peer_capnp::{answer, authentication, open_peer, peer};
use super::session::{ConnectionSlots, Session};
use super::{Handler, Tokens, batch, connection, wire};

/// Maximum number of calls from other nodes that are handled concurrently.
const MAX_CALLS: usize = 1_024;

/// Delay after a failed accept, for example while no file descriptors are available.
const ACCEPT_RETRY_DELAY: Millis = Millis(100);

/// Accepts connections and handles calls until it is dropped.
pub(super) async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    runtime: Runtime,
    tokens: watch::Receiver<Arc<Tokens>>,
) {
    let slots = ConnectionSlots::new();
    let calls = Arc::new(Semaphore::new(MAX_CALLS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(_) => {
                tokio::time::sleep(ACCEPT_RETRY_DELAY.into()).await;
                continue;
            }
        };
        let Some(session) = Session::new(&slots, tokens.clone()) else {
            metrics::counter!("almondpath_peer_connections_refused_total").increment(1);
            continue;
        };
        let server = Server {
            handler: Arc::clone(&handler),
            runtime: runtime.clone(),
            calls: Arc::clone(&calls),
            from,
            session,
        };
        tokio::task::spawn_local(serve_connection(stream, server));
    }
}

async fn serve_connection(stream: TcpStream, server: Server) {
    let session = Rc::clone(&server.session);
    let bootstrap = if session.is_open() {
        capnp_rpc::new_client::<open_peer::Client, _>(server).client
    } else {
        capnp_rpc::new_client::<authentication::Client, _>(server).client
    };
    // An error of the connection is not reported: the calls on it have already failed.
    tokio::select! {
        _ = connection::system(stream, Side::Server, Some(bootstrap)) => {}
        () = session.expired() => {}
    }
}

/// The interfaces that are exposed to another node on one connection.
#[derive(Clone)]
struct Server {
    handler: Arc<dyn Handler>,
    runtime: Runtime,
    calls: Arc<Semaphore>,
    from: SocketAddr,
    session: Rc<Session>,
}

impl Server {
    /// Runs a method of the handler as a task of the main runtime.
    async fn run<F, T>(&self, future: F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>> + Send + 'static,
        T: Send + 'static,
    {
        let Ok(permit) = Arc::clone(&self.calls).try_acquire_owned() else {
            return Err(Error::not_run(
                ErrorKind::Overloaded,
                "too many calls from other nodes are in progress",
            ));
        };
        let result = self.runtime.spawn(future).await;
        drop(permit);
        result.unwrap_or_else(|error| {
            Err(Error::may_have_run(ErrorKind::Internal, error.to_string()))
        })
    }

    async fn respond<F>(&self, future: F, mut to: answer::Builder<'_>) -> Result<(), capnp::Error>
    where
        F: Future<Output = Result<Bytes, Error>> + Send + 'static,
    {
        match self.run(future).await {
            Ok(payload) => to.set_payload(&payload),
            Err(error) => to.set_error(&serde_json::to_vec(&error).map_err(rpc_error)?),
        }
        Ok(())
    }
}

fn rpc_error<E>(error: E) -> capnp::Error
where
    E: std::fmt::Display,
{
    capnp::Error::failed(error.to_string())
}

/// Implements a method that forwards its payload to the handler's method of the same name.
macro_rules! forward {
    ($method:ident, $params:ident, $results:ident) => {
        async fn $method(
            self: Rc<Self>,
            params: peer::$params,
            mut results: peer::$results,
        ) -> Result<(), capnp::Error> {
            let payload = Bytes::copy_from_slice(params.get()?.get_payload()?);
            let handler = Arc::clone(&self.handler);
            let future = async move { handler.$method(payload).await };
            self.respond(future, results.get().init_answer()).await
        }
    };
}

impl peer::Server for Server {
    async fn probe(
        self: Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> Result<(), capnp::Error> {
        let message = wire::decode(params.get()?.get_message()?)?;
        let (handler, from) = (Arc::clone(&self.handler), self.from);
        let response = self
            .run(async move { handler.probe(from, message).await })
            .await
            .map_err(rpc_error)?;
        wire::encode(&response, results.get().init_message());
        Ok(())
    }

    async fn append(
        self: Rc<Self>,
        params: peer::AppendParams,
        mut results: peer::AppendResults,
    ) -> Result<(), capnp::Error> {
        let batch = batch::decode(params.get()?.get_batch()?)?;
        let handler = Arc::clone(&self.handler);
        let result = self.run(async move { handler.append(batch).await }).await;
        let mut to = results.get().init_receipts();
        match result {
            Ok(Some(receipts)) => {
                let mut list = to.init_list(wire::list_length(receipts.len()));
                for (index, receipt) in (0..).zip(receipts) {
                    batch::encode_receipt(receipt, list.reborrow().get(index));
                }
            }
            Ok(None) => return Err(capnp::Error::unimplemented("append".to_owned())),
            Err(error) => to.set_error(&serde_json::to_vec(&error).map_err(rpc_error)?),
        }
        Ok(())
    }

    forward!(hold, HoldParams, HoldResults);
    forward!(progress, ProgressParams, ProgressResults);
    forward!(handover, HandoverParams, HandoverResults);
    forward!(find, FindParams, FindResults);
    forward!(config, ConfigParams, ConfigResults);
    forward!(trip, TripParams, TripResults);
    forward!(gossip, GossipParams, GossipResults);
}

impl authentication::Server for Server {
    async fn authenticate(
        self: Rc<Self>,
        params: authentication::AuthenticateParams,
        mut results: authentication::AuthenticateResults,
    ) -> Result<(), capnp::Error> {
        let token = params.get()?.get_token()?;
        let mut session = results.get().init_session();
        match self.session.authenticate(token) {
            Ok(()) => session.set_peer(capnp_rpc::new_client(Self::clone(&self))),
            Err(error) => session.set_error(&serde_json::to_vec(&error).map_err(rpc_error)?),
        }
        Ok(())
    }
}

impl open_peer::Server for Server {}
