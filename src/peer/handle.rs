use std::net::SocketAddr;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};

use crate::error::{Error, ErrorKind};
use crate::membership::Message;

use super::{Batch, Method, Receipt};

/// A call on its way to the thread that owns the connections.
#[derive(Debug)]
pub(super) struct Command {
    pub(super) to: SocketAddr,
    pub(super) body: Body,
}

#[derive(Debug)]
pub(super) enum Body {
    Probe(Box<Message>, oneshot::Sender<Result<Message, Error>>),
    Append(
        Box<Batch>,
        oneshot::Sender<Result<Option<Vec<Receipt>>, Error>>,
    ),
    Call(Method, Bytes, oneshot::Sender<Result<Bytes, Error>>),
}

/// Calls methods of other nodes.
///
/// A call that is not answered within the bound is repeated once on a fresh connection; after that
/// it fails with kind `Unavailable` and the peer counts as unreachable. An error that the other
/// node answered is returned as it is.
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

    /// Exchanges state with a node.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer.
    pub async fn probe(&self, to: SocketAddr, message: Message) -> Result<Message, Error> {
        let (reply, answer) = oneshot::channel();
        self.submit(to, Body::Probe(Box::new(message), reply))?;
        answer.await.map_err(|_| stopped())?
    }

    /// Adds generated tokens to copies at a node, and returns a receipt for each item; none when
    /// the node runs a release that knows only [`Handle::progress`].
    ///
    /// # Errors
    ///
    /// As [`Handle::call`].
    pub async fn append(
        &self,
        to: SocketAddr,
        batch: Batch,
    ) -> Result<Option<Vec<Receipt>>, Error> {
        let (reply, answer) = oneshot::channel();
        self.submit(to, Body::Append(Box::new(batch), reply))?;
        answer.await.map_err(|_| stopped())?
    }

    /// Stores a copy of an accepted request at a node.
    ///
    /// # Errors
    ///
    /// As [`Handle::call`].
    pub async fn hold<Q, A>(&self, to: SocketAddr, request: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(to, Method::Hold, request).await
    }

    /// Adds generated tokens to copies at a node.
    ///
    /// # Errors
    ///
    /// As [`Handle::call`].
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
    /// As [`Handle::call`].
    pub async fn handover<Q, A>(&self, to: SocketAddr, streams: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(to, Method::Handover, streams).await
    }

    /// Asks a node for a request.
    ///
    /// # Errors
    ///
    /// As [`Handle::call`].
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
    /// As [`Handle::call`].
    pub async fn fetch_config<Q, A>(&self, to: SocketAddr, query: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(to, Method::Config, query).await
    }

    /// Tells a node that a version receives no more requests.
    ///
    /// # Errors
    ///
    /// As [`Handle::call`].
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
    /// `Overloaded` and "not run" when too many calls wait, `Unavailable` and "may have run" when
    /// the node does not answer, and the node's own error when it answered with one.
    pub async fn call<Q, A>(&self, to: SocketAddr, method: Method, payload: &Q) -> Result<A, Error>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let payload = serde_json::to_vec(payload)
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?;
        let answer = self.call_bytes(to, method, payload.into()).await?;
        serde_json::from_slice(&answer).map_err(|error| {
            Error::may_have_run(
                ErrorKind::Internal,
                format!(
                    "unexpected answer to `{}` from {to}: {error}",
                    method.as_str()
                ),
            )
        })
    }

    /// Calls a method with a payload that its owner encodes.
    ///
    /// # Errors
    ///
    /// As [`Handle::call`].
    pub async fn call_bytes(
        &self,
        to: SocketAddr,
        method: Method,
        payload: Bytes,
    ) -> Result<Bytes, Error> {
        let (reply, answer) = oneshot::channel();
        self.submit(to, Body::Call(method, payload, reply))?;
        answer.await.map_err(|_| stopped())?
    }

    fn submit(&self, to: SocketAddr, body: Body) -> Result<(), Error> {
        self.commands
            .try_send(Command { to, body })
            .map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => Error::not_run(
                    ErrorKind::Overloaded,
                    "too many calls to other nodes are waiting",
                ),
                mpsc::error::TrySendError::Closed(_) => stopped(),
            })
    }
}

fn stopped() -> Error {
    Error::may_have_run(
        ErrorKind::Leaving,
        "the connections to other nodes are closed",
    )
}
