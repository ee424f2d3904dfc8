use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::Millis;

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// No fault, but both versions fail more often, with bursts, and vary more, and the caches of
    /// the new one are cold.
    Noisy,
    /// A share of the requests fails from the start.
    AtOnce(f64),
    /// A share of the requests fails from a point in time on.
    Later(f64, Millis),
    /// A share of the requests fails on endpoints loaded above 45% of their capacity.
    UnderLoad(f64),
    /// A share of the requests on one route fails.
    OneRoute(f64, usize),
    /// The time to first token is longer by the first factor, the inter-token time by the second.
    Slow(f64, f64),
}

impl Fault {
    /// Returns whether a version with this fault has to be rolled back.
    #[must_use]
    pub fn is_bad(self) -> bool {
        !matches!(self, Self::None | Self::Noisy)
    }

    /// Returns the name of the kind of fault.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "good",
            Self::Noisy => "good, noisy",
            Self::AtOnce(_) => "bad at once",
            Self::Later(..) => "bad later",
            Self::UnderLoad(_) => "bad under load",
            Self::OneRoute(..) => "bad on one route",
            Self::Slow(..) => "slow only",
        }
    }
}

/// Disturbance during a rollout that is unrelated to the versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// Two hosts of each version are lost at this time.
    Reclaims(Millis),
    /// The log is unavailable from the first to the second time.
    LogOutage(Millis, Millis),
}

/// One simulated rollout.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Fault of the new version.
    pub fault: Fault,
    /// Disturbance during the rollout.
    pub disturbance: Disturbance,
    /// Time from the start to the deadline.
    pub window: Millis,
    /// Mean request rate per second of all nodes together.
    pub rate: f64,
}

/// Returns `count` scenarios, with all combinations of faults and disturbances equally often.
#[must_use]
pub fn scenarios(seed: u64, count: usize) -> Vec<Scenario> {
    (0..count)
        .map(|index| scenario(seed.wrapping_mul(1_000_003) + index as u64, index))
        .collect()
}

fn scenario(seed: u64, index: usize) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let window = Millis::from_secs(rng.random_range(400..900));
    let at = |share: f64| Millis((window.as_f64() * share) as u64);
    let failure_share = rng.random_range(0.15..0.9);
    let fault = match index % 7 {
        0 => Fault::None,
        1 => Fault::Noisy,
        2 => Fault::AtOnce(failure_share),
        3 => Fault::Later(failure_share, at(rng.random_range(0.05..0.9))),
        4 => Fault::UnderLoad(failure_share),
        5 => Fault::OneRoute(failure_share, rng.random_range(0..4)),
        _ => slow(&mut rng),
    };
    let disturbance = match index / 7 % 3 {
        0 => Disturbance::None,
        1 => Disturbance::Reclaims(at(rng.random_range(0.0..0.8))),
        _ => {
            let start = rng.random_range(0.0..0.5);
            Disturbance::LogOutage(at(start), at(start + rng.random_range(0.1..0.35)))
        }
    };
    Scenario {
        seed,
        fault,
        disturbance,
        window,
        rate: rng.random_range(30.0..90.0),
    }
}

/// Returns a fault that slows down the first token, the following ones, or both.
fn slow(rng: &mut SmallRng) -> Fault {
    let (first, gap) = (rng.random_range(1.6..4.0), rng.random_range(1.6..4.0));
    match rng.random_range(0..3) {
        0 => Fault::Slow(first, 1.0),
        1 => Fault::Slow(1.0, gap),
        _ => Fault::Slow(first, gap),
    }
}
