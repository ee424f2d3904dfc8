use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;

use crate::error::Error;

/// Who performs a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of the node.
    pub node: Arc<str>,
    /// Number that grows whenever the holder changes.
    pub fence: u64,
}

/// An order for endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Order {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether the endpoints may be reclaimed.
    pub spot: bool,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is carried out.
    Accepted,
    /// There are none to be had now.
    Unavailable,
}

/// The platform's interface for duties that one node performs at a time.
#[async_trait]
pub trait Cloud: Send + Sync + 'static {
    /// Reports how many requests of each account began to run in a window.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not take the report.
    async fn usage(
        &self,
        holder: &Holder,
        window: u64,
        counts: &BTreeMap<Arc<str>, u64>,
    ) -> Result<(), Error>;

    /// Orders a number of endpoints.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or refuses for another reason than that there are
    /// none.
    async fn scale(
        &self,
        holder: &Holder,
        order: &Order,
        desired: u32,
    ) -> Result<OrderOutcome, Error>;
}
