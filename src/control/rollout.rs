use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::log::Offset;
use crate::rollout::{Thresholds, Trip};

use super::Reason;

/// Shortest time for which the old version stays able to take traffic after a rollout is done.
const MIN_BAKE: Millis = Millis::from_secs(60);

/// Where a rollout stands according to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not decided yet.
    InProgress,
    /// Done at this wall time.
    Done(Millis),
    /// Rolled back.
    RolledBack(Reason),
}

/// A rollout of a service from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Offset of the record that started it.
    pub id: Offset,
    /// The service.
    pub service: Arc<str>,
    /// The old version.
    pub from: Arc<str>,
    /// The new version.
    pub to: Arc<str>,
    /// Wall time of the start.
    pub started_at: Millis,
    /// Wall time by which it has to be done.
    pub deadline: Millis,
    /// Compared routes and their limits.
    pub limits: Vec<(Arc<str>, Thresholds)>,
    /// Number of the stage, from 0.
    pub stage: u32,
    /// Where it stands according to the log.
    pub phase: Phase,
}

/// What a node does with a rollout now.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// The new version gets the share of the stage.
    InProgress,
    /// Done; the old version stays able to take traffic and the comparison goes on.
    Baking,
    /// Done, and the old version may be removed.
    Done,
    /// The new version gets nothing.
    RolledBack(Reason),
}

impl Rollout {
    /// Returns the wall time until which the old version stays able to take traffic.
    ///
    /// That is the deadline even if the rollout was done long before, because a version may turn
    /// bad late.
    #[must_use]
    pub fn baked_at(&self) -> Millis {
        match self.phase {
            Phase::Done(at) => self.deadline.max(at + MIN_BAKE),
            _ => self.deadline,
        }
    }

    /// Returns what a node does now, given what it has read and its own or a peer's trip.
    ///
    /// A rollout that is not done at the deadline is rolled back, whether or not the log can be
    /// read or written.
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
