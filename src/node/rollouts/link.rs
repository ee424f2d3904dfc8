use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use crate::error::{Error, ErrorKind};
use crate::membership::Message;
use crate::peer::{self, Handler};

use super::{Exchange, Node};

/// Answers the calls of other nodes about rollouts.
pub(in crate::node) struct Link {
    pub(in crate::node) node: Arc<Node>,
}

#[async_trait]
impl Handler for Link {
    async fn probe(&self, _from: SocketAddr, _message: Message) -> Result<Message, Error> {
        Err(Error::not_run(
            ErrorKind::Unavailable,
            "this node does not take part in membership",
        ))
    }

    async fn trip(&self, payload: Bytes) -> Result<Bytes, Error> {
        self.node.learn_payload(&payload)
    }
}

impl Node {
    /// Answers the call `trip` of the peer protocol.
    pub(in crate::node) fn learn_payload(self: &Arc<Self>, payload: &[u8]) -> Result<Bytes, Error> {
        let exchange: Exchange = serde_json::from_slice(payload)
            .map_err(|error| Error::not_run(ErrorKind::Malformed, format!("trip: {error}")))?;
        self.learn(&exchange);
        Ok(Bytes::from_static(b"true"))
    }

    /// Returns the addresses of the other nodes.
    pub(super) fn rollout_peers(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer;
        let seeds = self.settings.seeds.iter();
        seeds.copied().filter(|seed| *seed != own).collect()
    }

    pub(super) async fn send_exchange(
        &self,
        to: SocketAddr,
        exchange: &Exchange,
    ) -> Result<(), Error> {
        let Some(handle) = self.peer_handle.get() else {
            return Ok(());
        };
        let _: bool = handle.trip(to, exchange).await?;
        Ok(())
    }

    /// Starts the connections to other nodes.
    pub(in crate::node) fn connect_peers(self: &Arc<Self>) -> eyre::Result<()> {
        let link = Arc::new(Link {
            node: Arc::clone(self),
        });
        let (address, bound) = (self.settings.peer, self.settings.stall_ms);
        let handle = peer::spawn(address, link, bound, self.token.clone())?;
        // Set once, by `run`.
        let _ = self.peer_handle.set(handle);
        Ok(())
    }
}
