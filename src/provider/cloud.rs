use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::Error;

/// A reclaim notice: the cloud will take the host back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reclaim {
    /// Name of the host.
    pub host: Arc<str>,
    /// Time from the response of the API until the host is reclaimed.
    pub deadline_ms: Millis,
}

/// The cloud's API for reclaim notices.
#[async_trait]
pub trait Cloud: Send + Sync {
    /// Returns the reclaim notices that are in force.
    ///
    /// # Errors
    ///
    /// Fails if the API does not respond or rejects the request.
    async fn notices(&self) -> Result<Vec<Reclaim>, Error>;
}
