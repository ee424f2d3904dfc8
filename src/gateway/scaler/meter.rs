use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Time over which the demand is averaged.
const AVERAGED: Millis = Millis(4_000);

/// Speed of an endpoint before any was seen, in prompt tokens a millisecond.
const FIRST_SPEED: f64 = 40.0;

/// Part of the observed speeds that lie below the one that counts as an endpoint's own: most
/// observations hold time that a request waited behind others, or read more than its own part.
const SPEED_QUANTILE: f64 = 0.9;

/// Part of the speed by which one observation moves it.
const SPEED_STEP: f64 = 0.03;

/// Prompt tokens below which the time to the first event tells little about the speed.
const LEAST_TOKENS: u64 = 2_000;

/// Time to a first event beside the reading: the way there and back, and the first steps.
const OVERHEAD: Millis = Millis(15);

/// Demand, in endpoints, below which there are no requests to speak of.
const SOME_DEMAND: f64 = 0.05;

/// Busy endpoints below which a service counts as unused.
const UNUSED: f64 = 0.001;

/// What requests ask of the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Endpoints that would read prompts all the time.
    pub busy: f64,
    /// Requests at endpoints.
    pub running: u32,
}

impl Demand {
    /// Returns whether there are no requests to speak of.
    #[must_use]
    pub fn is_none(&self) -> bool {
        self.busy <= SOME_DEMAND
    }

    /// Returns the sum of the demand that several nodes see.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            busy: self.busy + other.busy,
            running: self.running + other.running,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    /// Time in ms for which endpoints read prompts, averaged.
    busy: f64,
    updated: Millis,
    /// Prompt tokens that an endpoint reads in a millisecond when nothing waits.
    speed: f64,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            busy: 0.0,
            updated: Millis::ZERO,
            speed: FIRST_SPEED,
        }
    }
}

impl Rate {
    fn add(&mut self, busy: f64, now: Millis) {
        self.busy = self.busy * left(now - self.updated) + busy;
        self.updated = now;
    }

    fn observe(&mut self, seen: f64) {
        let pull = if seen > self.speed {
            SPEED_QUANTILE
        } else {
            SPEED_QUANTILE - 1.0
        };
        self.speed *= 1.0 + SPEED_STEP * pull;
    }
}

/// Measures what the requests of this node ask of each service.
#[derive(Debug, Default)]
pub struct Meter {
    rates: HashMap<Arc<str>, Rate>,
}

impl Meter {
    /// Notes a request whose first event came after `took`.
    ///
    /// The endpoint read at least the request's own part of the prompt, `own` tokens, and at most what
    /// this node believes that it did not keep, `uncached` tokens. In between, the time taken tells.
    pub fn record_first_event(
        &mut self,
        service: &Arc<str>,
        own: u64,
        uncached: u64,
        took: Millis,
        now: Millis,
    ) {
        let rate = self.rates.entry(Arc::clone(service)).or_default();
        let reading = took.as_f64() - OVERHEAD.as_f64();
        if own >= LEAST_TOKENS {
            rate.observe(own as f64 / reading.max(1.0));
        }
        let least = own as f64 / rate.speed;
        let most = uncached.max(own) as f64 / rate.speed;
        rate.add(reading.clamp(least, most), now);
    }

    /// Notes a request with so many prompt tokens to read that got no event.
    pub fn record_unanswered(&mut self, service: &Arc<str>, own: u64, now: Millis) {
        let rate = self.rates.entry(Arc::clone(service)).or_default();
        rate.add(own as f64 / rate.speed, now);
    }

    /// Returns the prompt tokens that an endpoint of a service reads in a millisecond when nothing
    /// waits.
    #[must_use]
    pub fn prefill_speed(&self, service: &str) -> f64 {
        self.rates
            .get(service)
            .map_or(FIRST_SPEED, |rate| rate.speed)
    }

    /// Returns the endpoints of each service that would read prompts all the time.
    #[must_use]
    pub fn busy_endpoints(&self, now: Millis) -> Vec<(Arc<str>, f64)> {
        let busy = self.rates.iter().map(|(service, rate)| {
            let busy = rate.busy * left(now - rate.updated) / AVERAGED.as_f64();
            (Arc::clone(service), busy)
        });
        busy.filter(|(_, busy)| *busy > UNUSED).collect()
    }
}

/// Returns the part of an average that is left after some time.
fn left(passed: Millis) -> f64 {
    (-passed.as_f64() / AVERAGED.as_f64()).exp()
}
