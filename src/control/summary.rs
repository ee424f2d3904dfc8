use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::log::Offset;
use crate::rollout::{Plan, Trip};

use super::{Rollout, Status};

/// State of a rollout as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The new version gets part of the traffic.
    InProgress,
    /// Done; the old version stays available for traffic during the bake time.
    DoneBaking,
    /// Done, and the old version may be removed.
    Done,
    /// All traffic goes to the old version.
    RolledBack,
}

/// Summary of a rollout that a node reports to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Offset of the record that started the rollout.
    pub rollout: Offset,
    /// Name of the service.
    pub service: Arc<str>,
    /// The old version.
    pub from: Arc<str>,
    /// The new version.
    pub to: Arc<str>,
    /// State at the reporting node.
    pub state: State,
    /// Number of the stage, from 1.
    pub stage: u32,
    /// Number of stages.
    pub stages: u32,
    /// Share of the traffic that the new version gets, in percent.
    pub share_percent: f64,
    /// Wall time by which it must be done.
    pub deadline: Millis,
    /// Reason for the rollback, if it was rolled back.
    pub reason: Option<String>,
}

impl Summary {
    /// Summarizes a rollout as a node sees it at the wall time `now`.
    #[must_use]
    pub fn new(rollout: &Rollout, plan: &Plan, now: Millis, trip: Option<&Trip>) -> Self {
        let share = plan.stage(rollout.stage).map_or(0.0, |stage| stage.share);
        let (state, share, reason) = match rollout.status(now, trip) {
            Status::InProgress => (State::InProgress, share, None),
            Status::Baking => (State::DoneBaking, share, None),
            Status::Done => (State::Done, 1.0, None),
            Status::RolledBack(reason) => (State::RolledBack, 0.0, Some(reason.to_string())),
        };
        Self {
            rollout: rollout.id,
            service: Arc::clone(&rollout.service),
            from: Arc::clone(&rollout.from),
            to: Arc::clone(&rollout.to),
            state,
            stage: rollout.stage + 1,
            stages: plan.last() + 1,
            share_percent: share * 100.0,
            deadline: rollout.deadline,
            reason,
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} from {} to {}: ", self.service, self.from, self.to)?;
        match self.state {
            State::InProgress => write!(
                f,
                "in progress, stage {} of {} with {:.0}% of the traffic",
                self.stage, self.stages, self.share_percent
            ),
            State::DoneBaking => f.write_str("done, the old version still has to stay"),
            State::Done => f.write_str("done"),
            State::RolledBack => {
                let reason = self.reason.as_deref().unwrap_or("no reason is known");
                write!(f, "rolled back: {reason}")
            }
        }
    }
}
