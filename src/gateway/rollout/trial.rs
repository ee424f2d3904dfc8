use std::sync::Arc;

use crate::clock::Millis;
use crate::rollout::Arm;

use super::{Evidence, Exposure, ExposureLimit, Preference, Progress, Report, Stage, Versions};

/// Time before the deadline at which a version that has proved itself is promoted: requests at the
/// other endpoints end, and the completion is recorded.
const PROMOTION_LEAD: Millis = Millis(3_500);

/// Divisor of a rollout's duration; the lead of the promotion is at most the quotient.
const PROMOTION_LEAD_DIVISOR: u64 = 3;

/// Time from the promotion to the record of the completion, upon which the other endpoints end: all
/// nodes learn of the promotion, and most requests at these endpoints end.
const FINISH_TIME: Millis = Millis(1_500);

/// Time before the deadline at which a rollout that is not completed is reverted, so that its status is
/// recorded in time, also after a first record that fails.
const RECORD_MARGIN: Millis = Millis(1_000);

/// Divisor of a rollout's duration; the margin is at most the quotient.
const RECORD_MARGIN_DIVISOR: u64 = 12;

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
    /// Wall time at which this node learned of the promotion.
    promoted_at: Option<Millis>,
}

/// Lookup.
impl Trial {
    /// Creates a rollout of which this node has just learned; it may use this part of the slack in
    /// the limit of exposed requests.
    #[must_use]
    pub fn new(progress: Progress, slack: f64) -> Self {
        Self {
            evidence: Evidence::new(progress.order.duration),
            exposure: Exposure::new(slack),
            progress,
            recorded: None,
            promoted_at: None,
        }
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

    /// Returns the versions that a request may be sent to.
    ///
    /// A request that was sent before goes to the other versions, so that a fault of the version on
    /// trial does not hit it twice.
    #[must_use]
    pub fn preference(
        &self,
        limit: &ExposureLimit,
        is_first: bool,
        draw: f64,
        wall: Millis,
    ) -> Preference {
        let target = || Arc::clone(&self.progress.order.target);
        let deadline = self.progress.deadline();
        let others = Preference {
            first: Versions::Except(target()),
            fallback: None,
            last_resort: Some(Versions::Only(target())),
        };
        let all = Preference {
            first: Versions::Only(target()),
            fallback: Some(Versions::Except(target())),
            last_resort: None,
        };
        match self.progress.stage {
            Stage::Completed if wall > deadline + AFTERMATH => Preference::default(),
            Stage::Completed => all,
            Stage::Reverted if wall <= deadline + AFTERMATH => Preference {
                last_resort: None,
                ..others
            },
            Stage::Reverted => others,
            Stage::Promoted if wall <= deadline + NEWS_TIME => all,
            Stage::Trial if wall <= deadline && is_first && self.exposure.admits(limit, draw) => {
                Preference {
                    first: Versions::Sample(target()),
                    fallback: Some(Versions::Except(target())),
                    last_resort: None,
                }
            }
            Stage::Trial | Stage::Promoted => others,
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

    /// Moves the rollout on, at the node that records the status, and returns its next step.
    pub fn advance(&mut self, wall: Millis) -> Step {
        let deadline = self.progress.deadline();
        let duration = self.progress.order.duration;
        let lead = PROMOTION_LEAD.min(Millis(duration.0 / PROMOTION_LEAD_DIVISOR));
        let margin = RECORD_MARGIN.min(Millis(duration.0 / RECORD_MARGIN_DIVISOR));
        let is_open = self.progress.stage < Stage::Reverted;
        if is_open && wall + margin >= deadline {
            self.progress.stage = Stage::Reverted;
        }
        let may_promote = wall + lead >= deadline && self.evidence.is_sufficient();
        if self.progress.stage == Stage::Trial && may_promote {
            self.progress.stage = Stage::Promoted;
        }
        match self.progress.stage {
            Stage::Promoted => {
                let promoted_at = *self.promoted_at.get_or_insert(wall);
                if promoted_at + FINISH_TIME <= wall {
                    return Step::Record(Stage::Completed);
                }
                Step::Wait
            }
            stage if self.recorded == Some(stage) => Step::Wait,
            stage => Step::Record(stage),
        }
    }
}
