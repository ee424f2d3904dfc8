use std::collections::VecDeque;

use crate::clock::Millis;

use super::super::{Arm, Comparison, Outcome, Thresholds};
use super::environment::{ENDPOINTS, Environment};
use super::{Scenario, Score};

const TICK: Millis = Millis(100);

/// Shares of the fixed schedule, each for a fifth of the window.
const SHARES: [f64; 5] = [0.10, 0.25, 0.50, 0.75, 1.0];

/// Time between two comparisons with the thresholds.
const CHECK_INTERVAL: Millis = Millis(15_000);

/// Failure rate of the new version above which it is rolled back.
const MAX_FAILURES: f64 = 0.05;

/// Share of slow responses above which the new version is rolled back; a quarter is normal.
const MAX_SLOW: f64 = 0.50;

/// Responses below which no comparison is made.
const MIN_RESPONSES: u32 = 20;

const HORIZON: usize = 120;

/// Drives a fixed-schedule rollout with thresholds through one scenario.
///
/// One place sums the counters of all nodes and routes and compares the last interval with fixed
/// thresholds. Schedule and rollback both need the log.
pub(super) fn run(scenario: &Scenario) -> Score {
    let mut environment = Environment::new(scenario);
    let mut score = Score::new(scenario);
    let limits: Vec<Thresholds> = (0..4).map(|route| environment.limits(route)).collect();
    let mut answers: VecDeque<Vec<(usize, Arm, Outcome)>> =
        (0..HORIZON).map(|_| Vec::new()).collect();
    let mut counters = Comparison::default();
    let mut share = SHARES[0];
    let mut now = Millis::ZERO;
    while now < scenario.window && score.tripped_at.is_none() {
        for request in environment.arrivals(now, TICK) {
            let arm = if request.draw < share {
                Arm::New
            } else {
                Arm::Old
            };
            let part = if arm == Arm::New { share } else { 1.0 - share };
            let answer = environment.send(request, arm, (part, ENDPOINTS), now);
            if arm == Arm::New {
                score.count(answer.exposed, now);
            }
            let ticks = usize::try_from(answer.after.0 / TICK.0).unwrap_or(HORIZON);
            answers[ticks.min(HORIZON - 1)].push((request.route, arm, answer.outcome));
        }
        for (route, arm, outcome) in answers.pop_front().unwrap_or_default() {
            counters.arm_mut(arm).add(limits[route].tally(outcome));
        }
        answers.push_back(Vec::new());
        now += TICK;
        if !environment.log_up(now) || !now.0.is_multiple_of(CHECK_INTERVAL.0) {
            continue;
        }
        if exceeds(&counters) {
            score.tripped_at = Some(now);
        }
        counters = Comparison::default();
        share = scheduled(now, scenario.window);
    }
    if score.tripped_at.is_some() {
        score.rolled_back = true;
    } else if environment.log_up(scenario.window) {
        score.done_at = Some(scenario.window);
    }
    score
}

fn scheduled(now: Millis, window: Millis) -> f64 {
    let index = now.0 * SHARES.len() as u64 / window.0.max(1);
    SHARES[usize::try_from(index).unwrap_or(0).min(SHARES.len() - 1)]
}

fn exceeds(counters: &Comparison) -> bool {
    let new = counters.new;
    if new.requests < MIN_RESPONSES {
        return false;
    }
    let rate = |events: u32, of: u32| f64::from(events) / f64::from(of.max(1));
    rate(new.failures, new.requests) > MAX_FAILURES
        || rate(new.slow_first, new.timed) > MAX_SLOW
        || rate(new.slow_gap, new.timed) > MAX_SLOW
}
