use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;

use super::activity::{Activity, InUse, MAX_CHECK_INTERVAL, TrackedBody, limits};
use super::intake::{CallerStream, Entry};
use super::{Body, Node, forward};

/// Length of the queue of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Least time for which a connection to an address that serves a page may stay idle.
const PAGE_IDLE_TIMEOUT: Millis = Millis(60_000);

/// Time after which a connection that was found idle for too long is checked again. A process that was
/// frozen finds timeouts that passed before it learns of data that arrived.
const RECHECK_INTERVAL: Millis = Millis(20);

/// Interval at which a leaving node checks whether its requests have ended.
const DRAIN_POLL_INTERVAL: Millis = Millis(50);

/// Serves the node's HTTP addresses until the node has shut down.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub(super) async fn run(node: Arc<Node>) -> eyre::Result<()> {
    let settings = &node.settings;
    let front = listen(settings.front)?;
    serve_page(&node, settings.ready, readiness)?;
    serve_page(&node, settings.directory, directory)?;
    serve_page(&node, settings.metrics, Node::metrics_page)?;
    let closing = CancellationToken::new();
    let accepting = accept(Arc::clone(&node), front, closing.clone());
    let accepting = tokio::spawn(accepting);
    node.leaving.cancelled().await;
    drain(&node, &closing).await;
    accepting.abort();
    Ok(())
}

/// Waits until all requests and connections of callers have ended, at most until shortly before
/// SIGKILL.
async fn drain(node: &Node, closing: &CancellationToken) {
    let Some(departure) = node.departure() else {
        return;
    };
    loop {
        sleep(DRAIN_POLL_INTERVAL.into()).await;
        let now = node.clock.now();
        if now >= departure.exits_at() || (closing.is_cancelled() && is_idle(node)) {
            return;
        }
        if now >= departure.closes_at() {
            closing.cancel();
        }
        if now >= departure.answers_at() && !node.ending.is_cancelled() {
            let requests = node.requests.load(Ordering::Relaxed);
            slog::warn!(node.log, "interrupting requests"; "requests" => requests);
            node.ending.cancel();
        }
    }
}

fn is_idle(node: &Node) -> bool {
    node.requests.load(Ordering::Relaxed) == 0 && node.intake.callers().is_empty()
}

fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().wrap_err_with(|| format!("cannot listen on {address}"))
}

async fn accept(node: Arc<Node>, listener: TcpListener, closing: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                slog::warn!(node.log, "accepting a connection failed"; "reason" => %error);
                sleep(ACCEPT_PAUSE.into()).await;
                continue;
            }
        };
        let Some(entry) = node.intake.open(node.intake.callers(), address.ip()) else {
            continue;
        };
        let (node, closing) = (Arc::clone(&node), closing.clone());
        tokio::spawn(async move { connection(node, stream, &entry, closing).await });
    }
}

/// Serves the requests on one connection of a caller.
async fn connection(node: Arc<Node>, stream: TcpStream, entry: &Entry, closing: CancellationToken) {
    let activity = Arc::new(Activity::new(&node, entry.connection()));
    let service = {
        let (node, activity) = (Arc::clone(&node), Arc::clone(&activity));
        service_fn(move |mut request: Request<Incoming>| {
            let in_use = InUse::new(&activity);
            request.extensions_mut().insert(Arc::clone(&activity));
            let node = Arc::clone(&node);
            async move {
                let response = forward::serve(node, request).await;
                response.map(|response| response.map(|body| TrackedBody::new(body, in_use)))
            }
        })
    };
    serve_connection(&node, stream, &activity, service, closing).await;
}

/// Serves the requests on a connection; closes it when it is idle for too long, when it does not go
/// on, and when it has to yield to others.
async fn serve_connection<S>(
    node: &Arc<Node>,
    stream: TcpStream,
    activity: &Activity,
    service: S,
    closing: CancellationToken,
) where
    S: Service<Request<Incoming>, Response = Response<TrackedBody>, Error = Infallible>,
{
    // Events are small, and Nagle's algorithm would delay them. Failing to disable it costs latency
    // only.
    let _ = stream.set_nodelay(true);
    let stream = CallerStream::new(stream, &node.intake, activity.connection());
    let header_bytes = limits(node).header_bytes;
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(header_bytes.max(8 * 1024) * 2)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let yielded = activity.connection().yielded();
    let mut has_yielded = false;
    let mut is_closing = false;
    let mut was_expired = false;
    loop {
        let pause = if was_expired {
            RECHECK_INTERVAL
        } else if is_closing {
            MAX_CHECK_INTERVAL
        } else {
            activity.next_check()
        };
        tokio::select! {
            // A request that has arrived is read before the connection may count as idle: this process
            // may not have run for longer than the timeout.
            biased;
            // The caller notices a broken connection itself.
            _ = serving.as_mut() => return,
            () = yielded.cancelled(), if !has_yielded => {
                // A request that has arrived since is answered first: it may run already.
                if !activity.connection().is_busy() {
                    return;
                }
                has_yielded = true;
                is_closing = true;
                serving.as_mut().graceful_shutdown();
            }
            () = closing.cancelled(), if !is_closing => {
                is_closing = true;
                serving.as_mut().graceful_shutdown();
            }
            () = sleep(pause.into()) => {
                if activity.is_stalled() {
                    node.intake.report_stalled(activity.connection());
                    return;
                }
                let is_expired = activity.is_expired();
                if !is_expired || !was_expired {
                    was_expired = is_expired;
                    continue;
                }
                was_expired = false;
                if !is_closing {
                    is_closing = true;
                    serving.as_mut().graceful_shutdown();
                } else if !activity.connection().is_blocked() {
                    // A part of a next head keeps it open.
                    return;
                }
            }
        }
    }
}

/// Serves an address whose responses are computed from the node's state, without waiting.
fn serve_page<F>(node: &Arc<Node>, address: SocketAddr, page: F) -> eyre::Result<()>
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
            let Ok((stream, address)) = accepted else {
                sleep(ACCEPT_PAUSE.into()).await;
                continue;
            };
            let node = Arc::clone(&node);
            let Some(entry) = node.intake.open(node.intake.pages(), address.ip()) else {
                continue;
            };
            tokio::spawn(async move { page_connection(node, stream, &entry, page).await });
        }
    });
    Ok(())
}

async fn page_connection<F>(node: Arc<Node>, stream: TcpStream, entry: &Entry, page: F)
where
    F: Fn(&Node, &Request<Incoming>) -> Response<Body> + Copy + Send + Sync + 'static,
{
    let activity = Activity::new(&node, entry.connection());
    let activity = Arc::new(activity.with_min_idle_timeout(PAGE_IDLE_TIMEOUT));
    let service = {
        let (node, activity) = (Arc::clone(&node), Arc::clone(&activity));
        service_fn(move |request| {
            let in_use = InUse::new(&activity);
            activity.connection().admit();
            let response = page(&node, &request);
            async move { Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, in_use))) }
        })
    };
    let closing = node.stopped.clone();
    serve_connection(&node, stream, &activity, service, closing).await;
}

/// Reports whether this node accepts requests.
fn readiness(node: &Node, _: &Request<Incoming>) -> Response<Body> {
    if node.is_ready() {
        text(StatusCode::OK, Bytes::new())
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
    }
}

/// Lists the addresses of the nodes that accept requests.
fn directory(node: &Node, request: &Request<Incoming>) -> Response<Body> {
    let addresses = node.addresses();
    if addresses.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    node.dialect
        .directory_response(request.uri(), &addresses, node.settings.address_ttl)
}

/// Returns a response with this status and body.
pub(super) fn text(status: StatusCode, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
