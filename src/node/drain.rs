use std::sync::Arc;

use slog::info;
use tokio::time::{sleep, timeout};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::Node;
use super::lifecycle::{Draining, HandingOver, NextState, Process, ShutdownRequest, Stage};

/// Time for which callers may still use an address that they were given before.
const ADDRESS_TTL: Millis = Millis(2_000);

/// Timeout of a handover that a second signal requests, or that follows a drain timeout.
const HANDOVER_TIMEOUT: Millis = Millis::from_secs(10);

/// Part of the time to a host's reclaim that is reserved for the exit of the process.
const EXIT_MARGIN: Millis = Millis(300);

/// Time between two checks of the remaining work.
const POLL_INTERVAL: Millis = Millis(20);

/// Runs the lifecycle of a node, from serving to stopped, and cancels the node's shutdown token.
pub(super) async fn run(node: Arc<Node>) {
    tokio::select! {
        () = node.shutdown.cancelled() => return,
        () = run_lifecycle(&node) => {}
    }
    info!(node.log, "finished serving, shutting down");
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
    info!(node.log, "draining"; "streams" => node.running_responses().len());
    node.announce_leaving();
    let timeout = tokio::select! {
        () = node.wait_drained() => None,
        timeout = process.handover_requested() => Some(timeout),
        () = sleep(node.settings.drain_ms.into()) => Some(HANDOVER_TIMEOUT),
    };
    match timeout {
        Some(timeout) => hand_over(node, process.hand_over(timeout)).await,
        None => process.stop(),
    }
}

async fn hand_over(node: &Arc<Node>, process: Process<'_, HandingOver>) {
    node.announce_leaving();
    let limit = process.state.timeout - EXIT_MARGIN;
    let work = async {
        // A response that no node takes over now may be taken over by a node that joins later.
        while node.hand_over().await > 0 {
            sleep(POLL_INTERVAL.into()).await;
        }
        node.wait_idle().await;
    };
    if timeout(limit.into(), work).await.is_err() {
        metrics::counter!("almondpath_handover_timeouts_total").increment(1);
    }
    process.stop();
}

impl Node {
    /// Checks that the node accepts new requests.
    ///
    /// While it drains, it accepts them for as long as callers may have its address.
    ///
    /// # Errors
    ///
    /// Fails when the node no longer accepts requests.
    pub(super) fn check_accepting(&self) -> Result<(), Error> {
        let accepting = match self.lifecycle.stage() {
            Stage::Serving => true,
            Stage::Draining => !self.address_expired.is_cancelled(),
            Stage::HandingOver | Stage::Stopped => false,
        };
        if accepting {
            return Ok(());
        }
        Err(Error::not_run(ErrorKind::Leaving, "this node is leaving")
            .with_retry_after(Millis::ZERO))
    }

    /// Requests a drain, or a handover if a drain was requested before.
    pub fn leave(&self) {
        self.lifecycle.escalate(HANDOVER_TIMEOUT);
    }

    /// Requests a drain; has no effect when one was requested before.
    pub(super) fn request_drain(&self) {
        self.lifecycle.request(ShutdownRequest::Drain);
    }

    /// Requests a handover within `timeout`, after which the host is gone.
    pub(super) fn request_handover(&self, timeout: Millis) {
        self.lifecycle.request(ShutdownRequest::HandOver(timeout));
    }

    /// Waits until no caller can use this node's address any more and all calls have ended.
    async fn wait_drained(&self) {
        sleep(ADDRESS_TTL.into()).await;
        self.address_expired.cancel();
        self.wait_idle().await;
    }

    /// Waits until no request is open, no caller reads a response, and the backup nodes have all
    /// responses.
    async fn wait_idle(&self) {
        while !(self.running_responses().is_empty()
            && self.permits.available_permits() == self.settings.request_limit
            && self
                .streams
                .all()
                .iter()
                .all(|entry| entry.followers() == 0)
            && self.replication.is_flushed())
        {
            sleep(POLL_INTERVAL.into()).await;
        }
    }
}
