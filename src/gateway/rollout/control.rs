use std::sync::Arc;

use slog::{info, warn};

use crate::error::Error;
use crate::gateway::{Append, Era, Node, Topic};

use super::{Progress, Stage};

/// The part of the holder of the duties in rollouts: it records their status in the store.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Control {
    /// Era and offset at which the next record is expected; none until the topic has been read, and
    /// again after a record whose outcome is unknown.
    next: Option<(Era, u64)>,
}

impl Control {
    /// Moves the rollouts on and records what is due. `is_holder` returns whether this node still
    /// holds the duties.
    ///
    /// Each record is conditional on the end of the topic, so that a record of an earlier holder
    /// which takes effect late can't replace a later one.
    pub(in crate::gateway) async fn step<F>(&mut self, node: &Arc<Node>, is_holder: F)
    where
        F: Fn() -> bool,
    {
        let wall = node.wall_time();
        let due = node.state().rollouts.advance(wall);
        for progress in due {
            if !is_holder() {
                return;
            }
            if let Err(error) = self.record(node, &progress).await {
                info!(node.log, "recording the status of a rollout failed";
                    "service" => &*progress.order.service, "reason" => %error);
                self.next = None;
                return;
            }
        }
    }

    async fn record(&mut self, node: &Arc<Node>, progress: &Progress) -> Result<(), Error> {
        let era = node.state().restores.era();
        let Some((_, at)) = self.next.filter(|(known, _)| *known == era) else {
            // What is due is decided again with the records that were read.
            self.next = Some(node.read_rollout_status().await?);
            return Ok(());
        };
        let key = node.documents.rollout_status_key(&progress.order.service);
        let status = node.documents.rollout_status(progress);
        let put = node.store.put(Topic::Status, Some(at), &key, &status);
        let reply = put.await?;
        let is_later_era = reply.era != era;
        match node.accept(Topic::Status, reply)? {
            _ if is_later_era => self.next = None,
            Append::Stored { offset } => {
                self.next = Some((era, offset + 1));
                let state = &mut *node.state();
                state.rollouts.record_stored(progress);
                let trial = state.rollouts.get(&progress.order.service);
                let summary = trial
                    .map(|trial| trial.evidence.summary())
                    .unwrap_or_default();
                info!(node.log, "rollout recorded"; "service" => &*progress.order.service,
                    "target" => &*progress.order.target, "stage" => ?progress.stage,
                    summary);
            }
            Append::Conflict { end } => {
                info!(node.log, "status of a rollout rejected: unexpected end of topic";
                    "at" => at, "end" => end);
                self.next = None;
            }
        }
        Ok(())
    }
}

impl Node {
    /// Applies an order that was read at this offset of the operator's topic, in the present era.
    /// `is_fresh` is whether it was given just now.
    pub(in crate::gateway) fn apply_order(
        &self,
        key: &str,
        document: &[u8],
        offset: u64,
        is_fresh: bool,
    ) {
        let order = match self.documents.rollout_order(key, document) {
            None => return,
            Some(Ok(order)) => order,
            Some(Err(error)) => {
                warn!(self.log, "invalid rollout order"; "key" => key, "reason" => %error);
                return;
            }
        };
        let mut progress = Progress {
            order,
            offset,
            started: self.wall_time(),
            stage: Stage::Trial,
            era: Era::default(),
        };
        let now = self.clock.now();
        let is_new = {
            let state = &mut *self.state();
            let era = state.restores.era();
            let known = state.rollouts.get(&progress.order.service);
            let known = known.filter(|_| !is_fresh);
            progress.era = known.map_or(era, |trial| {
                trial.progress.era_of(&progress.order, offset, era)
            });
            let (nodes, _) = state.roster.count_serving(now);
            state.rollouts.learn(&progress, is_fresh.then_some(nodes))
        };
        if is_new {
            self.log_rollout(&progress, "store");
        }
    }

    /// Reads the status of all rollouts from the store; returns the era and the offset after the last
    /// record.
    pub(in crate::gateway) async fn read_rollout_status(&self) -> Result<(Era, u64), Error> {
        let reply = self.store.snapshot(Topic::Status).await?;
        let era = reply.era;
        let snapshot = self.accept(Topic::Status, reply)?;
        for record in snapshot.records {
            let (Some(key), Some(document)) = (record.key, record.value) else {
                continue;
            };
            match self.documents.parse_rollout_status(&key, &document) {
                None => {}
                Some(Ok(progress)) => {
                    let is_new = self.state().rollouts.record_stored(&progress);
                    if is_new {
                        self.log_rollout(&progress, "store");
                    }
                }
                Some(Err(error)) => {
                    warn!(self.log, "invalid status of a rollout"; "key" => &*key,
                        "reason" => %error);
                }
            }
        }
        Ok((era, snapshot.end))
    }

    /// Reverts the versions that the evidence finds worse.
    pub(in crate::gateway) fn review_rollouts(&self) {
        let now = self.clock.now();
        let wall = self.wall_time();
        let lost_after = self.settings.endpoint_expiry();
        let findings = {
            let state = &mut *self.state();
            let fleet = &state.fleet;
            let is_present = |key| fleet.is_ready(key);
            state.rollouts.review(now, wall, lost_after, is_present)
        };
        for finding in findings {
            warn!(self.log, "version found worse"; "route" => &*finding.route,
                "metric" => finding.metric.as_str(), finding.summary);
            metrics::counter!("almondpath_rollout_trips_total").increment(1);
            self.log_rollout(&finding.progress, "evidence");
        }
    }

    pub(in crate::gateway) fn log_rollout(&self, progress: &Progress, source: &str) {
        info!(self.log, "rollout"; "service" => &*progress.order.service,
            "target" => &*progress.order.target, "era" => progress.era.0, "offset" => progress.offset,
            "stage" => ?progress.stage, "deadline" => progress.deadline().0, "source" => source);
    }
}
