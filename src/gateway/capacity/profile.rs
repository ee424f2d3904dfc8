//! Load answered: engines of any speed, and a mix of prompts and streams that changes.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::{Conditions, Regression};

/// Prompt tokens in the unit of the regression.
const TOKENS_PER_UNIT: f64 = 1_000.0;

/// Expected times before any response: of a first event, by constant, unit of tokens and outstanding
/// request, in milliseconds.
const INITIAL_FIRST_EVENT: [f64; 3] = [15.0, 25.0, 1.5];

/// As [`INITIAL_FIRST_EVENT`], of the pauses of a stream, by constant and outstanding request.
const INITIAL_PAUSE: [f64; 2] = [30.0, 1.0];

/// Expected time of a plain request before any response, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 30.0;

/// Weight of a new observation in the moving averages.
const SMOOTHING: f64 = 0.05;

/// Multiple of the expected time beyond which an outcome counts no more: it says more of a fault than
/// of the endpoint's capacity.
const MAX_RATIO: f64 = 4.0;

/// Time up to which an outcome always counts, in milliseconds.
const MIN_CUT_MS: f64 = 40.0;

/// What a starting node needs to know of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Coefficients {
    first_event: [f32; 3],
    usual_pause: [f32; 2],
    longest_pause: [f32; 2],
    service_ms: f32,
}

/// What the endpoints of a service have in common.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    first_event: Regression<3>,
    usual_pause: Regression<2>,
    longest_pause: Regression<2>,
    service_ms: f64,
    contention: f64,
    outstanding: f64,
    observations: u64,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            first_event: Regression::new(INITIAL_FIRST_EVENT, [1.0, 4.0, 25.0]),
            usual_pause: Regression::new(INITIAL_PAUSE, [1.0, 25.0]),
            longest_pause: Regression::new(INITIAL_PAUSE, [1.0, 25.0]),
            service_ms: INITIAL_SERVICE_MS,
            contention: 1.0,
            outstanding: 0.0,
            observations: 0,
        }
    }
}

/// Observations.
impl Profile {
    /// Records the time to the first event of a stream. A backlog of unknown requests says nothing of
    /// what the known ones cost.
    pub fn record_first_event(&mut self, met: Conditions, elapsed: Millis) {
        self.observations += 1;
        if met.backlog_ms > 0.0 {
            return;
        }
        let inputs = first_event_inputs(met);
        let outcome = cut(elapsed.as_f64(), self.first_event.predict(inputs));
        self.first_event.record(inputs, outcome);
    }

    /// Records the pauses of a stream: the usual one, and the longest one.
    pub fn record_pauses(&mut self, met: Conditions, usual_ms: f64, longest_ms: f64) {
        let inputs = pause_inputs(met);
        let usual = cut(usual_ms, self.usual_pause.predict(inputs));
        self.usual_pause.record(inputs, usual);
        let longest = cut(longest_ms, self.longest_pause.predict(inputs));
        self.longest_pause.record(inputs, longest);
    }

    /// Records the time of a plain request that found a free slot.
    pub fn record_service_time(&mut self, met: Conditions, elapsed: Millis) {
        let seen = cut(elapsed.as_f64() / met.scale, self.service_ms);
        self.service_ms += SMOOTHING * (seen - self.service_ms);
        self.observations += 1;
    }

    /// Records the requests that an endpoint reported.
    pub fn record_outstanding(&mut self, outstanding: u32) {
        self.outstanding += SMOOTHING * (f64::from(outstanding) - self.outstanding);
    }

    /// Records the contention that an endpoint reported.
    pub fn record_contention(&mut self, factor: f64) {
        self.contention += SMOOTHING * (factor - self.contention);
    }

    /// Takes over what another node knows, as far as this one has not seen it otherwise.
    pub fn adopt(&mut self, known: Coefficients) {
        self.first_event.set_prior(known.first_event.map(f64::from));
        self.usual_pause.set_prior(known.usual_pause.map(f64::from));
        self.longest_pause
            .set_prior(known.longest_pause.map(f64::from));
        if self.observations == 0 {
            self.service_ms = f64::from(known.service_ms);
        }
    }
}

/// Expectations.
impl Profile {
    /// Returns what a starting node needs to know; `None` without any observation.
    #[must_use]
    pub fn coefficients(&self) -> Option<Coefficients> {
        let narrow = |value: f64| value as f32;
        (self.observations > 0).then(|| Coefficients {
            first_event: self.first_event.coefficients().map(narrow),
            usual_pause: self.usual_pause.coefficients().map(narrow),
            longest_pause: self.longest_pause.coefficients().map(narrow),
            service_ms: narrow(self.service_ms),
        })
    }

    /// Returns the contention that hosts usually have.
    #[must_use]
    pub fn usual_contention(&self) -> f64 {
        self.contention
    }

    /// Returns the requests that an endpoint usually has.
    #[must_use]
    pub fn usual_outstanding(&self) -> f64 {
        self.outstanding
    }

    /// Returns the expected time to the first event of a stream, in milliseconds.
    #[must_use]
    pub fn first_event_ms(&self, met: Conditions) -> f64 {
        met.backlog_ms + self.first_event.predict(first_event_inputs(met))
    }

    /// Returns the expected time to prefill prompt tokens at an endpoint of usual speed, in
    /// milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        self.first_event.coefficients()[1] * tokens as f64 / TOKENS_PER_UNIT
    }

    /// Returns the expected time to the first event of an empty prompt at an idle endpoint, which no work
    /// of the endpoint causes, in milliseconds.
    #[must_use]
    pub fn idle_delay_ms(&self) -> f64 {
        self.first_event.coefficients()[0]
    }

    /// Returns the expected usual pause between two events of a stream, in milliseconds.
    #[must_use]
    pub fn usual_pause_ms(&self, met: Conditions) -> f64 {
        self.usual_pause.predict(pause_inputs(met))
    }

    /// Returns the expected longest pause of a stream, in milliseconds.
    #[must_use]
    pub fn longest_pause_ms(&self, met: Conditions) -> f64 {
        self.longest_pause.predict(pause_inputs(met))
    }

    /// Returns the expected time of a plain request at an endpoint with `slots`, in milliseconds.
    #[must_use]
    pub fn response_ms(&self, met: Conditions, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let rounds = (met.outstanding - slots + 1.0).max(0.0) / slots;
        self.service_ms * met.scale * (1.0 + rounds)
    }

    /// Returns the delay that one more outstanding request adds to a first event, and to the longest
    /// pause, at an endpoint of usual speed, in milliseconds.
    #[must_use]
    pub fn request_delays_ms(&self) -> (f64, f64) {
        let [_, _, first_event] = self.first_event.coefficients();
        let [_, pause] = self.longest_pause.coefficients();
        (first_event, pause)
    }
}

fn first_event_inputs(met: Conditions) -> [f64; 3] {
    let units = met.tokens as f64 / TOKENS_PER_UNIT;
    [1.0, units * met.scale, met.outstanding * met.scale]
}

fn pause_inputs(met: Conditions) -> [f64; 2] {
    [met.scale, met.outstanding * met.scale]
}

fn cut(seen_ms: f64, expected_ms: f64) -> f64 {
    seen_ms.min((expected_ms * MAX_RATIO).max(MIN_CUT_MS))
}
