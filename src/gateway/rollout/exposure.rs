use crate::clock::Millis;

use super::{Phase, Sample, Schedule};

/// Share of the requests that a version gets at most before it is under load, relative to the limit,
/// while slack is left.
const MAX_EARLY_DRAW: f64 = 2.5;

/// As [`MAX_EARLY_DRAW`], after it was under load.
const WATCH_DRAW: f64 = 0.2;

/// Limits on the requests that may reach a version before it has proved itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of the service's requests during the rollout, 0 to 1.
    pub share: f64,
    /// Number of requests in addition to that share, of all nodes together.
    pub slack: f64,
}

/// A part of the limit.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Part of the share.
    share: f64,
    /// Part of the slack.
    slack: f64,
}

impl Part {
    /// Returns the part at this progress, 0 to 1, from one part to another.
    fn between(from: Self, to: Self, progress: f64) -> Self {
        Self {
            share: from.share + (to.share - from.share) * progress,
            slack: from.slack + (to.slack - from.slack) * progress,
        }
    }
}

/// What a version may have got before it is under load. The rest of the share is left for the load, the
/// switch and requests that are sent again.
const EARLY: Part = Part {
    share: 0.13,
    slack: 0.4,
};

/// Part of the requests expected until the deadline that counts from the order on, so that a version which
/// is bad from the start, or does not respond at all, is found soon.
const EXPECTED_AT_ONCE: f64 = 0.5;

/// Least time from which the rate of requests is known.
const MIN_OBSERVED: Millis = Millis(1_000);

/// What it may have got after it was under load. It grows until the switch from [`EARLY`] to this, so that
/// few requests, which are within the slack, go on to show how the version is.
const WATCHED: Part = Part {
    share: 0.3,
    slack: 0.95,
};

/// What it may have got before the switch.
const LOADED: Part = Part {
    share: 0.65,
    slack: 0.95,
};

/// The requests that one node has sent to a service during a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    requests: u32,
    exposed: u32,
    /// This node's part of the slack, in requests.
    slack: f64,
    /// Part of a request, 0 to 1, that has to be allowed before one is sent. With different parts, many
    /// nodes with few requests each use what they are allowed together.
    rounding: f64,
    /// Wall time from which on this node sends the requests of general use.
    loaded_since: Option<Millis>,
}

impl Exposure {
    /// Creates the counters of a node that may use this part of the slack.
    #[must_use]
    pub fn new(slack: f64, rounding: f64) -> Self {
        Self {
            slack,
            rounding,
            ..Self::default()
        }
    }

    /// Counts a request, and whether it was sent to the version on trial.
    pub fn record(&mut self, exposed: bool) {
        self.requests = self.requests.saturating_add(1);
        self.exposed = self.exposed.saturating_add(u32::from(exposed));
    }

    /// Returns whether the next request may be sent to a sample of the version on trial; `draw` is uniform
    /// in [0, 1).
    pub fn admits(
        &mut self,
        limit: &ExposureLimit,
        schedule: &Schedule,
        sample: &Sample,
        draw: f64,
        wall: Millis,
    ) -> bool {
        if sample.endpoints == 0 {
            return false;
        }
        if schedule.phase(wall) == Phase::Early {
            let early_draw = (limit.share * MAX_EARLY_DRAW).min(sample.early_share);
            let requests = f64::from(self.requests);
            let expected = requests + EXPECTED_AT_ONCE * self.expected_later(schedule, wall);
            return draw < early_draw && self.is_within(limit, EARLY, expected);
        }
        self.admits_from_load_on(limit, schedule, sample, draw, wall)
    }

    /// As [`Exposure::admits`], from the time on at which the version is put under load.
    fn admits_from_load_on(
        &mut self,
        limit: &ExposureLimit,
        schedule: &Schedule,
        sample: &Sample,
        draw: f64,
        wall: Millis,
    ) -> bool {
        let is_within = |part| self.is_within(limit, part, f64::from(self.requests));
        let loaded_since = self.loaded_since.unwrap_or(wall);
        let admits = if wall < loaded_since + schedule.load_time() {
            draw < sample.load_share && is_within(LOADED)
        } else {
            let watched = Part::between(EARLY, WATCHED, schedule.load_progress(wall));
            let is_watched = draw < limit.share * WATCH_DRAW && is_within(LOADED);
            is_watched || (draw < sample.load_share && is_within(watched))
        };
        self.loaded_since = Some(loaded_since);
        admits
    }

    /// Returns the requests to expect from now to the deadline.
    fn expected_later(&self, schedule: &Schedule, wall: Millis) -> f64 {
        let passed = (wall - schedule.started()).max(MIN_OBSERVED);
        let left = schedule.deadline() - wall;
        f64::from(self.requests) * left.as_f64() / passed.as_f64()
    }

    /// Returns whether one more request is within a part of the limit for this many requests.
    fn is_within(&self, limit: &ExposureLimit, part: Part, requests: f64) -> bool {
        let of_share = part.share * limit.share * requests;
        let allowed = of_share + part.slack * self.slack;
        f64::from(self.exposed) + self.rounding <= allowed
    }
}
