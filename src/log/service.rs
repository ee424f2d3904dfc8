use std::sync::Arc;

use async_trait::async_trait;

use crate::clock::Millis;
use crate::error::Error;

use super::{Offset, Page};

/// The operations that the system uses of a log service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Appends records to a stream and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// `NotRun` if the append certainly has no effect, otherwise `MayHaveRun`: the records may be
    /// in the stream already or appear in it later.
    async fn append(&self, stream: &str, records: Vec<Arc<str>>) -> Result<Offset, Error>;

    /// Reads up to `limit` records from offset `from` on, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond or rejects the read.
    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Millis,
    ) -> Result<Page, Error>;
}
