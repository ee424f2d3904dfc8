use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;

use super::handle::{Command, Request};
use super::pool::Pool;
use super::{Handle, Handler, Tokens, server};

/// Maximum number of calls queued for the thread.
const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of calls that wait for the response of another node.
const MAX_CALLS_IN_FLIGHT: usize = 1_024;

/// Binds `address` and starts the thread that owns the connections to other nodes.
///
/// Calls other than probes time out after `call_timeout` on one connection. Changes of `tokens`
/// take effect immediately, also on open connections. The thread ends when `token` is cancelled.
/// Must be called within the main runtime, which runs the handler.
///
/// # Errors
///
/// Fails when the address can't be bound or the thread can't be started.
pub fn spawn(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    call_timeout: Millis,
    tokens: watch::Receiver<Arc<Tokens>>,
    token: CancellationToken,
) -> eyre::Result<Handle> {
    let listener = std::net::TcpListener::bind(address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .wrap_err_with(|| format!("binding {address}"))?;
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let main_runtime = runtime::Handle::current();
    let local = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("starting the runtime of the peer thread")?;
    std::thread::Builder::new()
        .name("peer".to_owned())
        .spawn(move || {
            let set = LocalSet::new();
            let future = async move {
                let listener = TcpListener::from_std(listener).expect("a bound listener");
                let pool = Rc::new(Pool::new(call_timeout, tokens.clone()));
                tokio::task::spawn_local(server::serve(listener, handler, main_runtime, tokens));
                tokio::select! {
                    () = token.cancelled() => {}
                    () = dispatch(pool, commands) => {}
                }
            };
            set.block_on(&local, future);
        })
        .wrap_err("starting the peer thread")?;
    Ok(Handle::new(sender))
}

async fn dispatch(pool: Rc<Pool>, mut commands: mpsc::Receiver<Command>) {
    let calls = Arc::new(Semaphore::new(MAX_CALLS_IN_FLIGHT));
    while let Some(Command { to, request }) = commands.recv().await {
        let Ok(permit) = Arc::clone(&calls).acquire_owned().await else {
            return;
        };
        let pool = Rc::clone(&pool);
        tokio::task::spawn_local(async move {
            // If the receiver was dropped, the caller no longer needs the response.
            match request {
                Request::Probe(message, reply) => {
                    let _ = reply.send(pool.probe(to, &message).await);
                }
                Request::Append(batch, reply) => {
                    let _ = reply.send(pool.append(to, &batch).await);
                }
                Request::Call(method, payload, reply) => {
                    let _ = reply.send(pool.call(to, method, &payload).await);
                }
            }
            drop(permit);
        });
    }
}
