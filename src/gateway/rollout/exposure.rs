/// Share of the limits that is used. The rest is left for requests that are sent again and for
/// nodes that start during the rollout.
const USED_SHARE: f64 = 0.8;

/// Share of the requests that a version on trial gets at most, relative to the limit, while slack
/// is left. The same share of its endpoints serves them.
const MAX_DRAW: f64 = 2.5;

/// Limits on the requests that may reach a version before it has proved itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of the service's requests during the rollout, 0 to 1.
    pub share: f64,
    /// Number of requests in addition to that share, of all nodes together.
    pub slack: f64,
}

impl ExposureLimit {
    /// Returns the largest share of a service's requests that a version on trial gets at a time.
    #[must_use]
    pub fn max_draw(&self) -> f64 {
        (self.share * MAX_DRAW).min(1.0)
    }
}

/// The requests that one node has sent to a service during a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    requests: u32,
    exposed: u32,
    /// This node's part of the slack, in requests.
    slack: f64,
}

impl Exposure {
    /// Creates the counters of a node that may use this part of the slack.
    #[must_use]
    pub fn new(slack: f64) -> Self {
        Self {
            slack,
            ..Self::default()
        }
    }

    /// Counts a request, and whether it was sent to the version on trial.
    pub fn record(&mut self, exposed: bool) {
        self.requests = self.requests.saturating_add(1);
        self.exposed = self.exposed.saturating_add(u32::from(exposed));
    }

    /// Returns whether the next request may be sent to the version on trial; `draw` is uniform in
    /// [0, 1).
    #[must_use]
    pub fn admits(&self, limit: &ExposureLimit, draw: f64) -> bool {
        let allowed = USED_SHARE * (limit.share * f64::from(self.requests) + self.slack);
        draw < limit.max_draw() && f64::from(self.exposed) + 1.0 <= allowed
    }
}
