//! What the responses of endpoints say of their capacity.

use std::sync::Arc;

use crate::clock::Millis;

use super::Load;
use super::capacity::{Conditions, Delay, Pauses, Sample};
use super::endpoint::Key;
use super::state::State;

/// Contention, relative to the usual one, up to which a response says how fast an endpoint itself is.
const MAX_CONTENTION: f64 = 1.1;

impl State {
    /// Records the load that an endpoint reported.
    pub(super) fn record_load(&mut self, key: Key, load: Load, now: Millis) {
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        endpoint.record_load(load, now);
        let service = Arc::clone(&endpoint.registration.service);
        let profile = self.fleet.profiles.get_mut(&service);
        if let Some(contention) = load.contention() {
            profile.record_contention(contention);
        }
        if !self.fleet.inflight_announced {
            profile.record_outstanding(load.requests());
        }
    }

    /// Records the time to the first event of a stream.
    pub(super) fn record_first_event(
        &mut self,
        key: Key,
        met: Conditions,
        elapsed: Millis,
        now: Millis,
    ) {
        let Some(endpoint) = self.fleet.get(key) else {
            return;
        };
        let hash = Sample::hash(&endpoint.registration.identity);
        let service = Arc::clone(&endpoint.registration.service);
        let profile = self.fleet.profiles.get_mut(&service);
        let delay_ms = elapsed.as_f64() - profile.first_event_ms(met.without_backlog());
        profile.record_first_event(met, elapsed);
        if let Some(endpoint) = self.fleet.get_mut(key) {
            endpoint.backlog.record(delay_ms, now);
        }
        self.speeds.record_delay(Delay::new(hash, delay_ms));
    }

    /// Records the pauses of a stream that has ended.
    pub(super) fn record_pauses(&mut self, key: Key, met: Conditions, pauses: Pauses) {
        let Some(endpoint) = self.fleet.get(key) else {
            return;
        };
        let (Some(usual_ms), Some(longest_ms)) = (pauses.usual_ms(), pauses.longest_ms()) else {
            return;
        };
        let service = Arc::clone(&endpoint.registration.service);
        let profile = self.fleet.profiles.get_mut(&service);
        let expected_ms = profile.usual_pause_ms(met.at_usual_speed());
        profile.record_pauses(met, usual_ms, longest_ms);
        self.record_ratio(key, usual_ms / expected_ms);
    }

    /// Records the time of a plain request, from sending it to its whole response.
    pub(super) fn record_service_time(&mut self, key: Key, met: Conditions, elapsed: Millis) {
        let Some(endpoint) = self.fleet.get(key) else {
            return;
        };
        let slots = endpoint.registration.slots;
        if met.outstanding >= f64::from(slots) {
            return;
        }
        let service = Arc::clone(&endpoint.registration.service);
        let profile = self.fleet.profiles.get_mut(&service);
        let expected_ms = profile.response_ms(met.at_usual_speed(), slots);
        profile.record_service_time(met, elapsed);
        self.record_ratio(key, elapsed.as_f64() / expected_ms);
    }

    /// Records that work on an endpoint took `ratio` times as long as usual, unless its host was
    /// contended.
    fn record_ratio(&mut self, key: Key, ratio: f64) {
        let Some(endpoint) = self.fleet.get(key) else {
            return;
        };
        let profile = self.fleet.profiles.get(&endpoint.registration.service);
        let contended = endpoint
            .reported_contention()
            .is_some_and(|factor| factor > profile.usual_contention() * MAX_CONTENTION);
        if contended || !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        endpoint.slowness.record(ratio);
        let sample = Sample::new(&endpoint.registration.identity, ratio);
        self.speeds.record(sample);
    }

    /// Adopts delays that the nodes have measured together.
    pub(super) fn adopt_delays(&mut self, delays: &[Delay], now: Millis) {
        if delays.is_empty() {
            return;
        }
        for (_, endpoint) in self.fleet.iter_mut() {
            let hash = Sample::hash(&endpoint.registration.identity);
            if let Some(delay) = delays.iter().find(|delay| delay.endpoint == hash) {
                endpoint.backlog.adopt(delay.as_ms(), now);
            }
        }
    }

    /// Applies the speeds on which the nodes agree.
    pub(super) fn apply_speeds(&mut self) {
        for (_, endpoint) in self.fleet.iter_mut() {
            let hash = Sample::hash(&endpoint.registration.identity);
            if let Some(slowness) = self.speeds.agreed(hash) {
                endpoint.slowness.record_shared(slowness);
            }
        }
    }
}
