use std::net::SocketAddr;

use async_trait::async_trait;

use crate::clock::Millis;
use crate::endpoint::Host;
use crate::error::Error;
use crate::transport;

use super::{Cloud, HostList, Reclaim};

/// Timeout of a request to the platform. Waiting longer for a slow response is of no use, because
/// other nodes send the same request at other times.
const TIMEOUT: Millis = Millis(1_000);

/// An HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct Http {
    pub(super) http: transport::Client,
    pub(super) address: SocketAddr,
}

impl Http {
    /// Creates a client for the platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: transport::Client::new(TIMEOUT),
            address,
        }
    }
}

#[async_trait]
impl HostList for Http {
    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.http.get_json(self.address, "/hosts").await
    }
}

#[async_trait]
impl Cloud for Http {
    async fn notices(&self) -> Result<Vec<Reclaim>, Error> {
        self.http.get_json(self.address, "/notices").await
    }
}
