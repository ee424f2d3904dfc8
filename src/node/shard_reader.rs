//! Follows a `calls-<shard>` stream: reads it, recovers after a gap, and writes checkpoints.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::clock::Millis;
use crate::error::Error;
use crate::ledger::{Action, Assembler, Part, Projection, RETENTION_SLACK, Record};
use crate::log::writer::Group;
use crate::log::{Client, Offset, Read, Tail};

use super::Node;
use super::shard::Shard;

/// Longest time that one read waits for a record.
const READ_TIMEOUT: Millis = Millis(1_000);

/// Pause after a failed read of the log.
const RETRY_INTERVAL: Millis = Millis(200);

/// Maximum number of records in one read.
const MAX_RECORDS_PER_READ: usize = 512;

/// Time after a gap for which the reader waits for another node to write the missing checkpoint.
const CHECKPOINT_WAIT: Millis = Millis(3_000);

/// Time after which a checkpoint that was submitted but not read back is written again.
const CHECKPOINT_RETRY_INTERVAL: Millis = Millis(10_000);

/// Time after which a shard count that was submitted but not read back is written again.
const LAYOUT_RETRY_INTERVAL: Millis = Millis(2_000);

/// Reads the stream of one shard and keeps its state current.
pub(super) struct ShardReader {
    node: Arc<Node>,
    shard: Arc<Shard>,
    log: Client,
    /// Records read since the last checkpoint.
    records: u64,
    /// When the last checkpoint was read or submitted.
    checkpoint_at: Millis,
    /// Whether the end of the stream was reached since the start or the last gap.
    synced: bool,
    /// When the record with the number of shards was last submitted.
    layout_written_at: Option<Millis>,
    /// When a reader without state first found no checkpoint.
    no_checkpoint_since: Option<Millis>,
}

impl ShardReader {
    pub(super) fn new(node: Arc<Node>, shard: Arc<Shard>, log: Client) -> Self {
        let checkpoint_at = node.clock.now();
        Self {
            node,
            shard,
            log,
            records: 0,
            checkpoint_at,
            synced: false,
            layout_written_at: None,
            no_checkpoint_since: None,
        }
    }

    /// Reads until `token` is cancelled.
    pub(super) async fn run(mut self, token: &CancellationToken) {
        loop {
            let result = tokio::select! {
                () = token.cancelled() => return,
                result = self.read_next() => result,
            };
            self.shard
                .health()
                .record_read(self.node.clock.now(), result.is_ok());
            if result.is_err() {
                metrics::counter!("almondpath_log_read_failures_total").increment(1);
                tokio::time::sleep(RETRY_INTERVAL.into()).await;
            }
        }
    }

    /// Reads the next records and applies them, or recovers from a gap.
    async fn read_next(&mut self) -> Result<(), Error> {
        let log = self.log.clone();
        let shard = Arc::clone(&self.shard);
        let tail = Tail::new(&log, shard.committer.stream(), MAX_RECORDS_PER_READ);
        let next = shard.projection().next_offset();
        // Reads wait only once the end was reached: the response to a read of an empty stream
        // already shows that there is nothing to read.
        let wait = if self.synced {
            READ_TIMEOUT
        } else {
            Millis::ZERO
        };
        match tail.read(next, wait).await? {
            Read::Gap { earliest } => self.recover(&tail, earliest).await,
            Read::Records { records, end } => {
                if shard.apply(&records) > 0 {
                    self.records = 0;
                    self.checkpoint_at = self.node.clock.now();
                }
                self.records += u64::try_from(records.len()).unwrap_or(u64::MAX);
                if shard.projection().next_offset() >= end {
                    self.synced = true;
                    shard.set_ready(self.layout_matches());
                    self.write_checkpoint_if_due();
                }
                Ok(())
            }
        }
    }

    /// Restores the newest checkpoint whose later records are all still in the log.
    async fn recover(&mut self, tail: &Tail<'_, Client>, earliest: Offset) -> Result<(), Error> {
        self.synced = false;
        self.shard.set_ready(false);
        metrics::counter!("almondpath_log_gaps_total").increment(1);
        let mut assembler = Assembler::default();
        let mut found: Option<Projection> = None;
        let mut from = earliest;
        loop {
            let Read::Records { records, end } = tail.read(from, Millis::ZERO).await? else {
                // The oldest records expired in the meantime; the next read starts over.
                return Ok(());
            };
            from = records.last().map_or(end, |record| record.offset.next());
            for record in &records {
                if let Some(projection) = parse_checkpoint(&mut assembler, &record.data)
                    && projection.next_offset() >= earliest
                    && found
                        .as_ref()
                        .is_none_or(|f| f.next_offset() < projection.next_offset())
                {
                    found = Some(projection);
                }
            }
            if from >= end {
                break;
            }
        }
        self.resume_from(found, from).await;
        Ok(())
    }

    /// Resumes from a checkpoint, or without one when no node writes one in time.
    ///
    /// Without a checkpoint, the records before `end` are not known. Each of their keys was
    /// created before now plus [`RETENTION_SLACK`], so a horizon at that time keeps every call
    /// safe: calls are refused until keys that were created after it arrive.
    async fn resume_from(&mut self, found: Option<Projection>, end: Offset) {
        let now = self.node.clock.now();
        if let Some(projection) = found {
            self.no_checkpoint_since = None;
            self.shard.restore(projection);
            return;
        }
        let since = *self.no_checkpoint_since.get_or_insert(now);
        if now - since < CHECKPOINT_WAIT {
            tokio::time::sleep(RETRY_INTERVAL.into()).await;
            return;
        }
        self.no_checkpoint_since = None;
        metrics::counter!("almondpath_log_checkpoints_missing_total").increment(1);
        let horizon = self.node.clock.wall() + RETENTION_SLACK;
        self.shard.restore(Projection::starting_at(end, horizon));
    }

    /// Returns whether this node spreads keys over the same number of shards as the other nodes.
    ///
    /// The first node records the number; a node with another number must not run any call.
    fn layout_matches(&mut self) -> bool {
        if self.shard.number != 0 {
            return true;
        }
        let shards = self.node.settings.call_shards;
        if let Some(layout) = self.shard.projection().layout() {
            if layout != shards {
                metrics::counter!("almondpath_call_shards_mismatch_total").increment(1);
            }
            return layout == shards;
        }
        let now = self.node.clock.now();
        if self
            .layout_written_at
            .is_none_or(|at| now - at > LAYOUT_RETRY_INTERVAL)
        {
            self.layout_written_at = Some(now);
            let group = Group::default().once(Action::Layout { shards });
            // A full queue does no harm: the next read tries again.
            let _ = self.shard.committer.submit(group);
        }
        false
    }

    /// Writes a checkpoint when one is due.
    ///
    /// A checkpoint is due after at least as many records as the table has entries, so that a large
    /// table is not written more often than it changes. Each node waits a little longer than the
    /// one before it in the order of incarnations, so that usually only one of them writes.
    fn write_checkpoint_if_due(&mut self) {
        let settings = &self.node.settings;
        let now = self.node.clock.now();
        let projection = self.shard.projection();
        if projection.next_offset() == Offset(0) {
            return;
        }
        let incarnation = self.shard.committer.queue().incarnation();
        let entries = u64::try_from(projection.len()).unwrap_or(u64::MAX);
        let due = settings.checkpoint_records.max(entries);
        let spread = due / 4 * (incarnation % 8) / 8;
        let interval = settings.checkpoint_interval_ms;
        let age = now - self.checkpoint_at;
        let delay = Millis(interval.0 / 4 * (incarnation % 8) / 8);
        let enough_records = self.records >= due + spread && age >= self.min_checkpoint_interval();
        if !enough_records && age < interval + delay {
            return;
        }
        let parts = Part::split(&projection);
        drop(projection);
        self.checkpoint_at = now;
        self.records = 0;
        metrics::counter!("almondpath_log_checkpoints_total").increment(1);
        for part in parts {
            let action = Action::Checkpoint(Box::new(part));
            if !self
                .shard
                .committer
                .submit(Group::default().durable(action))
            {
                return;
            }
        }
    }

    /// Returns the shortest time between two checkpoints that are due by the number of records.
    fn min_checkpoint_interval(&self) -> Millis {
        CHECKPOINT_RETRY_INTERVAL.min(Millis(self.node.settings.checkpoint_interval_ms.0 / 30))
    }
}

/// Parses a record and returns the checkpoint that it completes, if any.
fn parse_checkpoint(assembler: &mut Assembler, text: &str) -> Option<Projection> {
    match serde_json::from_str::<Record>(text).ok()? {
        Record {
            writer,
            action: Action::Checkpoint(part),
            ..
        } => assembler.add(writer, *part),
        _ => None,
    }
}
