use std::net::SocketAddr;
use std::sync::Arc;

use hyper::{HeaderMap, Response, Uri};

use crate::clock::Millis;

use super::{Body, Load, RequestMetadata};

/// What the head of a request to an endpoint says beside what the caller sent.
#[derive(Clone, Debug)]
pub struct ForwardMetadata {
    /// Time within which the endpoint has to answer.
    pub timeout: Millis,
    /// Id of the only endpoint that may run the request.
    pub endpoint: Arc<str>,
    /// Client account of the caller.
    pub account: Option<Arc<str>>,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
    /// Rank at the endpoint, 0 to 9; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// What the head of an endpoint's response says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the caller's attempt that the response belongs to.
    pub id: Option<Arc<str>>,
    /// Whether the endpoint states that it did not run the request.
    pub not_executed: bool,
    /// Whether the response bears the mark of an endpoint.
    pub signed: bool,
    /// Load of the endpoint.
    pub load: Option<Load>,
}

/// The headers by which callers, gateway and endpoints understand each other.
///
/// The gateway forwards requests whose heads it does not know; an adapter tells it what they mean.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Returns the head for an endpoint: the caller's without what concerns one connection, the
    /// key and what callers must not set, and with `onward`.
    fn forward_headers(&self, headers: &HeaderMap, metadata: &ForwardMetadata) -> HeaderMap;

    /// Reads the head of an endpoint's response.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the head for the caller: the endpoint's without what concerns one connection.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the answer to a caller who asked with `target` which addresses to use.
    fn directory_response(
        &self,
        target: &Uri,
        addresses: &[SocketAddr],
        ttl: Millis,
    ) -> Response<Body>;
}
