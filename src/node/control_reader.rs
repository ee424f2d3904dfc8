//! Follows the `control` stream.
//!
//! A few nodes of each failure domain long-poll the log service for the next record. The others
//! read when a probe reports that the stream has grown, and periodically in case no probe does. The
//! number of reads that return nothing therefore does not grow with the number of nodes. The idea
//! is that of PIP-63, "Readonly Topic Ownership Support", option C: a reader asks only when its
//! stream has not advanced.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;
use crate::control::{self, Outcome, Projection, Reader, Record};
use crate::error::Error;
use crate::log::{Offset, Page, Service as _};

use super::Node;

/// Pause after a failed read of the log.
const RETRY_INTERVAL: Millis = Millis(500);

/// Longest time that one read of the `control` stream waits for a record.
const READ_TIMEOUT: Millis = Millis(1_000);

/// Longest time between two reads of a node that does not long-poll. Together with the time that
/// probes take to report the growth, it stays below the 8 s within which a configuration has to be
/// active at all nodes.
const MAX_READ_INTERVAL: Millis = Millis(4_000);

/// Maximum number of records in one read.
const MAX_RECORDS_PER_READ: usize = 256;

/// Nodes of each failure domain that long-poll the log service. In clusters of 6 to 8 nodes in 3
/// domains, these are all nodes.
const DIRECT_READERS_PER_DOMAIN: usize = 4;

/// Reads the `control` stream until `token` is cancelled.
pub(super) async fn run(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let mut reader = Reader::default();
    let mut checkpoint = CheckpointSchedule::new(node.clock.now());
    while !token.is_cancelled() {
        let known = node.control();
        if known.next_offset() > reader.projection().next_offset() {
            // The state from another node is newer.
            reader = Reader::new(known);
        }
        let page = tokio::select! {
            () = token.cancelled() => return Ok(()),
            page = node.read_control(reader.next_offset()) => page,
        };
        node.cluster
            .log_reachable
            .store(page.is_ok(), Ordering::SeqCst);
        let Ok(page) = page else {
            metrics::counter!("almondpath_log_read_failures_total").increment(1);
            pause(&token).await;
            continue;
        };
        for (offset, outcome) in reader.apply(&page) {
            if let Outcome::Rejected(reason) = outcome {
                let reason = format!("record {offset}: {reason}");
                node.last_rejection.store(Some(Arc::new(reason)));
            }
        }
        let read_to = reader.next_offset().0;
        node.cluster
            .control_read_to
            .store(read_to, Ordering::SeqCst);
        node.cluster
            .control_gap
            .store(reader.has_gap(), Ordering::SeqCst);
        if reader.has_gap() {
            // Another node may provide the state or write a checkpoint.
            metrics::counter!("almondpath_log_gaps_total").increment(1);
            pause(&token).await;
            continue;
        }
        node.adopt(reader.projection());
        checkpoint.record_page(&page, node.clock.now());
        if reader.next_offset() >= page.end {
            checkpoint.write_if_due(&node, reader.projection());
        }
    }
    Ok(())
}

/// Schedules checkpoints of the `control` stream, so that its state outlives its records.
struct CheckpointSchedule {
    /// When the last checkpoint was read or written.
    at: Millis,
    /// Records read since then.
    records: u64,
    /// Additional wait of this process as a share of the interval, so that usually only one node
    /// writes.
    delay: f64,
}

impl CheckpointSchedule {
    /// Longest additional wait, as a share of the interval.
    const MAX_DELAY: f64 = 0.25;

    fn new(now: Millis) -> Self {
        Self {
            at: now,
            records: 0,
            delay: rand::random_range(0.0..Self::MAX_DELAY),
        }
    }

    fn record_page(&mut self, page: &Page, now: Millis) {
        for entry in &page.records {
            self.records += 1;
            if matches!(serde_json::from_str(&entry.data), Ok(Record::Checkpoint(_))) {
                self.at = now;
                self.records = 0;
            }
        }
    }

    fn write_if_due(&mut self, node: &Arc<Node>, projection: &Projection) {
        let settings = &node.settings;
        let now = node.clock.now();
        let factor = 1.0 + self.delay;
        let interval = Millis((settings.checkpoint_interval_ms.as_f64() * factor) as u64);
        let records = (settings.checkpoint_records as f64 * factor) as u64;
        let due = now - self.at >= interval || self.records >= records;
        if !due || projection.active().is_none() {
            return;
        }
        self.at = now;
        self.records = 0;
        metrics::counter!("almondpath_control_checkpoints_total").increment(1);
        let record = Record::Checkpoint(Box::new(projection.clone()));
        let Ok(text) = serde_json::to_string(&record) else {
            return;
        };
        let node = Arc::clone(node);
        tokio::spawn(async move {
            // If it is lost, the next one follows after the interval.
            let _ = node
                .log_service
                .append(control::STREAM, vec![text.into()])
                .await;
        });
    }
}

impl Node {
    /// Reads the `control` stream, at once or when it has probably grown.
    async fn read_control(&self, from: Offset) -> Result<Page, Error> {
        let wait = if self.is_direct_reader() {
            READ_TIMEOUT
        } else {
            // After the timeout it reads all the same.
            let _ = timeout(
                MAX_READ_INTERVAL.into(),
                self.cluster.control_grown.notified(),
            )
            .await;
            Millis::ZERO
        };
        self.log_service
            .read(control::STREAM, from, MAX_RECORDS_PER_READ, wait)
            .await
    }

    /// Returns whether this node long-polls the log service for the `control` stream.
    pub(super) fn is_direct_reader(&self) -> bool {
        self.cluster.view().domain_rank() < DIRECT_READERS_PER_DOMAIN
    }

    /// Returns the newest known state of the `control` stream.
    pub(super) fn control(&self) -> Projection {
        self.cluster.control.lock().expect("control lock").clone()
    }
}

async fn pause(token: &CancellationToken) {
    tokio::select! {
        () = token.cancelled() => {}
        () = tokio::time::sleep(RETRY_INTERVAL.into()) => {}
    }
}
