use std::collections::VecDeque;

use crate::clock::Millis;

use super::super::{Arm, Comparison, Outcome, Thresholds};
use super::environment::{ENDPOINTS, Environment};
use super::{Scenario, Score};

/// Simulated time per step.
const TICK_INTERVAL: Millis = Millis(100);

/// Traffic shares of the fixed schedule, each for a fifth of the window.
const SHARES: [f64; 5] = [0.10, 0.25, 0.50, 0.75, 1.0];

/// Time between two checks of the thresholds.
const CHECK_INTERVAL: Millis = Millis(15_000);

/// Failure rate of the new version above which it is rolled back.
const MAX_FAILURES: f64 = 0.05;

/// Share of slow responses above which the new version is rolled back. The thresholds are upper
/// quartiles, so that a quarter is normal.
const MAX_SLOW: f64 = 0.50;

/// Number of responses below which the thresholds are not checked.
const MIN_RESPONSES: u32 = 20;

/// Ticks after which the longest response has ended.
const MAX_RESPONSE_TICKS: usize = 120;

/// Simulates a rollout on a fixed schedule with fixed thresholds in one scenario.
///
/// A central controller sums the counters of all nodes and routes and compares those of the last
/// interval with the thresholds. Both the schedule and a rollback need the log.
pub(super) fn run(scenario: &Scenario) -> Score {
    let mut environment = Environment::new(scenario);
    let mut score = Score::new(scenario);
    let thresholds: Vec<Thresholds> = (0..4).map(|route| environment.thresholds(route)).collect();
    let mut responses: VecDeque<Vec<(usize, Arm, Outcome)>> =
        (0..MAX_RESPONSE_TICKS).map(|_| Vec::new()).collect();
    let mut counters = Comparison::default();
    let mut share = SHARES[0];
    let mut now = Millis::ZERO;
    while now < scenario.window && score.tripped_at.is_none() {
        for request in environment.arrivals(now, TICK_INTERVAL) {
            let arm = if request.draw < share {
                Arm::New
            } else {
                Arm::Old
            };
            let arm_share = if arm == Arm::New { share } else { 1.0 - share };
            let response = environment.send(request, arm, (arm_share, ENDPOINTS), now);
            if arm == Arm::New {
                score.count(response.exposed, now);
            }
            let ticks =
                usize::try_from(response.after.0 / TICK_INTERVAL.0).unwrap_or(MAX_RESPONSE_TICKS);
            responses[ticks.min(MAX_RESPONSE_TICKS - 1)].push((
                request.route,
                arm,
                response.outcome,
            ));
        }
        for (route, arm, outcome) in responses.pop_front().unwrap_or_default() {
            counters.arm_mut(arm).add(thresholds[route].tally(outcome));
        }
        responses.push_back(Vec::new());
        now += TICK_INTERVAL;
        if !environment.log_available(now) || !now.0.is_multiple_of(CHECK_INTERVAL.0) {
            continue;
        }
        if exceeds_thresholds(&counters) {
            score.tripped_at = Some(now);
        }
        counters = Comparison::default();
        share = scheduled_share(now, scenario.window);
    }
    if score.tripped_at.is_some() {
        score.rolled_back = true;
    } else if environment.log_available(scenario.window) {
        score.done_at = Some(scenario.window);
    }
    score
}

/// Returns the traffic share that the schedule gives the new version.
fn scheduled_share(now: Millis, window: Millis) -> f64 {
    let index = now.0 * SHARES.len() as u64 / window.0.max(1);
    SHARES[usize::try_from(index).unwrap_or(0).min(SHARES.len() - 1)]
}

/// Returns whether the new version exceeds a threshold.
fn exceeds_thresholds(counters: &Comparison) -> bool {
    let new = counters.new;
    if new.requests < MIN_RESPONSES {
        return false;
    }
    let rate = |events: u32, of: u32| f64::from(events) / f64::from(of.max(1));
    rate(new.failures, new.requests) > MAX_FAILURES
        || rate(new.slow_first, new.timed) > MAX_SLOW
        || rate(new.slow_gap, new.timed) > MAX_SLOW
}
