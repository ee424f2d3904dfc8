use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;

use crate::error::{Error, ErrorKind};
use crate::membership::Message;

use super::{Batch, Method, Receipt};

/// Handler for the calls of other nodes.
///
/// The methods run as tasks of the main runtime. A method without an implementation returns an
/// error of kind `Unavailable` with the verdict "not run".
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles a probe, and returns the response to it.
    ///
    /// # Errors
    ///
    /// Fails when the node does not take part in the protocol.
    async fn probe(&self, from: SocketAddr, message: Message) -> Result<Message, Error>;

    /// Stores a copy of an accepted request.
    ///
    /// # Errors
    ///
    /// Fails when the copy can't be stored.
    async fn hold(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Hold))
    }

    /// Appends generated tokens to stored copies, and returns a receipt for each item.
    ///
    /// Returns `None` without an implementation, so that the other node calls
    /// [`Handler::progress`].
    ///
    /// # Errors
    ///
    /// Fails when nothing was stored.
    async fn append(&self, _batch: Batch) -> Result<Option<Vec<Receipt>>, Error> {
        Ok(None)
    }

    /// Appends generated tokens to stored copies, as sent by releases without [`Handler::append`].
    ///
    /// # Errors
    ///
    /// Fails when this node does not have one of the copies.
    async fn progress(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Progress))
    }

    /// Takes over the streams of a node that is leaving.
    ///
    /// # Errors
    ///
    /// Fails when the streams can't be taken over.
    async fn handover(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Handover))
    }

    /// Looks up requests by their ids.
    ///
    /// # Errors
    ///
    /// Fails when a request is unknown to this node.
    async fn find(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Find))
    }

    /// Returns the newest configuration.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    async fn config(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Config))
    }

    /// Stops sending to a version of a service.
    ///
    /// # Errors
    ///
    /// Fails when this node does not know the version or the service.
    async fn trip(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Trip))
    }

    /// Exchanges the cluster state of two gateway nodes.
    ///
    /// # Errors
    ///
    /// Fails when the message can't be parsed.
    async fn gossip(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Gossip))
    }
}

fn unimplemented(method: Method) -> Error {
    Error::not_run(
        ErrorKind::Unavailable,
        format!("this node does not implement `{}`", method.as_str()),
    )
}
