use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use crate::error::{Error, ErrorKind};

use super::{Exchange, Node};

impl Node {
    /// Handles a `trip` RPC.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Malformed`] if the payload cannot be parsed.
    pub(in crate::node) fn on_trip(self: &Arc<Self>, payload: &[u8]) -> Result<Bytes, Error> {
        let exchange: Exchange = serde_json::from_slice(payload)
            .map_err(|error| Error::not_run(ErrorKind::Malformed, format!("trip: {error}")))?;
        self.handle_exchange(&exchange);
        Ok(Bytes::from_static(b"true"))
    }

    /// Returns the peer addresses of the other nodes that are alive and not leaving.
    pub(super) fn rollout_peers(&self) -> Vec<SocketAddr> {
        let view = self.cluster.view();
        view.available().map(|peer| peer.member.peer).collect()
    }

    /// Sends a `trip` RPC to a node; does nothing before this node runs.
    pub(super) async fn send_exchange(
        &self,
        to: SocketAddr,
        exchange: &Exchange,
    ) -> Result<(), Error> {
        let Some(handle) = self.cluster.handle() else {
            return Ok(());
        };
        let _: bool = handle.trip(to, exchange).await?;
        Ok(())
    }
}
