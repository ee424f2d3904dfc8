use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::Millis;

use super::super::{Arm, Outcome, Thresholds};
use super::{Disturbance, Fault, Scenario};

/// Number of nodes.
pub(super) const NODES: usize = 8;

/// Endpoints per version.
pub(super) const ENDPOINTS: usize = 5;

/// Share of the requests on each route.
const ROUTE_SHARES: [f64; 4] = [0.45, 0.30, 0.15, 0.10];

/// Median time to the first token in milliseconds on each route.
const FIRST_MS: [f64; 4] = [150.0, 400.0, 250.0, 120.0];

/// Median inter-token time in microseconds.
const GAP_US: f64 = 30_000.0;

/// Standard deviations of the logarithms of the time to the first token and of the inter-token
/// time.
const LOG_STD_DEVS: (f64, f64) = (0.35, 0.12);

/// As [`LOG_STD_DEVS`], for [`Fault::Noisy`].
const NOISY_LOG_STD_DEVS: (f64, f64) = (0.6, 0.2);

/// Upper quartile of the standard normal distribution.
const UPPER_QUARTILE: f64 = 0.674;

/// Capacity of the endpoints of one version, relative to the mean request rate.
const CAPACITY_FACTOR: f64 = 1.6;

/// Time until the platform reports the loss of a host, during which requests to it fail.
const LOSS_REPORT_LAG: Millis = Millis(1_500);

/// Time after which lost hosts are replaced.
const REPLACEMENT_TIME: Millis = Millis(8_000);

/// Hosts of each version that are lost in a reclaim wave.
const LOST_HOSTS: usize = 2;

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) node: usize,
    pub(super) route: usize,
    /// Uniform random number in [0, 1) that selects the version.
    pub(super) draw: f64,
}

/// Response to a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Response {
    pub(super) outcome: Outcome,
    /// Time until the outcome is known.
    pub(super) after: Millis,
    /// Id of the endpoint's host.
    pub(super) host: u64,
    /// Whether the request was exposed to the fault of the version.
    pub(super) exposed: bool,
}

/// Generates the requests of a scenario and their outcomes.
pub(super) struct Environment {
    scenario: Scenario,
    rng: SmallRng,
    noisy: bool,
    /// Phase of the request rate at the start.
    phase: f64,
}

impl Environment {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let mut rng = SmallRng::seed_from_u64(scenario.seed ^ 0x5eed);
        Self {
            scenario: *scenario,
            phase: rng.random_range(0.0..std::f64::consts::TAU),
            rng,
            noisy: scenario.fault == Fault::Noisy,
        }
    }

    /// Returns the thresholds above which a response on a route counts as slow.
    pub(super) fn thresholds(&self, route: usize) -> Thresholds {
        let (first, gap) = self.spread();
        Thresholds {
            first_ms: Millis((FIRST_MS[route] * (UPPER_QUARTILE * first).exp()) as u64),
            gap_us: (GAP_US * (UPPER_QUARTILE * gap).exp()) as u64,
        }
    }

    /// Returns the requests that arrive during the tick at `now`; their number is Poisson
    /// distributed.
    pub(super) fn arrivals(&mut self, now: Millis, tick: Millis) -> Vec<Request> {
        let mean = self.rate(now) * tick.as_f64() / 1_000.0;
        let (mut count, mut left) = (0, self.rng.random::<f64>());
        let mut probability = (-mean).exp();
        while left > probability && count < 1_000 {
            left -= probability;
            count += 1;
            probability *= mean / f64::from(count);
        }
        (0..count).map(|_| self.request()).collect()
    }

    /// Returns a random response to a request to `arm`, which gets `share` of the traffic on
    /// `in_use` endpoints.
    pub(super) fn send(
        &mut self,
        request: Request,
        arm: Arm,
        (share, in_use): (f64, usize),
        now: Millis,
    ) -> Response {
        let endpoint = self.rng.random_range(0..in_use.max(1));
        let host = endpoint as u64 + if arm == Arm::New { 100 } else { 0 };
        let since = self.time_since_reclaim(now);
        if endpoint < LOST_HOSTS && since.is_some_and(|since| since < LOSS_REPORT_LAG) {
            return Response {
                outcome: Outcome::Unreachable,
                after: Millis(20),
                host,
                exposed: false,
            };
        }
        let capacity = CAPACITY_FACTOR * self.scenario.rate / ENDPOINTS as f64;
        let load = share * self.rate(now) / in_use.max(1) as f64 / capacity;
        let (failure_probability, exposed) =
            self.failure_probability(request.route, arm, load, now);
        let (outcome, after) = if self.rng.random_bool(failure_probability) {
            (Outcome::Failed, Millis(200))
        } else {
            self.answered(request.route, arm, since.is_some())
        };
        Response {
            outcome,
            after,
            host,
            exposed,
        }
    }

    /// Returns the hosts whose loss the platform reports during the tick at `now`.
    pub(super) fn reported_losses(&self, now: Millis, tick: Millis) -> Vec<u64> {
        let Disturbance::Reclaims(at) = self.scenario.disturbance else {
            return Vec::new();
        };
        let at = at + LOSS_REPORT_LAG;
        if now < at || now >= at + tick {
            return Vec::new();
        }
        (0..LOST_HOSTS as u64)
            .flat_map(|host| [host, host + 100])
            .collect()
    }

    /// Returns whether the log is available.
    pub(super) fn log_available(&self, now: Millis) -> bool {
        match self.scenario.disturbance {
            Disturbance::LogOutage(from, to) => now < from || now >= to,
            _ => true,
        }
    }

    /// Returns a uniform random number in [0, 1).
    pub(super) fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    fn request(&mut self) -> Request {
        let mut left: f64 = self.rng.random();
        let route = ROUTE_SHARES.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        Request {
            node: self.rng.random_range(0..NODES),
            route: route.unwrap_or(0),
            draw: self.rng.random(),
        }
    }

    /// Returns the current request rate per second, which varies by a third around its mean with a
    /// period of 5 minutes.
    fn rate(&self, now: Millis) -> f64 {
        let angle = now.as_f64() / 300_000.0 * std::f64::consts::TAU + self.phase;
        self.scenario.rate * (1.0 + 0.33 * angle.sin())
    }

    /// Returns the time since the reclaim wave, until the lost hosts are replaced.
    fn time_since_reclaim(&self, now: Millis) -> Option<Millis> {
        match self.scenario.disturbance {
            Disturbance::Reclaims(at) if now >= at && now < at + REPLACEMENT_TIME => Some(now - at),
            _ => None,
        }
    }

    fn spread(&self) -> (f64, f64) {
        if self.noisy {
            NOISY_LOG_STD_DEVS
        } else {
            LOG_STD_DEVS
        }
    }

    /// Returns the probability of a failure and whether the request is exposed to the version's
    /// fault.
    fn failure_probability(&self, route: usize, arm: Arm, load: f64, now: Millis) -> (f64, bool) {
        // A burst of failures for 10 s in every 100 s affects both versions.
        let burst = self.noisy && now.0 % 100_000 < 10_000;
        let base = match (self.noisy, burst) {
            (true, true) => 0.15,
            (true, false) => 0.02,
            _ => 0.004,
        };
        if arm == Arm::Old {
            return (base, false);
        }
        let fault = match self.scenario.fault {
            Fault::AtOnce(share) => share,
            Fault::Later(share, at) if now >= at => share,
            Fault::UnderLoad(share) if load > 0.45 => share,
            Fault::OneRoute(share, faulty) if faulty == route => share,
            Fault::Slow(..) => return (base, true),
            _ => return (base, false),
        };
        (fault, true)
    }

    /// Returns the outcome of a successful request and the time until its response has ended.
    fn answered(&mut self, route: usize, arm: Arm, overloaded: bool) -> (Outcome, Millis) {
        let (slow_first, slow_gap) = match (arm, self.scenario.fault) {
            (Arm::New, Fault::Slow(first, gap)) => (first, gap),
            (Arm::New, Fault::Noisy) => (1.1, 1.02),
            _ => (1.0, 1.0),
        };
        // The remaining hosts after a reclaim are overloaded, those of the new version even more.
        let overload = match (overloaded, arm) {
            (true, Arm::New) => 1.8,
            (true, Arm::Old) => 1.4,
            _ => 1.0,
        };
        let (first_spread, gap_spread) = self.spread();
        let first = FIRST_MS[route] * slow_first * overload * (first_spread * self.normal()).exp();
        let gap = GAP_US * slow_gap * overload * (gap_spread * self.normal()).exp();
        let outcome = Outcome::Answered {
            first: Millis(first as u64),
            gap_us: gap as u64,
        };
        // The response has 30 tokens.
        (outcome, Millis((first + gap * 30.0 / 1_000.0) as u64))
    }

    /// Returns a random number with a standard normal distribution, by the Box-Muller transform.
    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.rng.random::<f64>()).cos()
    }
}
