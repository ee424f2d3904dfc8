use std::net::SocketAddr;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};

use crate::error::{Error, ErrorKind};
use crate::membership::Message;

use super::{Batch, Method, Receipt};

/// A call that is sent to the thread that owns the connections.
#[derive(Debug)]
pub(super) struct Command {
    pub(super) to: SocketAddr,
    pub(super) request: Request,
}

#[derive(Debug)]
pub(super) enum Request {
    Probe(Box<Message>, oneshot::Sender<Result<Message, Error>>),
    Append(
        Box<Batch>,
        oneshot::Sender<Result<Option<Vec<Receipt>>, Error>>,
    ),
    Call(Method, Bytes, oneshot::Sender<Result<Bytes, Error>>),
}

/// Client for the methods of other nodes.
///
/// A call that gets no response within the timeout is retried once on a new connection; after that
/// it fails with kind `Unavailable` and the peer counts as unreachable. An error that the other
/// node returns is passed through unchanged.
///
/// # Examples
///
/// ```no_run
/// # async fn example(handle: almondpath::peer::Handle) -> Result<(), almondpath::error::Error> {
/// let to = "127.0.0.1:7201".parse().expect("an address");
/// let stored: bool = handle.hold(to, &serde_json::json!({ "prompt": "..." })).await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
}

impl Handle {
    pub(super) fn new(commands: mpsc::Sender<Command>) -> Self {
        Self { commands }
    }

    /// Probes a node, which exchanges membership state.
    ///
    /// # Errors
    ///
    /// Fails when the node does not respond.
    pub async fn probe(&self, to: SocketAddr, message: Message) -> Result<Message, Error> {
        let (reply, response) = oneshot::channel();
        self.submit(to, Request::Probe(Box::new(message), reply))?;
        response.await.map_err(|_| closed())?
    }

    /// Appends generated tokens to the copies at a node, and returns a receipt for each item.
    ///
    /// Returns `None` when the node runs a release that supports only [`Handle::progress`].
    ///
    /// # Errors
    ///
    /// Same as for [`Handle::call`].
    pub async fn append(
        &self,
        to: SocketAddr,
        batch: Batch,
    ) -> Result<Option<Vec<Receipt>>, Error> {
        let (reply, response) = oneshot::channel();
        self.submit(to, Request::Append(Box::new(batch), reply))?;
        response.await.map_err(|_| closed())?
    }

    /// Stores a copy of an accepted request at a node.
    ///
    /// # Errors
    ///
    /// Same as for [`Handle::call`].
    pub async fn hold<Q, A>(&self, to: SocketAddr, request: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(to, Method::Hold, request).await
    }

    /// Appends generated tokens to the copies at a node whose release does not support
    /// [`Handle::append`].
    ///
    /// # Errors
    ///
    /// Same as for [`Handle::call`].
    pub async fn progress<Q, A>(&self, to: SocketAddr, batch: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(to, Method::Progress, batch).await
    }

    /// Hands streams over to a node.
    ///
    /// # Errors
    ///
    /// Same as for [`Handle::call`].
    pub async fn handover<Q, A>(&self, to: SocketAddr, streams: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(to, Method::Handover, streams).await
    }

    /// Looks up requests at a node.
    ///
    /// # Errors
    ///
    /// Same as for [`Handle::call`].
    pub async fn find<Q, A>(&self, to: SocketAddr, query: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(to, Method::Find, query).await
    }

    /// Fetches the newest configuration of a node.
    ///
    /// # Errors
    ///
    /// Same as for [`Handle::call`].
    pub async fn fetch_config<Q, A>(&self, to: SocketAddr, query: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(to, Method::Config, query).await
    }

    /// Notifies a node that a version receives no more requests.
    ///
    /// # Errors
    ///
    /// Same as for [`Handle::call`].
    pub async fn trip<Q, A>(&self, to: SocketAddr, trip: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(to, Method::Trip, trip).await
    }

    /// Calls a method with a JSON payload.
    ///
    /// # Errors
    ///
    /// `Overloaded` and "not run" when too many calls are queued, `Unavailable` and "may have run"
    /// when the node does not respond, and the node's own error when it returns one.
    pub async fn call<Q, A>(&self, to: SocketAddr, method: Method, payload: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let payload = serde_json::to_vec(payload)
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?;
        let response = self.call_bytes(to, method, payload.into()).await?;
        serde_json::from_slice(&response).map_err(|error| {
            Error::may_have_run(
                ErrorKind::Internal,
                format!(
                    "invalid response to `{}` from {to}: {error}",
                    method.as_str()
                ),
            )
        })
    }

    /// Calls a method with an encoded payload, and returns the encoded response.
    ///
    /// # Errors
    ///
    /// Same as for [`Handle::call`].
    pub async fn call_bytes(
        &self,
        to: SocketAddr,
        method: Method,
        payload: Bytes,
    ) -> Result<Bytes, Error> {
        let (reply, response) = oneshot::channel();
        self.submit(to, Request::Call(method, payload, reply))?;
        response.await.map_err(|_| closed())?
    }

    fn submit(&self, to: SocketAddr, request: Request) -> Result<(), Error> {
        self.commands
            .try_send(Command { to, request })
            .map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => Error::not_run(
                    ErrorKind::Overloaded,
                    "too many calls to other nodes are queued",
                ),
                mpsc::error::TrySendError::Closed(_) => closed(),
            })
    }
}

fn closed() -> Error {
    Error::may_have_run(
        ErrorKind::Leaving,
        "the connections to other nodes are closed",
    )
}
