use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::{Stream, check_head};

/// A connection that is used for one request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    ///
    /// `NotRun` if no connection can be opened.
    pub async fn open(address: SocketAddr, timeout: Millis) -> Result<Self, Error> {
        let connect_error = |reason: String| {
            Error::not_run(
                ErrorKind::Unavailable,
                format!("connecting to {address} failed: {reason}"),
            )
        };
        let stream = tokio::time::timeout(timeout.into(), TcpStream::connect(address))
            .await
            .map_err(|_| connect_error(format!("timed out after {timeout}")))?
            .map_err(|error| connect_error(error.to_string()))?;
        // Nagle's algorithm only delays a single small request. Failing to disable it does no harm.
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(Stream::new(stream)))
                .await
                .map_err(|error| connect_error(error.to_string()))?;
        tokio::spawn(connection);
        Ok(Self { address, sender })
    }

    /// Sends the request and waits up to `timeout` for the response headers.
    ///
    /// # Errors
    ///
    /// `MayHaveRun` for every failure.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        timeout: Millis,
    ) -> Result<Response<Incoming>, Error> {
        let request_error = |reason: String| {
            Error::may_have_run(
                ErrorKind::EndpointFailed,
                format!("request to {} failed: {reason}", self.address),
            )
        };
        let response = tokio::time::timeout(timeout.into(), self.sender.send_request(request))
            .await
            .map_err(|_| request_error(format!("no response within {timeout}")))?
            .map_err(|error| request_error(error.to_string()))?;
        check_head(&response)?;
        Ok(response)
    }
}
