use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::Millis;

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Nothing, but both versions fail and vary more, with bursts, and its caches are cold.
    Noisy,
    /// Fails this share of its requests from the start.
    AtOnce(f64),
    /// Fails a share of its requests from a point in time on.
    Later(f64, Millis),
    /// Fails a share of its requests on endpoints that are loaded above half of their capacity.
    UnderLoad(f64),
    /// Fails a share of its requests on one route.
    OneRoute(f64, usize),
    /// Answers with first tokens late by the first factor and tokens slower by the second.
    Slow(f64, f64),
}

impl Fault {
    /// Returns whether the version has to be rolled back.
    #[must_use]
    pub fn is_bad(self) -> bool {
        !matches!(self, Self::None | Self::Noisy)
    }

    /// Returns the name of the kind.
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

/// What happens besides during a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// Two hosts of each version are lost at this time.
    Reclaims(Millis),
    /// The log can't be reached from the first to the second time.
    LogOutage(Millis, Millis),
}

/// One rollout of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Seed of its generator.
    pub seed: u64,
    /// What is wrong with the new version.
    pub fault: Fault,
    /// What happens besides.
    pub disturbance: Disturbance,
    /// Time from the start to the deadline.
    pub window: Millis,
    /// Mean request rate of all nodes together, per second.
    pub rate: f64,
}

/// Returns `count` scenarios; every fault meets every disturbance equally often.
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
    let failing = rng.random_range(0.15..0.9);
    let fault = match index % 7 {
        0 => Fault::None,
        1 => Fault::Noisy,
        2 => Fault::AtOnce(failing),
        3 => Fault::Later(failing, at(rng.random_range(0.05..0.9))),
        4 => Fault::UnderLoad(failing),
        5 => Fault::OneRoute(failing, rng.random_range(0..4)),
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

/// Slow in the first token, in the following ones, or in both.
fn slow(rng: &mut SmallRng) -> Fault {
    let (first, gap) = (rng.random_range(1.6..4.0), rng.random_range(1.6..4.0));
    match rng.random_range(0..3) {
        0 => Fault::Slow(first, 1.0),
        1 => Fault::Slow(1.0, gap),
        _ => Fault::Slow(first, gap),
    }
}
