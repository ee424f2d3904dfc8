use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;

use super::{Body, Node, forward};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Most open connections of callers, below the descriptors of a process.
const MAX_CONNECTIONS: usize = 2_048;

/// Pause after a failed accept, for example while no descriptors are left.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Time for which a node that is leaving goes on accepting connections: callers keep its address
/// for a while.
const ACCEPT_ON: Millis = Millis(2_500);

/// Time before SIGKILL at which open requests are given up.
const GIVE_UP_BEFORE: Millis = Millis(600);

/// Interval at which a leaving node looks whether its requests have ended.
const DRAIN_TICK: Millis = Millis(50);

/// Serves all addresses until the node has left.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub(super) async fn run(node: Arc<Node>) -> eyre::Result<()> {
    let settings = &node.settings;
    let front = listen(settings.front)?;
    small(&node, settings.ready, readiness)?;
    small(&node, settings.directory, directory)?;
    small(&node, settings.metrics, Node::metrics_page)?;
    let open = Arc::new(AtomicUsize::new(0));
    let closing = CancellationToken::new();
    let accepting = accept(Arc::clone(&node), front, Arc::clone(&open), closing.clone());
    let accepting = tokio::spawn(accepting);
    node.leaving.cancelled().await;
    drain(&node, &open, &closing).await;
    accepting.abort();
    Ok(())
}

/// Lets open requests end, and connections with them.
async fn drain(node: &Node, open: &AtomicUsize, closing: &CancellationToken) {
    let begun = node.clock.now();
    let last = node.settings.grace - GIVE_UP_BEFORE;
    loop {
        sleep(DRAIN_TICK.into()).await;
        let passed = node.clock.now() - begun;
        if passed >= ACCEPT_ON {
            // From now on connections end after their present request.
            closing.cancel();
        }
        let idle = node.requests.load(Ordering::Relaxed) == 0;
        let done = passed > ACCEPT_ON + DRAIN_TICK && idle && open.load(Ordering::Relaxed) == 0;
        if done || passed >= last {
            return;
        }
    }
}

fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().wrap_err_with(|| format!("binding {address}"))
}

async fn accept(
    node: Arc<Node>,
    listener: TcpListener,
    open: Arc<AtomicUsize>,
    closing: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                slog::warn!(node.log, "accept failed"; "reason" => %error);
                sleep(ACCEPT_PAUSE.into()).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            metrics::counter!("almondpath_connections_refused_total").increment(1);
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (node, open, closing) = (Arc::clone(&node), Arc::clone(&open), closing.clone());
        tokio::spawn(async move {
            connection(node, stream, closing).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves the requests of one connection of a caller.
async fn connection(node: Arc<Node>, stream: TcpStream, closing: CancellationToken) {
    // Events are small; Nagle's algorithm would delay them. A failure does not matter.
    let _ = stream.set_nodelay(true);
    let limits = node
        .active
        .load()
        .as_ref()
        .map(|active| active.config.limits);
    let limits = limits.unwrap_or_default();
    let used = Arc::new(AtomicU64::new(node.clock.now().0));
    let busy = Arc::new(AtomicUsize::new(0));
    let service = {
        let (node, used, busy) = (Arc::clone(&node), Arc::clone(&used), Arc::clone(&busy));
        service_fn(move |request| {
            let (node, used, busy) = (Arc::clone(&node), Arc::clone(&used), Arc::clone(&busy));
            busy.fetch_add(1, Ordering::Relaxed);
            async move {
                let response = forward::serve(Arc::clone(&node), request).await;
                used.store(node.clock.now().0, Ordering::Relaxed);
                busy.fetch_sub(1, Ordering::Relaxed);
                response
            }
        })
    };
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(8 * 1024) * 2)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let idle = Duration::from(limits.idle_timeout);
    let mut told = false;
    loop {
        tokio::select! {
            // A connection that breaks concerns only its caller, who sees it too.
            _ = serving.as_mut() => return,
            () = closing.cancelled(), if !told => {
                told = true;
                serving.as_mut().graceful_shutdown();
            }
            () = sleep(idle) => {
                let unused = node.clock.now() - Millis(used.load(Ordering::Relaxed));
                if busy.load(Ordering::Relaxed) == 0 && unused >= limits.idle_timeout {
                    serving.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Serves an address that answers each request at once.
fn small<F>(node: &Arc<Node>, address: SocketAddr, answer: F) -> eyre::Result<()>
where
    F: Fn(&Node, &Request<Incoming>) -> Response<Body> + Copy + Send + Sync + 'static,
{
    let listener = listen(address)?;
    let node = Arc::clone(node);
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = node.stopped.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                sleep(ACCEPT_PAUSE.into()).await;
                continue;
            };
            let node = Arc::clone(&node);
            tokio::spawn(answer_all(node, stream, answer));
        }
    });
    Ok(())
}

fn answer_all<F>(node: Arc<Node>, stream: TcpStream, answer: F) -> impl Future<Output = ()> + Send
where
    F: Fn(&Node, &Request<Incoming>) -> Response<Body> + Copy + Send + Sync + 'static,
{
    let service = service_fn(move |request| {
        let response = answer(&node, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(Millis::from_secs(60)))
        .serve_connection(TokioIo::new(stream), service);
    async move {
        // The other side sees a broken connection as well.
        let _ = serving.await;
    }
}

/// Tells whether this node takes requests.
fn readiness(node: &Node, _: &Request<Incoming>) -> Response<Body> {
    if node.is_ready() {
        text(StatusCode::OK, Bytes::new())
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
    }
}

/// Tells a caller which nodes take requests.
fn directory(node: &Node, request: &Request<Incoming>) -> Response<Body> {
    let addresses = node.addresses();
    if addresses.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    node.dialect
        .directory_response(request.uri(), &addresses, node.settings.address_ttl)
}

/// Returns a response with a short body.
pub(super) fn text(status: StatusCode, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
