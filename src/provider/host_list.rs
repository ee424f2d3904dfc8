use async_trait::async_trait;

use crate::endpoint::Host;
use crate::error::Error;

/// The platform's list of hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns all hosts; the list may be out of date.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be read.
    async fn hosts(&self) -> Result<Vec<Host>, Error>;
}
