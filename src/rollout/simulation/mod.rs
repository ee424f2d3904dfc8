//! Simulation of the rollout policy on seeded scenarios in virtual time.
//!
//! Each scenario has a service with 8 nodes, 4 routes and 5 endpoints per version, a fault of the
//! new version or none, and a disturbance or none. The simulated nodes run the same functions as
//! real ones; requests and their outcomes come from a seeded random number generator. [`run`]
//! compares the policy with a fixed-schedule rollout on the same scenarios.

mod baseline;
mod environment;
mod scenario;
mod score;
mod sequential;
mod table;

pub use self::scenario::{Disturbance, Fault, Scenario, scenarios};
pub use self::score::Score;
pub use self::table::{Row, Table};

use crate::config::Weights;

use super::Plan;

/// Runs the policy and the baseline on `count` scenarios and returns their scores.
#[must_use]
pub fn run(seed: u64, count: usize) -> Table {
    run_weighted(seed, count, Weights::EQUAL.rollout_share())
}

/// Runs the policy and the baseline as [`run`] does, with the given share of rollouts in the
/// weights, see [`Plan::weighted`].
#[must_use]
pub fn run_weighted(seed: u64, count: usize, share: f64) -> Table {
    let scenarios = scenarios(seed, count);
    let plan = Plan::weighted(share);
    let policy = parallel(&scenarios, |scenario| sequential::run(scenario, &plan));
    Table::new(policy, parallel(&scenarios, baseline::run))
}

/// Applies `policy` to all scenarios in parallel; the result doesn't depend on the number of
/// threads.
fn parallel<F>(scenarios: &[Scenario], policy: F) -> Vec<Score>
where
    F: Fn(&Scenario) -> Score + Sync,
{
    let policy = &policy;
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let chunk_size = scenarios.len().div_ceil(threads).max(1);
    std::thread::scope(|scope| {
        let workers: Vec<_> = scenarios
            .chunks(chunk_size)
            .map(|chunk| scope.spawn(move || chunk.iter().map(policy).collect::<Vec<_>>()))
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a policy run doesn't panic"))
            .collect()
    })
}
