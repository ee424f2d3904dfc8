use std::sync::Arc;

use slog::info;
use tokio::time::{sleep, timeout};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::Node;
use super::lifecycle::{Draining, HandingOver, NextState, Process, ShutdownRequest, Stage};

/// Time for which callers may still come with an address that they asked for before.
const ADDRESS_TTL: Millis = Millis(2_000);

/// Time for a handover that an operator asked for by a second signal, or that ends a drain.
const HANDOVER_TIMEOUT: Millis = Millis::from_secs(10);

/// Part of a notice that is kept for the end of the process.
const EXIT_MARGIN: Millis = Millis(300);

/// Time between two looks at what is left.
const POLL_INTERVAL: Millis = Millis(20);

/// Leads a node from serving to its end; returns when the process can end.
pub(super) async fn run(node: Arc<Node>) {
    tokio::select! {
        () = node.shutdown.cancelled() => return,
        () = run_lifecycle(&node) => {}
    }
    info!(node.log, "nothing is left to serve");
    node.shutdown.cancel();
}

async fn run_lifecycle(node: &Arc<Node>) {
    let process = node.lifecycle.start();
    match process.shutdown_requested().await {
        NextState::Drain(process) => drain(node, process).await,
        NextState::HandOver(process) => hand_over(node, process).await,
    }
}

async fn drain(node: &Arc<Node>, process: Process<'_, Draining>) {
    info!(node.log, "draining"; "streams" => node.running().len());
    node.announce_leaving();
    let bound = tokio::select! {
        () = node.wait_drained() => None,
        bound = process.handover_requested() => Some(bound),
        () = sleep(node.settings.drain_ms.into()) => Some(HANDOVER_TIMEOUT),
    };
    match bound {
        Some(bound) => hand_over(node, process.hand_over(bound)).await,
        None => process.stop(),
    }
}

async fn hand_over(node: &Arc<Node>, process: Process<'_, HandingOver>) {
    node.announce_leaving();
    let bound = process.state.bound - EXIT_MARGIN;
    let work = async {
        // What no node takes over now may be taken over by one that comes later.
        while node.hand_over().await > 0 {
            sleep(POLL_INTERVAL.into()).await;
        }
        node.wait_idle().await;
    };
    if timeout(bound.into(), work).await.is_err() {
        metrics::counter!("almondpath_handover_timeouts_total").increment(1);
    }
    process.stop();
}

impl Node {
    /// Returns an error when the node no longer takes new requests.
    ///
    /// While it drains, it takes them for as long as callers may hold its address.
    pub(super) fn check_accepting(&self) -> Result<(), Error> {
        let open = match self.lifecycle.stage() {
            Stage::Serving => true,
            Stage::Draining => !self.address_expired.is_cancelled(),
            Stage::HandingOver | Stage::Stopped => false,
        };
        if open {
            return Ok(());
        }
        Err(Error::not_run(ErrorKind::Leaving, "this node is leaving")
            .with_retry_after(Millis::ZERO))
    }

    /// Asks for a drain, or for a handover when one was asked for before.
    pub fn leave(&self) {
        self.lifecycle.escalate(HANDOVER_TIMEOUT);
    }

    /// Asks for a drain; has no further effect when asked again.
    pub(super) fn request_drain(&self) {
        self.lifecycle.request(ShutdownRequest::Drain);
    }

    /// Asks to be gone within `bound`, because the host will be.
    pub(super) fn request_handover(&self, bound: Millis) {
        self.lifecycle.request(ShutdownRequest::HandOver(bound));
    }

    /// Waits until callers have stopped to come and all calls are complete.
    async fn wait_drained(&self) {
        sleep(ADDRESS_TTL.into()).await;
        self.address_expired.cancel();
        self.wait_idle().await;
    }

    /// Waits until no call is open, no caller reads, and backup nodes have all responses.
    async fn wait_idle(&self) {
        while !(self.running().is_empty()
            && self.permits.available_permits() == self.settings.request_limit
            && self
                .streams
                .all()
                .iter()
                .all(|entry| entry.followers() == 0)
            && self.replication.is_settled())
        {
            sleep(POLL_INTERVAL.into()).await;
        }
    }
}
