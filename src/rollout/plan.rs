use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::{Comparison, SUSPICION_LIMIT, accepts_with};

/// Number of stages whose size depends on the weight of rollouts. The later ones are so large that
/// their size hardly affects the time to a decision.
const SCALED_STAGES: usize = 3;

/// Minimum time in a stage: nodes learn about the stage within a second, and their reports take a
/// few more seconds. Windows below 500 s shorten it in proportion.
const MIN_DWELL: Millis = Millis(5_000);

/// Divisor of the window; the minimum time in a stage is at most the quotient.
const MIN_DWELL_DIVISOR: u64 = 100;

/// Divisor of the time until the deadline; after the quotient in a stage, the rollout may advance
/// without full evidence.
const FULL_EVIDENCE_DIVISOR: u64 = 6;

/// Number of requests to the new version below which a stage never advances without full evidence.
const MIN_REQUESTS: u32 = 20;

/// Number of requests in the last stage, to both versions together, below which a route has too
/// little traffic to be evaluated.
const MIN_ROUTE_REQUESTS: u32 = 10;

/// Time before the deadline after which no `done` record is written, because nearly all appends
/// take effect within this time. Windows below 100 s shorten it in proportion.
const APPEND_MARGIN: Millis = Millis(5_000);

/// Divisor of the window; the margin for appends is at most the quotient.
const APPEND_MARGIN_DIVISOR: u64 = 20;

/// A stage of a rollout: how much of the traffic the new version gets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Share of the requests, 0 to 1.
    pub share: f64,
    /// Maximum number of requests of all nodes together during the stage.
    pub budget: Option<u32>,
}

/// The stages of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    stages: Vec<Stage>,
    /// Factor on the evidence required to leave a stage, at least 1.
    evidence_factor: f64,
}

/// Next step of the controller of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Stay in the current stage.
    Stay,
    /// Append the record that begins the stage with this number.
    Advance(u32),
    /// Append the record that the rollout is done.
    Done,
}

/// State of a rollout as the controller observes it.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Current time, on the same clock as `deadline` and `stage_since`.
    pub now: Millis,
    /// Number of the current stage, from 0.
    pub stage: u32,
    /// Time at which the stage began.
    pub stage_since: Millis,
    /// Time by which the rollout has to be done.
    pub deadline: Millis,
    /// Time from the start of the rollout to the deadline.
    pub window: Millis,
    /// Counters per route since the stage began.
    pub routes: &'a [Comparison],
    /// Highest [`Detector::suspicion`](super::Detector::suspicion) of all tests.
    pub suspicion: f64,
}

impl Default for Plan {
    /// Returns the plan for equal weights.
    ///
    /// The first stages are bounded by a number of requests. The last one leaves a third of the
    /// traffic on the old version. With less, a version that becomes bad late would be compared
    /// with too few requests, and several times as many requests would be exposed before the trip.
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
            evidence_factor: 1.0,
        }
    }
}

impl Plan {
    /// Returns the plan of a deployment in which rollouts have the given share, 0 to 1, of the
    /// weights.
    ///
    /// A share of one half gives the default plan. A larger share makes the first three stages
    /// smaller and requires more evidence to leave a stage; at 1, these stages are half as large
    /// and the evidence is doubled, so that two versions run side by side for longer. A smaller
    /// share makes these stages up to twice as large but doesn't reduce the evidence, so that the
    /// stated error rates hold for every weight.
    #[must_use]
    pub fn weighted(share: f64) -> Self {
        let factor = (2.0 * share.clamp(0.0, 1.0) - 1.0).exp2();
        let mut plan = Self::default();
        for stage in plan.stages.iter_mut().take(SCALED_STAGES) {
            stage.share /= factor;
            stage.budget = stage.budget.map(|b| (f64::from(b) / factor).round() as u32);
        }
        plan.evidence_factor = factor.max(1.0);
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
        let dwell = observation.now - observation.stage_since;
        let min_dwell = MIN_DWELL.min(Millis(observation.window.0 / MIN_DWELL_DIVISOR));
        if observation.now >= observation.deadline || dwell < min_dwell {
            return Step::Stay;
        }
        let suspected = observation.suspicion > SUSPICION_LIMIT;
        let mut all = Comparison::default();
        observation.routes.iter().for_each(|route| all.add(*route));
        if observation.stage < self.last() {
            let full_evidence_time =
                Millis((observation.deadline - observation.now).0 / FULL_EVIDENCE_DIVISOR);
            let late = dwell >= full_evidence_time && all.new.requests >= MIN_REQUESTS;
            // A stage that has used up its request budget yields no further evidence, so that only
            // the next stage can resolve a suspicion.
            let bounded = self
                .stage(observation.stage)
                .is_some_and(|s| s.budget.is_some());
            let clear = accepts_with(all, self.evidence_factor) && !suspected;
            return if clear || (late && (bounded || !suspected)) {
                Step::Advance(observation.stage + 1)
            } else {
                Step::Stay
            };
        }
        let evaluated =
            |route: &&Comparison| route.old.requests + route.new.requests >= MIN_ROUTE_REQUESTS;
        let enough = |counters| accepts_with(counters, self.evidence_factor);
        let accepted = !suspected
            && enough(all)
            && observation
                .routes
                .iter()
                .filter(evaluated)
                .all(|p| enough(*p));
        let margin = APPEND_MARGIN.min(Millis(observation.window.0 / APPEND_MARGIN_DIVISOR));
        if accepted && observation.now + margin < observation.deadline {
            Step::Done
        } else {
            Step::Stay
        }
    }
}
