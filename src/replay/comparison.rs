use std::fmt;

use serde::Serialize;

use crate::config::Class;
use crate::routing::Policy;

use super::{Options, Outcome, Replay, Row, Trace};

/// Latency target for the 95th percentile of the time to first token, in milliseconds.
const MAX_P95_FIRST_TOKEN_MS: f64 = 1_500.0;

/// Latency target for the 95th percentile of the time between two tokens, in milliseconds.
const MAX_P95_INTER_TOKEN_MS: f64 = 70.0;

/// Minimum share of the requests that finish within their deadline.
const MIN_GOOD_SHARE: f64 = 0.99;

/// Largest fleet tried, as a multiple of the trace's endpoints.
const MAX_FLEET_FACTOR: usize = 3;

/// The outcome of a routing policy with the trace's endpoints, and its cost at the latency target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The outcome with all endpoints of the trace.
    pub outcome: Outcome,
    /// Size of the smallest fleet that meets the latency target; `None` when no fleet tried meets
    /// it.
    pub engines_at_target: Option<usize>,
    /// Price per hour of that fleet.
    pub cost_at_target: Option<f64>,
    /// The outcome with that fleet.
    pub outcome_at_target: Option<Outcome>,
}

/// Replays a trace with each policy and finds the smallest fleet that meets the latency target.
///
/// The target applies to interactive and to long requests: 95% of the first tokens come within
/// 1.5 s, 95% of the times between tokens are within 70 ms, and 99% of the requests finish within
/// their deadline.
#[must_use]
pub fn compare(trace: &Trace, options: Options, policies: &[Policy]) -> Vec<Comparison> {
    let comparisons = policies.iter().map(|&policy| {
        let options = Options { policy, ..options };
        let at_target = smallest_fleet(trace, options);
        Comparison {
            outcome: Replay::new(trace, options).run(),
            engines_at_target: at_target.as_ref().map(|outcome| outcome.engines),
            cost_at_target: at_target.as_ref().map(|outcome| outcome.price),
            outcome_at_target: at_target,
        }
    });
    comparisons.collect()
}

/// Returns the outcome with the smallest fleet that meets the latency target.
///
/// Fleets are tried by increasing size. The price of a fleet grows with its size, so the first that
/// meets the target is the cheapest.
fn smallest_fleet(trace: &Trace, options: Options) -> Option<Outcome> {
    let fleet_sizes = 1..=trace.endpoints.len() * MAX_FLEET_FACTOR;
    let outcomes = fleet_sizes.map(|engines| {
        let options = Options {
            engines: Some(engines),
            ..options
        };
        Replay::new(trace, options).run()
    });
    outcomes.into_iter().find(meets_target)
}

fn meets_target(outcome: &Outcome) -> bool {
    let row_meets_target = |row: &Row| {
        row.first_token_ms.p95 <= MAX_P95_FIRST_TOKEN_MS
            && row.inter_token_ms.p95 <= MAX_P95_INTER_TOKEN_MS
            && row.good as f64 >= row.requests as f64 * MIN_GOOD_SHARE
    };
    let classes = [Class::Interactive, Class::Long];
    classes
        .iter()
        .filter_map(|class| outcome.row(None, Some(*class)))
        .all(row_meets_target)
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
