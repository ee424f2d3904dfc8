use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::{CAUTION, Comparison, accepts_with};

/// Stages whose size depends on the weight of rollouts. The later ones are large enough that their
/// size hardly changes the time to a decision.
const SCALED_STAGES: usize = 3;

/// Shortest time in a stage: nodes learn of it within a second and their reports take another few.
/// Windows below 500 s shorten it in proportion.
const MIN_DWELL: Millis = Millis(5_000);
const WINDOW_DWELLS: u64 = 100;

/// Part of the time left that a stage may use before it moves on without full evidence.
const DWELL_SHARE: u64 = 6;

/// Requests below which a stage never moves on without full evidence.
const MIN_REQUESTS: u32 = 20;

/// Requests of the old version in the last stage below which a route is too quiet to be judged.
const QUIET_ROUTE: u32 = 10;

/// Largest delay with which an append still takes effect in nearly all cases; a `done` record is
/// not written later than this before the deadline.
const APPEND_MARGIN: Millis = Millis(5_000);
const WINDOW_MARGINS: u64 = 20;

/// How much of the traffic the new version gets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Share of the requests, 0 to 1.
    pub share: f64,
    /// Most requests of all nodes together during the stage.
    pub budget: Option<u32>,
}

/// The stages of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    stages: Vec<Stage>,
    /// Factor of the evidence before a stage, at least 1.
    evidence: f64,
}

/// What the controller of a rollout should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Stay,
    /// Append the record of this stage.
    Advance(u32),
    /// Append the record that the rollout is done.
    Done,
}

/// What the controller knows of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Now, on the clock of `deadline` and `stage_since`.
    pub now: Millis,
    /// Number of the stage in force, from 0.
    pub stage: u32,
    /// When the stage began.
    pub stage_since: Millis,
    /// When the rollout has to be done.
    pub deadline: Millis,
    /// Time from the start to the deadline.
    pub window: Millis,
    /// Counters per route since the stage began.
    pub routes: &'a [Comparison],
    /// Highest [`Detector::suspicion`](super::Detector::suspicion) of all tests.
    pub suspicion: f64,
}

impl Default for Plan {
    /// The first stages are bounded in requests. The last one keeps a third on the old version:
    /// with less, a version that turns bad late would be compared with too few requests and expose
    /// several times as many before the trip.
    fn default() -> Self {
        let stage = |share, budget| Stage { share, budget };
        Self {
            stages: vec![
                stage(0.02, Some(64)),
                stage(0.05, Some(200)),
                stage(0.20, None),
                stage(0.50, None),
                stage(0.67, None),
            ],
            evidence: 1.0,
        }
    }
}

impl Plan {
    /// Returns the plan of a deployment in which rollouts have this share, 0 to 1, of the weights.
    ///
    /// A half gives the default plan. More makes the first three stages smaller and asks for more
    /// evidence before each stage, down to half and up to twice at 1; two versions then run beside
    /// each other for longer. Less makes these stages up to twice as large; the evidence stays, so
    /// that the stated error rates hold for every weight.
    #[must_use]
    pub fn weighted(share: f64) -> Self {
        let factor = (2.0 * share.clamp(0.0, 1.0) - 1.0).exp2();
        let mut plan = Self::default();
        for stage in plan.stages.iter_mut().take(SCALED_STAGES) {
            stage.share /= factor;
            stage.budget = stage.budget.map(|b| (f64::from(b) / factor).round() as u32);
        }
        plan.evidence = factor.max(1.0);
        plan
    }

    /// Returns a stage by its number.
    #[must_use]
    pub fn stage(&self, number: u32) -> Option<Stage> {
        self.stages.get(number as usize).copied()
    }

    /// Returns the number of the last stage.
    #[must_use]
    pub fn last(&self) -> u32 {
        u32::try_from(self.stages.len() - 1).unwrap_or(u32::MAX)
    }

    /// Decides the next step of a rollout that is in progress and not tripped.
    #[must_use]
    pub fn next(&self, observation: &Observation<'_>) -> Step {
        let dwelt = observation.now - observation.stage_since;
        let least = MIN_DWELL.min(Millis(observation.window.0 / WINDOW_DWELLS));
        if observation.now >= observation.deadline || dwelt < least {
            return Step::Stay;
        }
        let suspected = observation.suspicion > CAUTION;
        let mut all = Comparison::default();
        observation.routes.iter().for_each(|pair| all.add(*pair));
        if observation.stage < self.last() {
            let patience = Millis((observation.deadline - observation.now).0 / DWELL_SHARE);
            let late = dwelt >= patience && all.new.requests >= MIN_REQUESTS;
            // A spent budget yields no further evidence, so that only the next stage can clear up
            // a suspicion.
            let bounded = self
                .stage(observation.stage)
                .is_some_and(|s| s.budget.is_some());
            let clear = accepts_with(all, self.evidence) && !suspected;
            return if clear || (late && (bounded || !suspected)) {
                Step::Advance(observation.stage + 1)
            } else {
                Step::Stay
            };
        }
        let judged = |pair: &&Comparison| pair.old.requests + pair.new.requests >= QUIET_ROUTE;
        let enough = |pair| accepts_with(pair, self.evidence);
        let accepted = !suspected
            && enough(all)
            && observation.routes.iter().filter(judged).all(|p| enough(*p));
        let margin = APPEND_MARGIN.min(Millis(observation.window.0 / WINDOW_MARGINS));
        if accepted && observation.now + margin < observation.deadline {
            Step::Done
        } else {
            Step::Stay
        }
    }
}
