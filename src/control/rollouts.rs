use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::Config;
use crate::log::Offset;
use crate::rollout::Plan;

use super::{Change, Claim, Outcome, Phase, Reason, Rollout};

/// Rollouts and claims according to the `control` stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rollouts {
    /// Version of each service to which traffic goes outside of rollouts.
    serving: BTreeMap<Arc<str>, Arc<str>>,
    /// Version of each service that was rolled back; a rollout to it starts only after a
    /// configuration has specified another version.
    #[serde(rename = "barred")]
    rolled_back: BTreeMap<Arc<str>, Arc<str>>,
    /// Newest rollout of each service.
    latest: BTreeMap<Arc<str>, Rollout>,
    /// Current claim of each task.
    claims: BTreeMap<Arc<str>, Claim>,
}

fn rejected<T>(reason: T) -> Outcome
where
    T: Into<String>,
{
    Outcome::Rejected(reason.into())
}

/// Accessors.
impl Rollouts {
    /// Returns the version of a service to which traffic goes outside of rollouts.
    #[must_use]
    pub fn serving(&self, service: &str) -> Option<&Arc<str>> {
        self.serving.get(service)
    }

    /// Returns the newest rollout of each service.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.latest.values()
    }

    /// Returns the newest rollout of a service.
    #[must_use]
    pub fn latest(&self, service: &str) -> Option<&Rollout> {
        self.latest.get(service)
    }

    /// Returns the current claim of a task.
    #[must_use]
    pub fn claim(&self, task: &str) -> Option<&Claim> {
        self.claims.get(task)
    }

    /// Returns the target version of the rollout that should start for a service now, if any.
    #[must_use]
    pub fn pending_target(&self, config: &Config, service: &str) -> Option<Arc<str>> {
        let to = &config.service(service)?.version;
        let in_progress = self
            .latest
            .get(service)
            .is_some_and(|r| r.phase == Phase::InProgress);
        let serving = self.serving.get(service)?;
        let pending = !in_progress && serving != to && self.rolled_back.get(service) != Some(to);
        pending.then(|| Arc::clone(to))
    }
}

/// State transitions.
impl Rollouts {
    /// Applies a configuration that became active.
    ///
    /// A new service starts with the configured version. A rollout to a version that the
    /// configuration no longer specifies is rolled back.
    pub fn apply_config(&mut self, config: &Config) {
        for service in &config.services {
            let (name, version) = (&service.name, &service.version);
            self.serving
                .entry(Arc::clone(name))
                .or_insert_with(|| Arc::clone(version));
            if self
                .rolled_back
                .get(name)
                .is_some_and(|rolled_back| rolled_back != version)
            {
                self.rolled_back.remove(name);
            }
            let superseded = self
                .latest
                .get(name)
                .is_some_and(|r| r.phase == Phase::InProgress && r.to != *version);
            if superseded {
                let reason = Reason::Superseded(Arc::clone(version));
                self.roll_back(&Arc::clone(name), reason);
            }
        }
    }

    /// Applies the record at `offset`; `config` is the active configuration.
    pub fn apply(&mut self, offset: Offset, change: Change, config: Option<&Config>) -> Outcome {
        match change {
            Change::RolloutStart {
                service,
                from,
                to,
                at,
                deadline,
                limits,
                ..
            } => {
                let rollout = Rollout {
                    id: offset,
                    service,
                    from,
                    to,
                    started_at: at,
                    deadline,
                    limits,
                    stage: 0,
                    phase: Phase::InProgress,
                };
                self.start(rollout, config)
            }
            Change::RolloutStage {
                rollout, stage, at, ..
            } => self.advance(rollout, stage, at),
            Change::RolloutDone { rollout, at, .. } => self.finish(rollout, at),
            Change::RolloutRollback {
                rollout, why, at, ..
            } => self.abort(rollout, why, at),
            Change::Claim {
                id,
                task,
                holder,
                incarnation,
                lease_ms,
                previous,
            } => {
                let claim = Claim {
                    offset,
                    id,
                    holder,
                    incarnation,
                    lease_ms,
                };
                self.accept_claim(task, claim, previous)
            }
        }
    }

    fn start(&mut self, rollout: Rollout, config: Option<&Config>) -> Outcome {
        let name = Arc::clone(&rollout.service);
        let target = config.and_then(|c| self.pending_target(c, &name));
        if target.as_ref() != Some(&rollout.to) {
            return rejected(format!("no rollout of {name} to {} is due", rollout.to));
        }
        if self.serving.get(&name) != Some(&rollout.from) {
            return rejected(format!("{} doesn't serve {name}", rollout.from));
        }
        if rollout.deadline <= rollout.started_at {
            return rejected("the deadline is not after the start");
        }
        self.latest.insert(name, rollout);
        Outcome::Applied
    }

    fn advance(&mut self, id: Offset, stage: u32, at: Millis) -> Outcome {
        let Some(rollout) = self.in_progress(id) else {
            return rejected("the rollout is not in progress");
        };
        if stage != rollout.stage + 1 || stage > Plan::default().last() {
            return rejected(format!("stage {stage} doesn't follow {}", rollout.stage));
        }
        if at >= rollout.deadline {
            return rejected("the deadline has passed");
        }
        rollout.stage = stage;
        Outcome::Applied
    }

    fn finish(&mut self, id: Offset, at: Millis) -> Outcome {
        let Some(rollout) = self.in_progress(id) else {
            return rejected("the rollout is not in progress");
        };
        if rollout.stage != Plan::default().last() {
            return rejected("the last stage has not begun");
        }
        if at >= rollout.deadline {
            return rejected("the deadline has passed");
        }
        rollout.phase = Phase::Done(at);
        let (service, to) = (Arc::clone(&rollout.service), Arc::clone(&rollout.to));
        self.serving.insert(service, to);
        Outcome::Applied
    }

    fn abort(&mut self, id: Offset, why: Reason, at: Millis) -> Outcome {
        let Some(rollout) = self.latest.values().find(|r| r.id == id) else {
            return rejected("the rollout is unknown or followed by another one");
        };
        let can_roll_back = match rollout.phase {
            Phase::InProgress => true,
            Phase::Done(_) => at < rollout.baked_at() && why != Reason::Deadline,
            Phase::RolledBack(_) => false,
        };
        if !can_roll_back {
            return rejected("the rollout has ended");
        }
        let service = Arc::clone(&rollout.service);
        self.roll_back(&service, why);
        Outcome::Applied
    }

    fn roll_back(&mut self, service: &Arc<str>, reason: Reason) {
        if let Some(rollout) = self.latest.get_mut(service) {
            rollout.phase = Phase::RolledBack(reason);
            self.serving
                .insert(Arc::clone(service), Arc::clone(&rollout.from));
            self.rolled_back
                .insert(Arc::clone(service), Arc::clone(&rollout.to));
        }
    }

    fn accept_claim(&mut self, task: Arc<str>, claim: Claim, previous: Option<Offset>) -> Outcome {
        let current = self.claims.get(&task).map(|claim| claim.offset);
        if previous != current {
            return rejected(format!("another node has claimed {task}"));
        }
        self.claims.insert(task, claim);
        Outcome::Applied
    }

    fn in_progress(&mut self, id: Offset) -> Option<&mut Rollout> {
        self.latest
            .values_mut()
            .find(|r| r.id == id && r.phase == Phase::InProgress)
    }
}
