use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A call that a test double received.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// Returns the value of a query parameter.
    pub(crate) fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        self.query_value(name)?.parse().ok()
    }
}

/// Status and body of a response; `None` closes the connection without a response.
pub(crate) type Response = Option<(u16, Vec<u8>)>;

/// Serves calls on a free port of the loopback interface and returns its address.
pub(crate) async fn serve<F, T>(handle: F) -> SocketAddr
where
    F: Fn(Call) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Response> + Send + 'static,
{
    serve_with_headers(move |call| {
        let response = handle(call);
        async move { (response.await, HeaderMap::new()) }
    })
    .await
}

/// As [`serve`], for responses with these headers.
pub(crate) async fn serve_with_headers<F, T>(handle: F) -> SocketAddr
where
    F: Fn(Call) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = (Response, HeaderMap)> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let handle = handle.clone();
            let service = service_fn(move |request| respond(handle.clone(), request));
            tokio::spawn(async move {
                // The client notices a broken connection itself.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

async fn respond<F, T>(
    handle: F,
    request: Request<Incoming>,
) -> Result<hyper::Response<Full<Bytes>>, std::io::Error>
where
    F: Fn(Call) -> T,
    T: Future<Output = (Response, HeaderMap)>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?;
    let call = Call {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
    };
    let (response, headers) = handle(call).await;
    let (status, body) =
        response.ok_or_else(|| std::io::Error::other("the response is dropped"))?;
    let mut response = hyper::Response::new(Full::new(body.into()));
    *response.headers_mut() = headers;
    *response.status_mut() = StatusCode::from_u16(status).expect("a status");
    Ok::<_, Infallible>(response).map_err(|never| match never {})
}
