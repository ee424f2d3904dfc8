use std::pin::Pin;
use std::task::{Context, Poll};

use futures::TryFutureExt;
use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tower_service::Service;

use super::stream::Stream;

type Error = <HttpConnector as Service<Uri>>::Error;

/// Opens the connections of a pool.
#[derive(Clone, Debug)]
pub(super) struct Connector(HttpConnector);

impl Connector {
    /// Creates a connector that opens connections like this one.
    pub(super) fn new(connector: HttpConnector) -> Self {
        Self(connector)
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<Stream>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, target: Uri) -> Self::Future {
        let connecting = self.0.call(target);
        Box::pin(connecting.map_ok(|io| TokioIo::new(Stream::new(io.into_inner()))))
    }
}
