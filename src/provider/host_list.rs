use async_trait::async_trait;

use crate::endpoint::Host;
use crate::error::Error;

/// What the system needs of a host list.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns all hosts; the list may lag behind.
    ///
    /// # Errors
    ///
    /// Fails when the list can't be read.
    async fn hosts(&self) -> Result<Vec<Host>, Error>;
}
