use std::fmt;

use serde::Serialize;

use crate::config::Class;
use crate::routing::Policy;

use super::{Options, Outcome, Replay, Row, Trace};

/// Latency target: 95th percentile of the time to first token, in milliseconds.
const FIRST_TOKEN_MS: f64 = 1_500.0;

/// Latency target: 95th percentile of the time between two tokens, in milliseconds.
const INTER_TOKEN_MS: f64 = 70.0;

/// Least share of requests that have to be finished before their deadline.
const GOOD_SHARE: f64 = 0.99;

/// Largest fleet tried, relative to the trace's.
const MAX_FACTOR: usize = 3;

/// A policy's outcome with the trace's endpoints, and its cost at the latency target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The outcome with all endpoints of the trace.
    pub outcome: Outcome,
    /// Endpoints of the smallest fleet that meets the target; none when the largest misses it.
    pub engines_at_target: Option<usize>,
    /// Price per hour of that fleet.
    pub cost_at_target: Option<f64>,
    /// The outcome with that fleet.
    pub outcome_at_target: Option<Outcome>,
}

/// Replays a trace by each policy and finds the smallest fleet that meets the latency target.
///
/// The target holds for interactive and for long requests alike: 95% have their first token
/// within 1.5 s, 95% of the times between tokens are within 70 ms, and 99% of the requests finish
/// before their deadline.
#[must_use]
pub fn compare(trace: &Trace, options: Options, policies: &[Policy]) -> Vec<Comparison> {
    let compared = policies.iter().map(|&policy| {
        let options = Options { policy, ..options };
        let found = smallest(trace, options);
        Comparison {
            outcome: Replay::new(trace, options).run(),
            engines_at_target: found.as_ref().map(|outcome| outcome.engines),
            cost_at_target: found.as_ref().map(|outcome| outcome.price),
            outcome_at_target: found,
        }
    });
    compared.collect()
}

/// Tries fleets from one endpoint on; the price of a fleet grows with its size, so the first
/// that meets the target is the cheapest.
fn smallest(trace: &Trace, options: Options) -> Option<Outcome> {
    let fleets = 1..=trace.endpoints.len() * MAX_FACTOR;
    let outcomes = fleets.map(|engines| {
        let options = Options {
            engines: Some(engines),
            ..options
        };
        Replay::new(trace, options).run()
    });
    outcomes.into_iter().find(meets_target)
}

fn meets_target(outcome: &Outcome) -> bool {
    let fast = |row: &Row| {
        row.first_token_ms.p95 <= FIRST_TOKEN_MS
            && row.inter_token_ms.p95 <= INTER_TOKEN_MS
            && row.good as f64 >= row.requests as f64 * GOOD_SHARE
    };
    let classes = [Class::Interactive, Class::Long];
    classes
        .iter()
        .filter_map(|class| outcome.row(None, Some(*class)))
        .all(fast)
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.outcome)?;
        match (self.engines_at_target, self.cost_at_target) {
            (Some(engines), Some(cost)) => {
                writeln!(
                    f,
                    "cost at the latency target: {cost:.2}/h ({engines} engines)"
                )
            }
            _ => writeln!(f, "the latency target is not met with any fleet tried"),
        }
    }
}
