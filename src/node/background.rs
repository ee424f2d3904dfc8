use std::sync::Arc;

use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::access::Access;
use crate::clock::Millis;
use crate::control::{self, Fold, Outcome};
use crate::endpoint::{Host, Load};
use crate::log::Service as _;
use crate::supervisor::Supervisor;

use super::{Node, backup};

/// Time between two reads of the host list and of the endpoints' load.
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
    supervisor.spawn("hosts", move |token| poll_hosts(Arc::clone(&this), token));
    let this = Arc::clone(node);
    supervisor.spawn("load", move |token| poll_load(Arc::clone(&this), token));
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
    let mut fold = Fold::default();
    while !token.is_cancelled() {
        let page = node
            .log_service
            .read(control::STREAM, fold.next(), TAIL_LIMIT, TAIL_WAIT);
        let page = tokio::select! {
            () = token.cancelled() => return Ok(()),
            page = page => page,
        };
        let Ok(page) = page else {
            metrics::counter!("almondpath_log_read_failures_total").increment(1);
            tokio::time::sleep(POLL_INTERVAL.into()).await;
            continue;
        };
        for entry in page.records {
            match fold.apply(entry.offset, &entry.data) {
                Outcome::Applied => node.activate(&fold),
                Outcome::Rejected(reason) => {
                    let reason = format!("record {}: {reason}", entry.offset);
                    node.refused.store(Some(Arc::new(reason)));
                }
            }
        }
    }
    Ok(())
}

impl Node {
    fn activate(&self, fold: &Fold) {
        if let Some(active) = fold.active() {
            info!(self.log, "configuration active"; "version" => active.version.0);
            self.active.store(Some(Arc::new(active.clone())));
            self.dispatch.configure(&active.config);
        }
    }
}

async fn poll_hosts(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    while !token.is_cancelled() {
        node.pump();
        let hosts = node
            .http
            .get_json::<Vec<Host>>(node.settings.platform, "/hosts");
        if let Ok(hosts) = hosts.await {
            let mut endpoints = node.endpoints.lock().expect("endpoints lock");
            endpoints.update(hosts);
            node.dispatch.refresh(&endpoints);
        }
        pause(&token).await;
    }
    Ok(())
}

async fn poll_load(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    while !token.is_cancelled() {
        let targets: Vec<_> = {
            let endpoints = node.endpoints.lock().expect("endpoints lock");
            endpoints
                .iter()
                .map(|(key, e)| (key, e.host.address))
                .collect()
        };
        let reads = targets.into_iter().map(|(key, address)| {
            let node = Arc::clone(&node);
            async move {
                let load = node.http.get_json::<Load>(address, "/load").await;
                if let Ok(load) = load {
                    let now = node.clock.now();
                    let mut endpoints = node.endpoints.lock().expect("endpoints lock");
                    endpoints.report(key, load, now);
                    let endpoint = endpoints.get(key).cloned();
                    drop(endpoints);
                    if let Some(endpoint) = endpoint {
                        node.reported(key, &endpoint);
                    }
                }
            }
        });
        futures::future::join_all(reads).await;
        pause(&token).await;
    }
    Ok(())
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
