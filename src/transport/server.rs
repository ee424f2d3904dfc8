use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use warp::{Filter, Reply};

use crate::clock::Millis;

const HEADER_TIMEOUT: Millis = Millis(5_000);
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 32 * 1024;
const MAX_CONNECTIONS: usize = 4_096;

/// Delay after a failed accept, which usually means that the process has run out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An HTTP/1.1 server for a `warp` filter, with limits on connections and headers.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    max_connections: usize,
}

impl Server {
    /// Creates a server that accepts connections from `listener`.
    #[must_use]
    pub fn new(listener: TcpListener) -> Self {
        Self {
            listener,
            max_connections: MAX_CONNECTIONS,
        }
    }

    /// Replaces the maximum number of connections served at the same time; 4,096 by default.
    #[must_use]
    pub fn with_max_connections(mut self, connections: usize) -> Self {
        self.max_connections = connections;
        self
    }

    /// Serves requests until `token` is cancelled, then waits until the requests in flight are
    /// complete.
    pub async fn run<F>(self, filter: F, token: CancellationToken)
    where
        F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.max_connections));
        loop {
            let permit = tokio::select! {
                () = token.cancelled() => break,
                permit = Arc::clone(&permits).acquire_owned() => permit,
            };
            let accepted = tokio::select! {
                () = token.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let connection = serve_connection(stream, filter.clone());
            let watched = graceful.watch(connection);
            tokio::spawn(async move {
                // An error of a connection concerns only its client, which sees it too.
                let _ = watched.await;
                drop(permit);
            });
        }
        graceful.shutdown().await;
    }
}

fn serve_connection<F>(
    stream: TcpStream,
    filter: F,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send
where
    F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    // Streamed chunks are small, and Nagle's algorithm would delay them. Failing to disable it does
    // no harm.
    let _ = stream.set_nodelay(true);
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(HEADER_TIMEOUT))
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(
            TokioIo::new(stream),
            TowerToHyperService::new(warp::service(filter)),
        )
}
