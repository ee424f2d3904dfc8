use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::endpoint::Key;
use crate::rollout::{Arm, Metric, Outcome, Samples, Thresholds};

use super::trial::Step;
use super::{
    Attempt, Exposure, ExposureLimit, Preference, Progress, Report, Sample, Summary, Trial,
    Versions,
};

/// Factor on the upper quartile of the response times before a rollout, above which a response
/// counts as slow. A new endpoint has no cached prompts yet, which makes its responses slower, but
/// not by this much.
const SLOW_FACTOR: u64 = 3;

/// Responses on a route without which a node does not know which ones are slow.
const MIN_SAMPLES: usize = 5;

/// Maximum number of services whose rollouts and response times are kept.
const MAX_SERVICES: usize = 64;

/// A version that was found worse than the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The rollout.
    pub progress: Progress,
    /// The route on which the fault was found.
    pub route: Arc<str>,
    /// The metric that is worse.
    pub metric: Metric,
    /// The evidence.
    pub summary: Summary,
}

/// The latest rollout of each service. All times are wall times of the cluster, unless noted.
#[derive(Debug)]
pub struct Rollouts {
    limit: ExposureLimit,
    rounding: f64,
    trials: BTreeMap<Arc<str>, Trial>,
    /// Response times outside of rollouts and of the versions that are replaced, by service.
    samples: HashMap<Arc<str>, Samples>,
}

/// Construction and lookup.
impl Rollouts {
    /// Creates an empty list. `rounding` is a random number, 0 to 1, by which the nodes differ in when
    /// they send the first request to a version.
    #[must_use]
    pub fn new(limit: ExposureLimit, rounding: f64) -> Self {
        Self {
            limit,
            rounding,
            trials: BTreeMap::new(),
            samples: HashMap::new(),
        }
    }

    /// Returns the latest rollout of a service.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&Trial> {
        self.trials.get(service)
    }

    /// Returns what the other nodes have to know.
    #[must_use]
    pub fn progress(&self) -> Vec<Progress> {
        let trials = self.trials.values();
        trials.map(|trial| trial.progress.clone()).collect()
    }

    /// Returns the counters of this node.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        let open = self.trials.values();
        let open = open.filter(|trial| trial.is_open());
        open.map(|trial| Report {
            service: Arc::clone(&trial.progress.order.service),
            offset: trial.progress.offset,
            era: trial.progress.era,
            routes: trial.evidence.counters(),
        })
        .collect()
    }

    /// Returns whether a version may still be found worse.
    #[must_use]
    pub fn is_any_open(&self) -> bool {
        self.trials.values().any(Trial::is_open)
    }

    /// Returns the versions whose endpoints are the capacity of a service, and those that run beside
    /// them; see [`Trial::capacity_versions`].
    #[must_use]
    pub fn capacity_versions(&self, service: &str, wall: Millis) -> (Versions, Option<Versions>) {
        let trial = self.trials.get(service);
        trial.map_or((Versions::All, None), |trial| trial.capacity_versions(wall))
    }
}

/// Choice of versions.
impl Rollouts {
    /// Returns the versions that a request may be sent to; see [`Trial::preference`].
    pub fn preference<F>(
        &mut self,
        service: &str,
        is_first: bool,
        draw: f64,
        wall: Millis,
        sample: F,
    ) -> Preference
    where
        F: FnOnce(&str) -> Sample,
    {
        let trial = self.trials.get_mut(service);
        trial.map_or_else(Preference::default, |trial| {
            trial.preference(&self.limit, is_first, draw, wall, sample)
        })
    }
}

/// Changes.
impl Rollouts {
    /// Records a rollout or what is new of a known one; returns whether it says anything new.
    ///
    /// `nodes` is the number of nodes that share the slack in the limit of exposed requests; none if
    /// the rollout has begun earlier, since the slack may then be used up.
    pub fn learn(&mut self, progress: &Progress, nodes: Option<usize>) -> bool {
        let service = &progress.order.service;
        if let Some(trial) = self.trials.get_mut(service) {
            if trial.progress.is_same(progress) {
                return trial.merge(progress);
            }
            if trial.progress.position() > progress.position() {
                return false;
            }
        } else if self.trials.len() >= MAX_SERVICES {
            return false;
        }
        let slack = nodes.map_or(0.0, |nodes| self.limit.slack / nodes.max(1) as f64);
        let exposure = Exposure::new(slack, self.rounding);
        let trial = Trial::new(progress.clone(), exposure);
        self.trials.insert(Arc::clone(service), trial);
        true
    }

    /// Records which stage of a rollout the store has; returns whether it says anything new.
    pub fn record_stored(&mut self, progress: &Progress) -> bool {
        let is_new = self.learn(progress, None);
        if let Some(trial) = self.trials.get_mut(&progress.order.service)
            && trial.progress.is_same(progress)
        {
            trial.recorded = Some(progress.stage);
        }
        is_new
    }

    /// Forgets which stages the store has, because it was restored.
    pub fn forget_recorded(&mut self) {
        for trial in self.trials.values_mut() {
            trial.recorded = None;
        }
    }

    /// Counts a request that is sent to an endpoint of this version.
    pub fn record_sent(&mut self, service: &str, version: &str) {
        if let Some(trial) = self.trials.get_mut(service) {
            let exposed = *version == *trial.progress.order.target;
            trial.exposure.record(exposed);
        }
    }

    /// Merges the counters of another node.
    pub fn merge(&mut self, node: &Arc<str>, incarnation: u64, reports: &[Report]) {
        for report in reports {
            if let Some(trial) = self.trials.get_mut(&report.service) {
                trial.merge_report(node, incarnation, report);
            }
        }
    }

    /// Merges what another node knows; returns what is new. `nodes` as in [`Rollouts::learn`], for
    /// rollouts that began after the start of this node, at the wall time `running_since`.
    pub fn merge_progress(
        &mut self,
        all: &[Progress],
        nodes: usize,
        running_since: Millis,
    ) -> Vec<Progress> {
        let new = all.iter().filter(|progress| {
            let has_slack = progress.started > running_since;
            self.learn(progress, has_slack.then_some(nodes))
        });
        new.cloned().collect()
    }
}

/// Evidence.
impl Rollouts {
    /// Records the outcome of a request that an endpoint answered, or failed to serve, at the steady
    /// time `now`.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        version: &str,
        route: &Arc<str>,
        attempt: Attempt,
        now: Millis,
    ) {
        let trial = self.trials.get(service);
        let trial = trial.filter(|trial| trial.is_open());
        let arm = trial.map(|trial| trial.arm(version));
        if arm != Some(Arm::New) {
            self.sample(service, route, attempt.outcome);
        }
        let (Some(arm), Some(trial)) = (arm, self.trials.get_mut(service)) else {
            return;
        };
        if attempt.outcome == Outcome::Unreachable {
            let evidence = &mut trial.evidence;
            evidence.record_unanswered(route, arm, attempt.endpoint, now);
            return;
        }
        let samples = self.samples.get(service);
        let thresholds = |route: &str| thresholds(samples, route);
        let outcome = attempt.evidence();
        trial.evidence.record(route, arm, outcome, thresholds);
    }

    fn sample(&mut self, service: &Arc<str>, route: &Arc<str>, outcome: Outcome) {
        if self.samples.len() < MAX_SERVICES || self.samples.contains_key(service) {
            let samples = self.samples.entry(Arc::clone(service)).or_default();
            samples.push(route, outcome);
        }
    }

    /// Drops the response times of routes for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        for samples in self.samples.values_mut() {
            samples.retain(&keep);
        }
    }

    /// Reverts the versions that the evidence finds worse, and returns the findings; see
    /// [`Trial::review`].
    pub fn review<F>(
        &mut self,
        now: Millis,
        wall: Millis,
        lost_after: Millis,
        is_present: F,
    ) -> Vec<Finding>
    where
        F: Fn(Key) -> bool,
    {
        let mut findings = Vec::new();
        for trial in self.trials.values_mut() {
            if let Some((route, metric)) = trial.review(now, wall, lost_after, &is_present) {
                findings.push(Finding {
                    progress: trial.progress.clone(),
                    route,
                    metric,
                    summary: trial.evidence.summary(),
                });
            }
        }
        findings
    }

    /// Moves all rollouts on, at the node that records their status; returns what to record.
    pub fn advance(&mut self, wall: Millis) -> Vec<Progress> {
        let mut due = Vec::new();
        for trial in self.trials.values_mut() {
            if let Step::Record(stage) = trial.advance(wall) {
                due.push(Progress {
                    stage,
                    ..trial.progress.clone()
                });
            }
        }
        due
    }
}

fn thresholds(samples: Option<&Samples>, route: &str) -> Option<Thresholds> {
    let quartiles = samples?.quartiles(route, MIN_SAMPLES)?;
    Some(quartiles.scaled(SLOW_FACTOR))
}
