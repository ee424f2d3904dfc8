use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;

use crate::error::{Error, ErrorKind};
use crate::membership::Message;

use super::{Batch, Method, Receipt};

/// What a node does with the messages of other nodes.
///
/// The methods run as tasks of the main runtime. A method that has no implementation answers with
/// an error of kind `Unavailable` and the verdict "not run".
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers a probe.
    ///
    /// # Errors
    ///
    /// Fails when the node does not take part in the protocol.
    async fn probe(&self, from: SocketAddr, message: Message) -> Result<Message, Error>;

    /// Stores a copy of an accepted request.
    ///
    /// # Errors
    ///
    /// Fails when the copy is not stored.
    async fn hold(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Hold))
    }

    /// Adds generated tokens to stored copies, and returns a receipt for each item; none when it has
    /// no implementation, so that the other node calls [`Handler::progress`].
    ///
    /// # Errors
    ///
    /// Fails when nothing was stored.
    async fn append(&self, _batch: Batch) -> Result<Option<Vec<Receipt>>, Error> {
        Ok(None)
    }

    /// Adds generated tokens to stored copies, as releases before [`Handler::append`] send them.
    ///
    /// # Errors
    ///
    /// Fails when a copy is unknown here.
    async fn progress(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Progress))
    }

    /// Takes over the streams of a node that is leaving.
    ///
    /// # Errors
    ///
    /// Fails when the streams are not taken over.
    async fn handover(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Handover))
    }

    /// Looks for a request by its id.
    ///
    /// # Errors
    ///
    /// Fails when the request is unknown here.
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
    /// Fails when the version or the service is unknown here.
    async fn trip(&self, _payload: Bytes) -> Result<Bytes, Error> {
        Err(unimplemented(Method::Trip))
    }

    /// Exchanges what two nodes of a gateway know of all nodes.
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
