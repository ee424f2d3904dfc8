use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use crate::error::{Error, ErrorKind};
use crate::membership::Message;
use crate::peer;

use super::{Node, backup};

/// Handles the RPCs of other nodes.
pub(super) struct Handler {
    pub(super) node: Arc<Node>,
}

#[async_trait]
impl peer::Handler for Handler {
    async fn probe(&self, _: SocketAddr, message: Message) -> Result<Message, Error> {
        if message.header.protocol == 0 {
            return Err(Error::not_run(
                ErrorKind::Malformed,
                "the probe has no protocol version",
            ));
        }
        Ok(self.node.handle_probe(message))
    }

    async fn hold(&self, payload: Bytes) -> Result<Bytes, Error> {
        backup::on_hold(&self.node, &payload)
    }

    async fn append(&self, batch: peer::Batch) -> Result<Option<Vec<peer::Receipt>>, Error> {
        Ok(Some(backup::on_append(&self.node, batch)))
    }

    async fn progress(&self, payload: Bytes) -> Result<Bytes, Error> {
        backup::on_progress(&self.node, &payload)
    }

    async fn handover(&self, payload: Bytes) -> Result<Bytes, Error> {
        backup::on_handover(&self.node, &payload)
    }

    async fn find(&self, payload: Bytes) -> Result<Bytes, Error> {
        backup::on_find(&self.node, &payload)
    }

    async fn trip(&self, payload: Bytes) -> Result<Bytes, Error> {
        self.node.on_trip(&payload)
    }

    async fn config(&self, _: Bytes) -> Result<Bytes, Error> {
        let control = self.node.cluster.control.lock().expect("control lock");
        if control.active().is_none() {
            return Err(Error::not_run(
                ErrorKind::NotFound,
                "this node has no configuration yet",
            ));
        }
        serde_json::to_vec(&*control)
            .map(Bytes::from)
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))
    }
}
