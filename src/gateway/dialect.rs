use std::net::SocketAddr;
use std::sync::Arc;

use hyper::{HeaderMap, Response, Uri};

use crate::clock::Millis;

use super::{Body, Load, RequestMetadata};

/// Header values that the gateway adds to a request that it forwards to an endpoint.
#[derive(Clone, Debug)]
pub struct ForwardMetadata {
    /// Time within which the endpoint must respond.
    pub timeout: Millis,
    /// Id of the only endpoint that may run the request.
    pub endpoint: Arc<str>,
    /// Client account of the caller.
    pub account: Option<Arc<str>>,
    /// Id of the last event that the caller received.
    pub resume_after: Option<u64>,
    /// Priority at the endpoint, 0 to 9; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Header values of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub id: Option<Arc<str>>,
    /// Whether the endpoint states that it did not run the request.
    pub not_executed: bool,
    /// Whether the response has the signature header of an endpoint.
    pub signed: bool,
    /// Whether the endpoint states that it is leaving.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests from this node, if it declined one.
    pub retry_after: Option<Millis>,
    /// Load of the endpoint.
    pub load: Option<Load>,
}

/// The platform's HTTP headers, between callers and gateway and between gateway and endpoints.
///
/// The gateway itself does not know the names of these headers; an adapter reads and writes them.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the headers of a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Returns the headers of a forwarded request: the caller's, without hop-by-hop headers, the
    /// API key and reserved headers, and with those for `metadata`.
    fn forward_headers(&self, headers: &HeaderMap, metadata: &ForwardMetadata) -> HeaderMap;

    /// Parses the headers of an endpoint's response.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the headers of a response for the caller: the endpoint's, without hop-by-hop
    /// headers.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the response to a request for `target` at the directory address: the addresses of
    /// the gateway nodes and for how long they may be cached.
    fn directory_response(
        &self,
        target: &Uri,
        addresses: &[SocketAddr],
        ttl: Millis,
    ) -> Response<Body>;
}
