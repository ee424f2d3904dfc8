use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use slog::{Logger, info, warn};
use tokio_util::sync::CancellationToken;

use crate::access::Access;
use crate::clock::Millis;
use crate::control::{self, Fold, Outcome, Reader, Record};
use crate::log::{Page, Service as _};
use crate::peer;
use crate::supervisor::Supervisor;

use super::{Node, backup, gossip, polls, sync};

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
    supervisor.spawn("peer tokens", move |token| {
        reload_peer_tokens(Arc::clone(&this), token)
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
    supervisor.spawn("policy", move |token| sync::run(Arc::clone(&this), token));
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
    let mut reader = Reader::default();
    let mut checkpoint = Checkpoint::new(node.clock.now());
    while !token.is_cancelled() {
        let known = node.control();
        if known.next() > reader.fold().next() {
            // Another node knew more.
            reader = Reader::new(known);
        }
        let page = node
            .log_service
            .read(control::STREAM, reader.next(), TAIL_LIMIT, TAIL_WAIT);
        let page = tokio::select! {
            () = token.cancelled() => return Ok(()),
            page = page => page,
        };
        let Ok(page) = page else {
            metrics::counter!("almondpath_log_read_failures_total").increment(1);
            pause(&token).await;
            continue;
        };
        for (offset, outcome) in reader.take(&page) {
            if let Outcome::Rejected(reason) = outcome {
                let reason = format!("record {offset}: {reason}");
                node.refused.store(Some(Arc::new(reason)));
            }
        }
        node.cluster.gap.store(reader.is_gap(), Ordering::SeqCst);
        if reader.is_gap() {
            // Another node may know the state, or write a checkpoint.
            metrics::counter!("almondpath_log_gaps_total").increment(1);
            pause(&token).await;
            continue;
        }
        node.adopt(reader.fold());
        checkpoint.seen(&page, node.clock.now());
        if reader.next() >= page.end {
            checkpoint.write_if_due(&node, reader.fold());
        }
    }
    Ok(())
}

/// Writes the state of the `control` stream into it before its records expire.
struct Checkpoint {
    /// When the last one was read or written.
    at: Millis,
    /// Records read since then.
    records: u64,
    /// Part of the interval that this process waits longer, so that mostly one node writes.
    delay: f64,
}

impl Checkpoint {
    /// Longest additional wait as a share of the interval.
    const MAX_DELAY: f64 = 0.25;

    fn new(now: Millis) -> Self {
        Self {
            at: now,
            records: 0,
            delay: rand::random_range(0.0..Self::MAX_DELAY),
        }
    }

    fn seen(&mut self, page: &Page, now: Millis) {
        for entry in &page.records {
            self.records += 1;
            if matches!(serde_json::from_str(&entry.data), Ok(Record::Checkpoint(_))) {
                self.at = now;
                self.records = 0;
            }
        }
    }

    fn write_if_due(&mut self, node: &Arc<Node>, fold: &Fold) {
        let settings = &node.settings;
        let now = node.clock.now();
        let late = 1.0 + self.delay;
        let interval = Millis((settings.checkpoint_interval_ms.as_f64() * late) as u64);
        let records = (settings.checkpoint_records as f64 * late) as u64;
        let due = now - self.at >= interval || self.records >= records;
        if !due || fold.active().is_none() {
            return;
        }
        self.at = now;
        self.records = 0;
        metrics::counter!("almondpath_control_checkpoints_total").increment(1);
        let record = Record::Checkpoint(Box::new(fold.clone()));
        let Ok(text) = serde_json::to_string(&record) else {
            return;
        };
        let node = Arc::clone(node);
        tokio::spawn(async move {
            // A lost one is followed by another after the interval.
            let _ = node
                .log_service
                .append(control::STREAM, vec![text.into()])
                .await;
        });
    }
}

impl Node {
    /// Returns the newest known state of the `control` stream.
    pub(super) fn control(&self) -> Fold {
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

/// Takes over changes of the file with the tokens of client accounts and operators.
async fn reload_access(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let path = node.settings.token_file.clone();
    reload(&node.log, &path, &token, Access::load, |access| {
        node.access.store(access);
    })
    .await
}

/// Takes over changes of the file with the tokens of nodes.
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

/// Takes over changes of a token file; a broken file changes nothing.
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
                warn!(log, "token file not reloaded"; "file" => file, "reason" => reason);
            }
        }
    }
    Ok(())
}
