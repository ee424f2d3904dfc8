use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode};

use crate::error::{Error, ErrorKind};
use crate::transport::Client;

/// A complete response.
pub(super) struct Response {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Sends a request and returns the response.
pub(super) async fn call(
    client: &Client,
    method: Method,
    address: SocketAddr,
    target: &str,
    headers: &[(&'static str, String)],
    body: Bytes,
) -> Result<Response, Error> {
    let mut request = client.request(method, address, target, body)?;
    for (name, value) in headers {
        let value = value.parse().map_err(|_| {
            Error::not_run(
                ErrorKind::Malformed,
                format!("invalid value for header {name}"),
            )
        })?;
        request.headers_mut().insert(*name, value);
    }
    send(client, request).await
}

async fn send(client: &Client, request: Request<Full<Bytes>>) -> Result<Response, Error> {
    let response = client.send(request).await?;
    let status = response.status();
    let headers = response.headers().clone();
    let body = client.body(response).await?;
    Ok(Response {
        status,
        headers,
        body,
    })
}

/// Returns the error for a response with an unexpected status.
///
/// The platform guarantees that a call with status 429 or 503 had no effect; any other call may
/// have taken effect.
pub(super) fn unexpected_status(operation: &str, status: StatusCode) -> Error {
    let message = format!("{operation} failed with status {status}");
    match status {
        StatusCode::TOO_MANY_REQUESTS => Error::not_run(ErrorKind::Overloaded, message),
        StatusCode::SERVICE_UNAVAILABLE => Error::not_run(ErrorKind::Unavailable, message),
        _ => Error::may_have_run(ErrorKind::Unavailable, message),
    }
}
