use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::Error;

/// A notice that a host will be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reclaim {
    /// Name of the host.
    pub host: Arc<str>,
    /// Time from the response until the host is gone.
    pub deadline_ms: Millis,
}

/// What the system needs of the cloud API to learn about reclaims.
#[async_trait]
pub trait Cloud: Send + Sync {
    /// Returns the notices that stand.
    ///
    /// # Errors
    ///
    /// Fails when the API does not answer.
    async fn notices(&self) -> Result<Vec<Reclaim>, Error>;
}
