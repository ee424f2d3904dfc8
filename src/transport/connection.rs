use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

/// A new connection for exactly one request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// `NotRun` when no connection can be made.
    pub async fn open(address: SocketAddr, limit: Millis) -> Result<Self, Error> {
        let refused = |reason: String| {
            Error::not_run(
                ErrorKind::Unavailable,
                format!("connecting to {address} failed: {reason}"),
            )
        };
        let stream = timeout(limit.into(), TcpStream::connect(address))
            .await
            .map_err(|_| refused(format!("no answer within {limit}")))?
            .map_err(|error| refused(error.to_string()))?;
        // Nagle's algorithm only adds delay to a single small request; a failure to switch it
        // off does not matter.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| refused(error.to_string()))?;
        tokio::spawn(connection);
        Ok(Self { address, sender })
    }

    /// Sends the request and waits up to `limit` for the response headers.
    ///
    /// # Errors
    ///
    /// `MayHaveRun` for every failure.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        limit: Millis,
    ) -> Result<Response<Incoming>, Error> {
        let lost = |reason: String| {
            Error::may_have_run(
                ErrorKind::EndpointFailed,
                format!("request to {} failed: {reason}", self.address),
            )
        };
        timeout(limit.into(), self.sender.send_request(request))
            .await
            .map_err(|_| lost(format!("no answer within {limit}")))?
            .map_err(|error| lost(error.to_string()))
    }
}
