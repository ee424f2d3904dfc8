use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;

use crate::clock::Millis;
use crate::error::Error;
use crate::transport;

use super::{Append, Offset, Page, Receipt, Service};

/// Default timeout of an append, and of a read without its wait.
const DEFAULT_TIMEOUT: Millis = Millis(2_000);

/// An HTTP client of the log service.
#[derive(Clone, Debug)]
pub struct Client {
    http: transport::Client,
    address: SocketAddr,
    timeout: Millis,
}

impl Client {
    /// Creates a client for the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: transport::Client::new(DEFAULT_TIMEOUT),
            address,
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Replaces the timeout of an append, and of a read without its wait; 2 s by default.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Millis) -> Self {
        self.http = self.http.with_timeout(timeout);
        self.timeout = timeout;
        self
    }
}

#[async_trait]
impl Service for Client {
    async fn append(&self, stream: &str, records: Vec<Arc<str>>) -> Result<Offset, Error> {
        let path = format!("/streams/{stream}/records");
        let receipt: Receipt = self
            .http
            .post_json(self.address, &path, &Append { records })
            .await?;
        Ok(receipt.first_offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Millis,
    ) -> Result<Page, Error> {
        let path = format!(
            "/streams/{stream}/records?from={from}&limit={limit}&wait_ms={}",
            wait.0
        );
        self.http
            .clone()
            .with_timeout(self.timeout + wait)
            .get_json(self.address, &path)
            .await
    }
}
