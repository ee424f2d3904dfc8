use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Time constant of the exponential average of the demand.
const DECAY_TIME: Millis = Millis(4_000);

/// Assumed prefill speed before the first observation, in prompt tokens per millisecond.
const INITIAL_PREFILL_SPEED: f64 = 40.0;

/// Quantile of the observed speeds that counts as the prefill speed of an endpoint. It is high
/// because most observations are too slow: they include queueing, or the prefill of more than the
/// unique segment.
const SPEED_QUANTILE: f64 = 0.9;

/// Step of the quantile estimate, as a share of the speed.
const SPEED_STEP: f64 = 0.03;

/// Unique prompt tokens below which the time to the first event says little about the prefill
/// speed.
const MIN_SAMPLE_TOKENS: u64 = 2_000;

/// Time to a first event besides the prefill: the network round trip and the first decoding steps.
const FIRST_EVENT_OVERHEAD: Millis = Millis(15);

/// Busy endpoints up to which the demand of a service counts as none.
const MIN_DEMAND: f64 = 0.05;

/// Busy endpoints up to which a service is left out as unused.
const MIN_BUSY: f64 = 0.001;

/// The demand for the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Prefill work, as a number of fully busy endpoints.
    pub busy: f64,
    /// Requests in flight at endpoints.
    pub running: u32,
}

impl Demand {
    /// Returns whether the demand is negligible.
    #[must_use]
    pub fn is_none(&self) -> bool {
        self.busy <= MIN_DEMAND
    }

    /// Adds the demand that another node measured.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            busy: self.busy + other.busy,
            running: self.running + other.running,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ServiceLoad {
    /// Sum of the prefill times, decayed exponentially.
    prefill_ms: f64,
    updated: Millis,
    /// Prefill speed of an idle endpoint, in prompt tokens per millisecond.
    speed: f64,
}

impl Default for ServiceLoad {
    fn default() -> Self {
        Self {
            prefill_ms: 0.0,
            updated: Millis::ZERO,
            speed: INITIAL_PREFILL_SPEED,
        }
    }
}

impl ServiceLoad {
    fn add(&mut self, prefill_ms: f64, now: Millis) {
        self.prefill_ms = self.prefill_ms * decay(now - self.updated) + prefill_ms;
        self.updated = now;
    }

    fn observe_speed(&mut self, seen: f64) {
        let pull = if seen > self.speed {
            SPEED_QUANTILE
        } else {
            SPEED_QUANTILE - 1.0
        };
        self.speed *= 1.0 + SPEED_STEP * pull;
    }
}

/// Measures the demand of this node's requests for each service.
#[derive(Debug, Default)]
pub struct Meter {
    loads: HashMap<Arc<str>, ServiceLoad>,
}

impl Meter {
    /// Records a request whose first event arrived after `elapsed`.
    ///
    /// The endpoint prefilled at least the unique segment of the prompt (`unique_tokens`) and at
    /// most what this node estimates to be uncached (`uncached_tokens`). Within these bounds, the
    /// measured time counts.
    pub fn record_first_event(
        &mut self,
        service: &Arc<str>,
        unique_tokens: u64,
        uncached_tokens: u64,
        elapsed: Millis,
        now: Millis,
    ) {
        let load = self.loads.entry(Arc::clone(service)).or_default();
        let prefill_ms = elapsed.as_f64() - FIRST_EVENT_OVERHEAD.as_f64();
        if unique_tokens >= MIN_SAMPLE_TOKENS {
            load.observe_speed(unique_tokens as f64 / prefill_ms.max(1.0));
        }
        let least = unique_tokens as f64 / load.speed;
        let most = uncached_tokens.max(unique_tokens) as f64 / load.speed;
        load.add(prefill_ms.clamp(least, most), now);
    }

    /// Records a request with this many prompt tokens to prefill that got no event.
    pub fn record_unanswered(&mut self, service: &Arc<str>, prefill_tokens: u64, now: Millis) {
        let load = self.loads.entry(Arc::clone(service)).or_default();
        load.add(prefill_tokens as f64 / load.speed, now);
    }

    /// Returns the prefill speed of an idle endpoint of a service, in prompt tokens per
    /// millisecond.
    #[must_use]
    pub fn prefill_speed(&self, service: &str) -> f64 {
        self.loads
            .get(service)
            .map_or(INITIAL_PREFILL_SPEED, |load| load.speed)
    }

    /// Returns the prefill work for each service, as a number of fully busy endpoints.
    #[must_use]
    pub fn busy_endpoints(&self, now: Millis) -> Vec<(Arc<str>, f64)> {
        let busy = self.loads.iter().map(|(service, load)| {
            let busy = load.prefill_ms * decay(now - load.updated) / DECAY_TIME.as_f64();
            (Arc::clone(service), busy)
        });
        busy.filter(|(_, busy)| *busy > MIN_BUSY).collect()
    }
}

/// Returns the share of a decaying value that is left after some time.
fn decay(passed: Millis) -> f64 {
    (-passed.as_f64() / DECAY_TIME.as_f64()).exp()
}
