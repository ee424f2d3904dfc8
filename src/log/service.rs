use std::sync::Arc;

use async_trait::async_trait;

use crate::clock::Millis;
use crate::error::Error;

use super::{Offset, Page};

/// What the system needs of a log service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Appends records to a stream and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// `NotRun` when the append certainly has no effect, else `MayHaveRun`: the records may be in
    /// the stream or may appear later.
    async fn append(&self, stream: &str, records: Vec<Arc<str>>) -> Result<Offset, Error>;

    /// Reads up to `limit` records from `from` on; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer.
    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Millis,
    ) -> Result<Page, Error>;
}
