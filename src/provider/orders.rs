use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock::Millis;
use crate::error::Error;
use crate::log::Offset;
use crate::transport;

/// Time within which an endpoint answers an order; below the guard time of a lease.
const TIMEOUT: Millis = Millis(1_000);

/// What an endpoint should be, whatever it is now; repeating an order has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Serve this version.
    Serve(Arc<str>),
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Offset of the claim under which the order is given.
    pub fence: Offset,
    /// The order.
    pub order: Order,
}

/// Orders to endpoints.
#[async_trait]
pub trait Orders: Send + Sync {
    /// Gives an order.
    ///
    /// Endpoints of some deployments refuse an order with an older fence than the newest they have
    /// seen; others ignore it. Either way only the endpoint's next load report tells what it
    /// serves.
    ///
    /// # Errors
    ///
    /// Fails when the endpoint refuses the order or doesn't answer.
    async fn order(&self, to: SocketAddr, order: &FencedOrder) -> Result<(), Error>;
}

/// Orders over HTTP.
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
