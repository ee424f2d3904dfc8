use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;

use crate::error::Error;

/// The node that holds the lease of the duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of the node.
    pub node: Arc<str>,
    /// Fencing token; grows whenever the holder changes.
    pub fence: u64,
}

/// The kind of endpoints that an order is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Order {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether they are spot endpoints, which the cloud may reclaim.
    pub spot: bool,
}

/// The cloud's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is being carried out.
    Accepted,
    /// No such endpoints are available at present.
    Unavailable,
}

/// The platform's API for the duties, which one node performs at a time.
#[async_trait]
pub trait Cloud: Send + Sync + 'static {
    /// Reports the number of requests that each account started in a window.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept the report.
    async fn usage(
        &self,
        holder: &Holder,
        window: u64,
        counts: &BTreeMap<Arc<str>, u64>,
    ) -> Result<(), Error>;

    /// Sets the desired number of endpoints of a kind.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or rejects the order for another reason than a lack
    /// of such endpoints.
    async fn scale(
        &self,
        holder: &Holder,
        order: &Order,
        desired: u32,
    ) -> Result<OrderOutcome, Error>;
}
