//! Load answered: endpoints that fall behind for a second or two, which each node alone learns too late.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Unit in which nodes exchange a delay.
const UNIT: Millis = Millis(20);

/// Time in which a backlog halves, unless responses show otherwise.
const HALF_LIFE: Millis = Millis(600);

/// Weight of a new observation.
const SMOOTHING: f64 = 0.5;

/// Delay below which an endpoint counts as having no backlog. The first event of a prompt whose cached
/// prefix was evicted is late by about as much.
const MIN_DELAY: Millis = Millis(100);

/// The delay of a run of an endpoint, in the few bytes that nodes exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delay {
    /// Hash of the endpoint's identity; see [`Sample::hash`](super::Sample::hash).
    pub endpoint: u32,
    units: u8,
}

impl Delay {
    /// Creates the delay of an endpoint.
    #[must_use]
    pub fn new(endpoint: u32, delay_ms: f64) -> Self {
        let units = (delay_ms / UNIT.as_f64()).round();
        Self {
            endpoint,
            units: units.clamp(0.0, 255.0) as u8,
        }
    }

    /// Returns the delay in milliseconds.
    #[must_use]
    pub fn as_ms(self) -> f64 {
        f64::from(self.units) * UNIT.as_f64()
    }
}

/// How much later than expected first events of an endpoint are at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    delay_ms: f64,
    at: Millis,
}

impl Backlog {
    /// Records that a first event came this much later than expected.
    pub fn record(&mut self, delay_ms: f64, now: Millis) {
        let known = self.decayed_ms(now);
        self.delay_ms = known + SMOOTHING * (delay_ms.max(0.0) - known);
        self.at = now;
    }

    /// Adopts what other nodes have measured together.
    pub fn adopt(&mut self, delay_ms: f64, now: Millis) {
        self.delay_ms = delay_ms;
        self.at = now;
    }

    /// Returns the delay that is expected now, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, now: Millis) -> f64 {
        let delay_ms = self.decayed_ms(now);
        if delay_ms < MIN_DELAY.as_f64() {
            return 0.0;
        }
        delay_ms
    }

    fn decayed_ms(&self, now: Millis) -> f64 {
        let age = (now - self.at).as_f64();
        self.delay_ms * (-age / HALF_LIFE.as_f64()).exp2()
    }
}
