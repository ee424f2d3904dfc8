use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::gateway::capacity::{Conditions, Profile};

/// Time constant of the exponential average of the demand.
const DECAY_TIME: Millis = Millis(4_000);

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

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLoad {
    /// Sum of the prefill times, decayed exponentially.
    prefill_ms: f64,
    updated: Millis,
}

impl ServiceLoad {
    fn add(&mut self, prefill_ms: f64, now: Millis) {
        self.prefill_ms = self.prefill_ms * decay(now - self.updated) + prefill_ms;
        self.updated = now;
    }
}

/// The prefill of a prompt, as far as it is known when the first event arrives.
#[derive(Clone, Copy, Debug)]
pub struct Prefill {
    /// Prompt tokens that no other request shares, which were prefilled in any case.
    pub unique_tokens: u64,
    /// Prompt tokens that the endpoint had to prefill at most.
    pub uncached_tokens: u64,
    /// What the request met at the endpoint.
    pub met: Conditions,
    /// Time to the first event.
    pub elapsed: Millis,
}

impl Prefill {
    /// Returns the time that the prefill takes at an endpoint of usual speed, in milliseconds.
    ///
    /// Within the bounds by tokens, the measured time counts, without the delay of a first event that
    /// no work causes, and without the prompts ahead.
    fn at_usual_speed_ms(&self, profile: &Profile) -> f64 {
        let scale = self.met.scale.max(f64::MIN_POSITIVE);
        let ahead = self.met.tokens.saturating_sub(self.uncached_tokens);
        let own_ms = (self.elapsed.as_f64() - profile.idle_delay_ms()) / scale;
        let least = profile.prefill_ms(self.unique_tokens);
        let most = profile.prefill_ms(self.uncached_tokens.max(self.unique_tokens));
        (own_ms - profile.prefill_ms(ahead)).clamp(least, most)
    }
}

/// Measures the demand of this node's requests for each service.
#[derive(Debug, Default)]
pub struct Meter {
    loads: HashMap<Arc<str>, ServiceLoad>,
}

impl Meter {
    /// Records a request whose first event arrived.
    pub fn record_first_event(
        &mut self,
        service: &Arc<str>,
        profile: &Profile,
        prefill: Prefill,
        now: Millis,
    ) {
        let load = self.loads.entry(Arc::clone(service)).or_default();
        load.add(prefill.at_usual_speed_ms(profile), now);
    }

    /// Records a request with this many prompt tokens to prefill that got no event.
    pub fn record_unanswered(
        &mut self,
        service: &Arc<str>,
        profile: &Profile,
        prefill_tokens: u64,
        now: Millis,
    ) {
        let load = self.loads.entry(Arc::clone(service)).or_default();
        load.add(profile.prefill_ms(prefill_tokens), now);
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
