use std::fmt;

use serde::Serialize;

use super::{Fault, Score};

/// Result of one policy on all scenarios with one kind of fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the policy.
    pub policy: &'static str,
    /// Kind of fault.
    pub fault: &'static str,
    /// Number of scenarios.
    pub rollouts: usize,
    /// Rollouts done by the deadline and not rolled back.
    pub done: usize,
    /// Mean share of the window, in percent, until those rollouts were done, during which two
    /// versions run side by side.
    pub done_after_percent: f64,
    /// Rollouts that were rolled back.
    pub rolled_back: usize,
    /// Requests exposed to the fault before the trip, in percent of the windows' requests.
    pub exposed_percent: f64,
    /// Highest such percentage of one scenario.
    pub worst_exposed_percent: f64,
    /// Requests sent to the version after the trip, in percent of the windows' requests.
    pub after_percent: f64,
    /// Highest such percentage of one scenario.
    pub worst_after_percent: f64,
    /// Requests sent to the version more than 2 s after the trip.
    pub late: u32,
}

/// Scores of the policy and of the fixed-schedule baseline on the same scenarios.
#[derive(Clone, Debug)]
pub struct Table {
    /// Scores of the policy, one per scenario.
    pub policy: Vec<Score>,
    /// Scores of the baseline, one per scenario.
    pub baseline: Vec<Score>,
}

impl Table {
    pub(super) fn new(policy: Vec<Score>, baseline: Vec<Score>) -> Self {
        Self { policy, baseline }
    }

    /// Returns a row per policy and kind of fault, then one for all good and all bad scenarios.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let policies = [
            ("sequential", &self.policy),
            ("fixed schedule", &self.baseline),
        ];
        policies
            .into_iter()
            .flat_map(|(policy, scores)| rows(policy, scores))
            .collect()
    }
}

fn rows(policy: &'static str, scores: &[Score]) -> Vec<Row> {
    let mut kinds: Vec<&'static str> = Vec::new();
    for score in scores {
        let kind = score.scenario.fault.as_str();
        if !kinds.contains(&kind) {
            kinds.push(kind);
        }
    }
    let of = |keep: &dyn Fn(Fault) -> bool| -> Vec<&Score> {
        scores.iter().filter(|s| keep(s.scenario.fault)).collect()
    };
    let mut rows: Vec<Row> = kinds
        .iter()
        .map(|kind| row(policy, kind, &of(&|fault| fault.as_str() == *kind)))
        .collect();
    rows.push(row(policy, "all good", &of(&|fault| !fault.is_bad())));
    rows.push(row(policy, "all bad", &of(&Fault::is_bad)));
    rows
}

fn row(policy: &'static str, fault: &'static str, scores: &[&Score]) -> Row {
    let requests: f64 = scores.iter().map(|s| s.window_requests).sum();
    let total = |count: fn(&Score) -> u32| -> f64 {
        let sum: f64 = scores.iter().map(|s| f64::from(count(s))).sum();
        100.0 * sum / requests.max(1.0)
    };
    let worst = |count: fn(&Score) -> u32| -> f64 {
        let shares = scores
            .iter()
            .map(|s| f64::from(count(s)) / s.window_requests);
        100.0 * shares.fold(0.0, f64::max)
    };
    let done = |score: &&&Score| score.done_at.is_some() && !score.rolled_back;
    Row {
        policy,
        fault,
        rollouts: scores.len(),
        done: scores.iter().filter(done).count(),
        done_after_percent: done_after(scores),
        rolled_back: scores.iter().filter(|s| s.rolled_back).count(),
        exposed_percent: total(|s| s.exposed_before),
        worst_exposed_percent: worst(|s| s.exposed_before),
        after_percent: total(|s| s.sent_after),
        worst_after_percent: worst(|s| s.sent_after),
        late: scores.iter().map(|s| s.sent_late).sum(),
    }
}

fn done_after(scores: &[&Score]) -> f64 {
    let percentages = scores.iter().filter(|s| !s.rolled_back).filter_map(|s| {
        let at = s.done_at?;
        Some(100.0 * at.as_f64() / s.scenario.window.as_f64())
    });
    let (count, sum) = percentages.fold((0, 0.0), |(count, sum), percentage| {
        (count + 1, sum + percentage)
    });
    sum / f64::from(count.max(1))
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<15} {:<17} {:>8} {:>5} {:>7} {:>11} {:>9} {:>8} {:>9} {:>8} {:>5}",
            "policy",
            "version",
            "rollouts",
            "done",
            "after %",
            "rolled back",
            "exposed %",
            "worst %",
            "late %",
            "worst %",
            "late"
        )?;
        for row in self.rows() {
            writeln!(
                f,
                "{:<15} {:<17} {:>8} {:>5} {:>7.1} {:>11} {:>9.3} {:>8.3} {:>9.4} {:>8.4} {:>5}",
                row.policy,
                row.fault,
                row.rollouts,
                row.done,
                row.done_after_percent,
                row.rolled_back,
                row.exposed_percent,
                row.worst_exposed_percent,
                row.after_percent,
                row.worst_after_percent,
                row.late
            )?;
        }
        Ok(())
    }
}
