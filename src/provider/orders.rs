use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock::Millis;
use crate::error::Error;
use crate::log::Offset;
use crate::transport;

/// Timeout of an order to an endpoint; shorter than the guard time of a lease.
const TIMEOUT: Millis = Millis(1_000);

/// The desired state of an endpoint, whatever its state is now. Orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Serve this version.
    Serve(Arc<str>),
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Fencing token: the offset of the lease claim under which the order is sent.
    pub fence: Offset,
    /// The order.
    pub order: Order,
}

/// A sender of orders to endpoints.
#[async_trait]
pub trait Orders: Send + Sync {
    /// Sends an order.
    ///
    /// In some deployments endpoints reject an order whose fencing token is older than the newest
    /// one that they have received; in others they ignore the token. In both cases only the
    /// endpoint's next load report shows what it serves.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint rejects the order or does not respond.
    async fn order(&self, to: SocketAddr, order: &FencedOrder) -> Result<(), Error>;
}

/// A sender of orders over HTTP.
#[derive(Clone, Debug)]
pub struct HttpOrders {
    http: transport::Client,
}

impl Default for HttpOrders {
    fn default() -> Self {
        Self {
            http: transport::Client::new(TIMEOUT),
        }
    }
}

#[async_trait]
impl Orders for HttpOrders {
    async fn order(&self, to: SocketAddr, order: &FencedOrder) -> Result<(), Error> {
        self.http
            .post_json::<_, Value>(to, "/orders", order)
            .await
            .map(drop)
    }
}
