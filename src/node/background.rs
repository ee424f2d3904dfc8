use std::sync::Arc;
use std::sync::atomic::Ordering;

use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::access::Access;
use crate::clock::Millis;
use crate::control::{self, Fold, Outcome};
use crate::log::Service as _;
use crate::supervisor::Supervisor;

use super::{Node, backup, gossip, polls};

/// Time between two looks at the token file, and after a failed read of the log.
const POLL_INTERVAL: Millis = Millis(500);

/// Longest time that one read of the `control` stream waits for a record.
const TAIL_WAIT: Millis = Millis(1_000);

const TAIL_LIMIT: usize = 256;

/// Starts the node's background tasks.
pub(super) fn spawn(node: &Arc<Node>, supervisor: &mut Supervisor) {
    let this = Arc::clone(node);
    supervisor.spawn("control", move |token| {
        tail_control(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("access", move |token| {
        reload_access(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("hosts", move |token| polls::hosts(Arc::clone(&this), token));
    let this = Arc::clone(node);
    supervisor.spawn("notices", move |token| {
        polls::notices(Arc::clone(&this), token)
    });
    let this = Arc::clone(node);
    supervisor.spawn("load", move |token| polls::load(Arc::clone(&this), token));
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

async fn tail_control(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    while !token.is_cancelled() {
        let mut fold = node.control();
        let page = node
            .log_service
            .read(control::STREAM, fold.next(), TAIL_LIMIT, TAIL_WAIT);
        let page = tokio::select! {
            () = token.cancelled() => return Ok(()),
            page = page => page,
        };
        let Ok(page) = page else {
            metrics::counter!("almondpath_log_read_failures_total").increment(1);
            pause(&token).await;
            continue;
        };
        let gap = page.earliest > fold.next();
        node.cluster.gap.store(gap, Ordering::SeqCst);
        if gap {
            // Records in between have expired; another node may know their effect.
            metrics::counter!("almondpath_log_gaps_total").increment(1);
            pause(&token).await;
            continue;
        }
        for entry in page.records {
            if let Outcome::Rejected(reason) = fold.apply(entry.offset, &entry.data) {
                let reason = format!("record {}: {reason}", entry.offset);
                node.refused.store(Some(Arc::new(reason)));
            }
        }
        node.adopt(&fold);
    }
    Ok(())
}

impl Node {
    /// Returns the newest known state of the `control` stream.
    fn control(&self) -> Fold {
        self.cluster.control.lock().expect("control lock").clone()
    }
}

/// Drops finished responses after their retention period.
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

/// Takes over changes of the token file; a broken file changes nothing.
async fn reload_access(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let path = &node.settings.token_file;
    let modified = || {
        std::fs::metadata(path)
            .and_then(|data| data.modified())
            .ok()
    };
    let mut seen = modified();
    while !token.is_cancelled() {
        pause(&token).await;
        let current = modified();
        if current == seen {
            continue;
        }
        seen = current;
        match Access::load(path) {
            Ok(access) => {
                info!(node.log, "token file reloaded");
                node.access.store(Arc::new(access));
            }
            Err(error) => {
                warn!(node.log, "token file not reloaded"; "reason" => format!("{error:#}"));
            }
        }
    }
    Ok(())
}
