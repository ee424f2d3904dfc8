use std::path::Path;
use std::sync::Arc;

use slog::{Logger, info, warn};
use tokio_util::sync::CancellationToken;

use crate::access::Tokens;
use crate::clock::Millis;
use crate::peer;
use crate::supervisor::Supervisor;

use super::{Node, backup, control_reader, gossip, polling, refresh};

/// Time between two checks of the token files, and between two sweeps of finished responses.
const POLL_INTERVAL: Millis = Millis(500);

/// Starts the node's background tasks.
pub(super) fn spawn(node: &Arc<Node>, supervisor: &mut Supervisor) {
    let this = Arc::clone(node);
    supervisor.spawn("control", move |token| {
        control_reader::run(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("access", move |token| {
        reload_access(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("peer tokens", move |token| {
        reload_peer_tokens(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("hosts", move |token| {
        polling::hosts(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("notices", move |token| {
        polling::notices(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("load", move |token| polling::load(Arc::clone(&this), token));
    let this = Arc::clone(node);
    supervisor.spawn("policy", move |token| {
        refresh::run(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("gossip", move |token| gossip::run(Arc::clone(&this), token));
    let this = Arc::clone(node);
    supervisor.spawn("streams", move |token| {
        sweep_streams(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("progress", move |token| {
        backup::send_progress(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("owners", move |token| {
        backup::watch_owners(Arc::clone(&this), token)
    });
}

/// Drops finished responses whose retention period is over.
async fn sweep_streams(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    while !token.is_cancelled() {
        node.streams.sweep(node.clock.now(), node.clock.wall());
        pause(&token).await;
    }
    Ok(())
}

async fn pause(token: &CancellationToken) {
    tokio::select! {
        () = token.cancelled() => {}
        () = tokio::time::sleep(POLL_INTERVAL.into()) => {}
    }
}

/// Reloads the token file of client accounts and operators when it changes.
async fn reload_access(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let path = node.settings.token_file.clone();
    reload(&node.log, &path, &token, Tokens::load, |access| {
        node.access.store(access);
    })
    .await
}

/// Reloads the token file of peers when it changes.
async fn reload_peer_tokens(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let Some(path) = node.settings.peer_token_file.clone() else {
        token.cancelled().await;
        return Ok(());
    };
    reload(&node.log, &path, &token, peer::Tokens::load, |tokens| {
        node.peer_tokens.send_replace(tokens);
    })
    .await
}

/// Reloads a token file when it changes; an invalid file leaves the current tokens in place.
async fn reload<T, F>(
    log: &Logger,
    path: &Path,
    token: &CancellationToken,
    load: fn(&Path) -> eyre::Result<T>,
    store: F,
) -> eyre::Result<()>
where
    F: Fn(Arc<T>),
{
    let modified = || {
        std::fs::metadata(path)
            .and_then(|data| data.modified())
            .ok()
    };
    let mut seen = modified();
    while !token.is_cancelled() {
        pause(token).await;
        let current = modified();
        if current == seen {
            continue;
        }
        seen = current;
        let file = path.display().to_string();
        match load(path) {
            Ok(tokens) => {
                info!(log, "token file reloaded"; "file" => file);
                store(Arc::new(tokens));
            }
            Err(error) => {
                let reason = format!("{error:#}");
                warn!(log, "reloading the token file failed"; "file" => file, "reason" => reason);
            }
        }
    }
    Ok(())
}
