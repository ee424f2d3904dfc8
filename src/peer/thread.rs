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

use super::handle::{Body, Command};
use super::pool::Pool;
use super::{Handle, Handler, Tokens, server};

/// Most calls that wait for the thread.
const COMMAND_QUEUE: usize = 1_024;

/// Most calls that wait for the answer of another node.
const CALLS_IN_FLIGHT: usize = 1_024;

/// Binds `address` and starts the thread that owns the connections to other nodes.
///
/// Calls other than probes are answered within `call_bound` on one connection. Changes of `tokens`
/// take effect at once, also on open connections. The thread ends when `token` is cancelled. Has to
/// be called within the main runtime, which runs the handler.
///
/// # Errors
///
/// Fails when the address can't be bound or the thread can't be started.
pub fn spawn(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    call_bound: Millis,
    tokens: watch::Receiver<Arc<Tokens>>,
    token: CancellationToken,
) -> eyre::Result<Handle> {
    let listener = std::net::TcpListener::bind(address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .wrap_err_with(|| format!("binding {address}"))?;
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE);
    let main = runtime::Handle::current();
    let local = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("starting the runtime of the peer thread")?;
    std::thread::Builder::new()
        .name("peer".to_owned())
        .spawn(move || {
            let set = LocalSet::new();
            let work = async move {
                let listener = TcpListener::from_std(listener).expect("a bound listener");
                let pool = Rc::new(Pool::new(call_bound, tokens.clone()));
                tokio::task::spawn_local(server::serve(listener, handler, main, tokens));
                tokio::select! {
                    () = token.cancelled() => {}
                    () = dispatch(pool, commands) => {}
                }
            };
            set.block_on(&local, work);
        })
        .wrap_err("starting the peer thread")?;
    Ok(Handle::new(sender))
}

async fn dispatch(pool: Rc<Pool>, mut commands: mpsc::Receiver<Command>) {
    let calls = Arc::new(Semaphore::new(CALLS_IN_FLIGHT));
    while let Some(Command { to, body }) = commands.recv().await {
        let Ok(permit) = Arc::clone(&calls).acquire_owned().await else {
            return;
        };
        let pool = Rc::clone(&pool);
        tokio::task::spawn_local(async move {
            // A receiver that is gone no longer wants the answer.
            match body {
                Body::Probe(message, reply) => {
                    let _ = reply.send(pool.probe(to, &message).await);
                }
                Body::Append(batch, reply) => {
                    let _ = reply.send(pool.append(to, &batch).await);
                }
                Body::Call(method, payload, reply) => {
                    let _ = reply.send(pool.call(to, method, &payload).await);
                }
            }
            drop(permit);
        });
    }
}
