use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::endpoint::Key;
use crate::rollout::{Arm, Metric};

use super::{
    Evidence, Exposure, ExposureLimit, Phase, Preference, Progress, Report, Sample, Schedule,
    Stage, Versions,
};

/// Time after the deadline within which nodes learn of a completion.
const NEWS_TIME: Millis = Millis(1_500);

/// Time after the deadline from which a completed rollout no longer matters, and from which a reverted
/// version serves again if no other one is left.
const AFTERMATH: Millis = Millis::from_secs(30);

/// The next step of the node that records the status of rollouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Wait,
    /// Record this stage in the store.
    Record(Stage),
}

/// A rollout, as one node sees it.
#[derive(Debug)]
pub struct Trial {
    /// What all nodes know.
    pub progress: Progress,
    /// The responses of both versions.
    pub evidence: Evidence,
    pub(super) exposure: Exposure,
    /// The stage that is recorded in the store, as far as this node knows.
    pub(super) recorded: Option<Stage>,
}

/// Lookup.
impl Trial {
    /// Creates a rollout of which this node has just learned, with its counters of exposed requests.
    #[must_use]
    pub fn new(progress: Progress, exposure: Exposure) -> Self {
        Self {
            evidence: Evidence::new(progress.order.duration),
            exposure,
            progress,
            recorded: None,
        }
    }

    /// Returns the times of the rollout's steps.
    #[must_use]
    pub fn schedule(&self) -> Schedule {
        Schedule::new(self.progress.started, self.progress.order.duration)
    }

    /// Returns whether the version can still be found worse: nothing is left to go back to once the
    /// completion is recorded.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.progress.stage < Stage::Reverted
    }

    /// Returns the part of the comparison that the endpoints of a version belong to.
    #[must_use]
    pub fn arm(&self, version: &str) -> Arm {
        if *version == *self.progress.order.target {
            Arm::New
        } else {
            Arm::Old
        }
    }

    /// Returns the versions that a request may be sent to. `sample` returns which endpoints of a
    /// version get requests before it is promoted.
    ///
    /// A request that was sent before goes to the other versions, so that a fault of the version on
    /// trial does not hit it twice.
    pub fn preference<F>(
        &mut self,
        limit: &ExposureLimit,
        is_first: bool,
        draw: f64,
        wall: Millis,
        sample: F,
    ) -> Preference
    where
        F: FnOnce(&str) -> Sample,
    {
        let target = Arc::clone(&self.progress.order.target);
        let schedule = self.schedule();
        let deadline = schedule.deadline();
        let is_aftermath = wall <= deadline + AFTERMATH;
        match self.progress.stage {
            Stage::Completed if is_aftermath => Preference::all(target),
            Stage::Completed => Preference::default(),
            Stage::Reverted if is_aftermath => Preference {
                last_resort: None,
                ..Preference::others(target)
            },
            Stage::Reverted => Preference::others(target),
            Stage::Promoted if schedule.phase(wall) == Phase::Switch => {
                if wall <= deadline + NEWS_TIME {
                    Preference::all(target)
                } else {
                    Preference::others(target)
                }
            }
            Stage::Trial | Stage::Promoted => {
                let may_try = is_first && wall < schedule.switch_at();
                let sample = may_try.then(|| sample(&target));
                let admitted = sample
                    .filter(|sample| self.exposure.admits(limit, &schedule, sample, draw, wall));
                match admitted {
                    Some(sample) => Preference::sample(target, &sample),
                    None => Preference::others(target),
                }
            }
        }
    }

    /// Returns the versions whose endpoints are the capacity of the service, and those whose endpoints
    /// run beside them until they have proved themselves.
    #[must_use]
    pub fn capacity_versions(&self, wall: Millis) -> (Versions, Option<Versions>) {
        let target = || Arc::clone(&self.progress.order.target);
        match self.progress.stage {
            Stage::Completed if wall > self.progress.deadline() + AFTERMATH => {
                (Versions::All, None)
            }
            // The endpoints of the other versions end.
            Stage::Completed => (Versions::Only(target()), None),
            Stage::Trial | Stage::Promoted | Stage::Reverted => {
                (Versions::Except(target()), Some(Versions::Only(target())))
            }
        }
    }
}

/// Changes.
impl Trial {
    /// Merges what another node or the store knows of the rollout; returns whether it says anything
    /// new.
    pub fn merge(&mut self, progress: &Progress) -> bool {
        self.progress.merge(progress)
    }

    /// Merges the counters of another node.
    pub fn merge_report(&mut self, node: &Arc<str>, incarnation: u64, report: &Report) {
        if (report.era, report.offset) == self.progress.position() {
            self.evidence.merge(node, incarnation, &report.routes);
        }
    }

    /// Evaluates the evidence; returns the route and the metric if the version is found worse. `now`
    /// is a steady time; for the other arguments, see [`Evidence::review`].
    pub fn review<F>(
        &mut self,
        now: Millis,
        wall: Millis,
        lost_after: Millis,
        is_present: F,
    ) -> Option<(Arc<str>, Metric)>
    where
        F: Fn(Key) -> bool,
    {
        if !self.is_open() {
            return None;
        }
        let phase = self.schedule().phase(wall);
        let found = self.evidence.review(now, phase, lost_after, is_present)?;
        self.progress.stage = Stage::Reverted;
        Some(found)
    }

    /// Moves the rollout on, at the node that records the status, and returns its next step.
    pub fn advance(&mut self, wall: Millis) -> Step {
        let schedule = self.schedule();
        let is_late = match self.progress.stage {
            Stage::Trial => wall >= schedule.switch_at(),
            Stage::Promoted => wall >= schedule.give_up_at(),
            Stage::Reverted | Stage::Completed => false,
        };
        if is_late {
            self.progress.stage = Stage::Reverted;
        }
        let may_promote = wall >= schedule.promote_from() && self.evidence.is_sufficient();
        if self.progress.stage == Stage::Trial && may_promote {
            self.progress.stage = Stage::Promoted;
        }
        match self.progress.stage {
            Stage::Promoted if wall >= schedule.complete_at() => Step::Record(Stage::Completed),
            Stage::Promoted => Step::Wait,
            stage if self.recorded == Some(stage) => Step::Wait,
            stage => Step::Record(stage),
        }
    }
}
