use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A call that a stand-in got.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// Returns a value of the query.
    pub(crate) fn value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.value(name)?.parse().ok()
    }
}

/// An answer; none closes the connection without one.
pub(crate) type Answer = Option<(u16, Vec<u8>)>;

/// Serves calls on a free port of the loopback interface and returns its address.
pub(crate) async fn serve<F, T>(handle: F) -> SocketAddr
where
    F: Fn(Call) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let handle = handle.clone();
            let service = service_fn(move |request| answer(handle.clone(), request));
            tokio::spawn(async move {
                // The other side sees a broken connection as well.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

async fn answer<F, T>(
    handle: F,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error>
where
    F: Fn(Call) -> T,
    T: Future<Output = Answer>,
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
    let (status, body) = handle(call)
        .await
        .ok_or_else(|| std::io::Error::other("the answer is lost"))?;
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).expect("a status");
    Ok::<_, Infallible>(response).map_err(|never| match never {})
}
