use std::sync::Arc;

use async_trait::async_trait;
use hyper::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::Error;
use crate::placement::{Class, Token};

use super::Http;

/// Body of `POST /starts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHost {
    /// Idempotency token: the platform starts at most one host for it.
    pub token: Token,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Purchase class.
    pub class: Class,
}

/// The platform's API for starting and stopping hosts.
#[async_trait]
pub trait HostControl: Send + Sync {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// `NotRun` if the platform rejected the request; otherwise the host may have been started, and
    /// only a retry with the same token is safe.
    async fn start(&self, start: &StartHost) -> Result<(), Error>;

    /// Cancels a start, or stops its host; succeeds if there is no host for the token.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond; the host may still run.
    async fn cancel(&self, token: Token) -> Result<(), Error>;
}

/// The store from which hosts load the model weights of a version.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Requests permission to load a version's weights once.
    ///
    /// # Errors
    ///
    /// `Overloaded`, with the time after which to retry, if the store is at its limit.
    async fn fetch(&self, version: &str) -> Result<(), Error>;
}

#[async_trait]
impl HostControl for Http {
    async fn start(&self, start: &StartHost) -> Result<(), Error> {
        self.http
            .post_json::<_, Value>(self.address, "/starts", start)
            .await
            .map(drop)
    }

    async fn cancel(&self, token: Token) -> Result<(), Error> {
        let path = format!("/starts/{token}");
        let request =
            self.http
                .request(Method::DELETE, self.address, &path, bytes::Bytes::new())?;
        self.http.send(request).await.map(drop)
    }
}

#[async_trait]
impl WeightStore for Http {
    async fn fetch(&self, version: &str) -> Result<(), Error> {
        let body = serde_json::json!({ "version": version });
        self.http
            .post_json::<_, Value>(self.address, "/fetches", &body)
            .await
            .map(drop)
    }
}
