use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::log::Offset;
use crate::rollout::{Thresholds, Trip};

use super::Reason;

/// Minimum bake time: the old version stays available for traffic at least this long after a
/// rollout is done.
const MIN_BAKE_TIME: Millis = Millis::from_secs(60);

/// Phase of a rollout according to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Neither done nor rolled back.
    InProgress,
    /// Done at this wall time.
    Done(Millis),
    /// Rolled back, for this reason.
    RolledBack(Reason),
}

/// A rollout of a service from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Offset of the record that started it.
    pub id: Offset,
    /// Name of the service.
    pub service: Arc<str>,
    /// The old version.
    pub from: Arc<str>,
    /// The new version.
    pub to: Arc<str>,
    /// Wall time of the start.
    pub started_at: Millis,
    /// Wall time by which it must be done.
    pub deadline: Millis,
    /// Routes on which the versions are compared, with the thresholds of each.
    pub limits: Vec<(Arc<str>, Thresholds)>,
    /// Number of the stage, from 0.
    pub stage: u32,
    /// Phase according to the log.
    pub phase: Phase,
}

/// Current status of a rollout at a node, which determines how the node splits the traffic.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// The new version gets the traffic share of the stage.
    InProgress,
    /// Done; the old version stays available for traffic and the comparison continues.
    Baking,
    /// Done, and the old version may be removed.
    Done,
    /// The new version gets no traffic.
    RolledBack(Reason),
}

impl Rollout {
    /// Returns the wall time until which the old version stays available for traffic.
    ///
    /// This is the deadline even if the rollout was done long before, because a version may start
    /// to fail late.
    #[must_use]
    pub fn baked_at(&self) -> Millis {
        match self.phase {
            Phase::Done(at) => self.deadline.max(at + MIN_BAKE_TIME),
            _ => self.deadline,
        }
    }

    /// Returns the status at the wall time `now`, given the phase in the log and a trip that this
    /// node or a peer detected.
    ///
    /// A rollout that is not done by the deadline is rolled back even when the log can't be read
    /// or written.
    #[must_use]
    pub fn status(&self, now: Millis, trip: Option<&Trip>) -> Status {
        let trip = trip.filter(|trip| trip.rollout == self.id);
        match (&self.phase, trip) {
            (Phase::RolledBack(reason), _) => Status::RolledBack(reason.clone()),
            (_, Some(trip)) => Status::RolledBack(Reason::Trip(trip.clone())),
            (Phase::InProgress, None) if now >= self.deadline => {
                Status::RolledBack(Reason::Deadline)
            }
            (Phase::InProgress, None) => Status::InProgress,
            (Phase::Done(_), None) if now < self.baked_at() => Status::Baking,
            (Phase::Done(_), None) => Status::Done,
        }
    }
}
