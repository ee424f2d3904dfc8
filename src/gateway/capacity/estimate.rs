//! Load answered: callers whose targets are missed when one endpoint has too many requests.

use super::{Conditions, Profile, Targets};

/// What a caller gets at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Expected time to the first event of a stream, or to a whole plain response, in milliseconds.
    pub first_event_ms: f64,
    /// Expected longest pause between two events of a stream, in milliseconds; 0 for plain responses.
    pub gap_ms: f64,
}

impl Estimate {
    /// Estimates a stream.
    #[must_use]
    pub fn of_stream(profile: &Profile, met: Conditions) -> Self {
        Self {
            first_event_ms: profile.first_event_ms(met),
            gap_ms: profile.longest_pause_ms(met),
        }
    }

    /// Estimates a plain response of an endpoint with `slots`.
    #[must_use]
    pub fn of_response(profile: &Profile, met: Conditions, slots: u32) -> Self {
        Self {
            first_event_ms: profile.response_ms(met, slots),
            gap_ms: 0.0,
        }
    }

    /// Returns the time that callers are expected to lose by missed targets, in milliseconds: each is
    /// weighted by the latency target.
    #[must_use]
    pub fn loss_ms(&self, targets: Targets) -> f64 {
        let risk = targets.latency_risk(self.first_event_ms) + targets.gap_risk(self.gap_ms);
        risk * targets.latency.as_f64()
    }

    /// Returns how many streams an endpoint can run, up to `slots`, while all of them keep their
    /// targets; `met` holds the tokens of one of them and the endpoint's scale.
    #[must_use]
    pub fn room(profile: &Profile, met: Conditions, targets: Targets, slots: u32) -> u32 {
        let alone = Conditions {
            outstanding: 0.0,
            ..met
        };
        let first = Self::of_stream(profile, alone);
        let (first_delay, pause_delay) = profile.request_delays_ms();
        let by_latency = more(
            targets.latency.as_f64() - first.first_event_ms,
            first_delay * met.scale,
        );
        let by_gap = targets.gap.map_or(f64::INFINITY, |gap| {
            more(gap.as_f64() - first.gap_ms, pause_delay * met.scale)
        });
        by_latency.min(by_gap).min(f64::from(slots)) as u32
    }
}

/// Returns how many requests of this delay fit into the time that is left.
fn more(left_ms: f64, delay_ms: f64) -> f64 {
    if left_ms < 0.0 {
        return 0.0;
    }
    if delay_ms <= 0.0 {
        return f64::INFINITY;
    }
    left_ms / delay_ms
}
