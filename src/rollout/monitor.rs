use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;
use crate::log::Offset;

use super::{
    Arm, Comparison, Detector, MAX_FALSE_TRIP_PROBABILITY, Metric, Outcome, Report, Thresholds,
    Trip,
};

/// Time between two evaluations of the tests.
const EVALUATION_INTERVAL: Millis = Millis(500);

/// Time after which an unreachable request counts as failed unless its host is reported lost; the
/// host list lags by about this much.
const HOST_LOSS_GRACE: Millis = Millis(3_000);

/// Time after a host loss during which slow responses are not evidence, because the remaining hosts
/// are overloaded until replacements have started.
const TIMING_IGNORED_AFTER_LOSS: Millis = Millis(10_000);

/// Maximum number of unreachable requests whose hosts may be lost; beyond this, the oldest counts
/// as failed. Also the maximum number of lost hosts kept.
const MAX_UNREACHABLE: usize = 4_096;

/// Maximum number of peers whose counters are kept.
const MAX_PEERS: usize = 64;

/// A request whose host was unreachable and may be lost.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    at: Millis,
    host: u64,
    route: usize,
    arm: Arm,
}

/// The last counters of another node.
#[derive(Debug)]
struct Peer {
    incarnation: u64,
    counters: Vec<Comparison>,
}

/// One node's evidence about one rollout, and the sequential tests on it.
#[derive(Debug)]
pub struct Monitor {
    rollout: Offset,
    version: Arc<str>,
    routes: Vec<(Arc<str>, Thresholds)>,
    /// Counters of this node per route.
    own: Vec<Comparison>,
    peers: HashMap<Arc<str>, Peer>,
    /// Counters of all nodes per route since the last evaluation.
    pending: Vec<Comparison>,
    /// Counters of all nodes per route since the stage began.
    stage: Vec<Comparison>,
    /// Tests per route and metric.
    detectors: Vec<[Detector; 3]>,
    unreachable: VecDeque<Unreachable>,
    /// Recently lost hosts, with the times at which they were reported lost.
    lost_hosts: VecDeque<(Millis, u64)>,
    timing_ignored_until: Millis,
    evaluated_at: Millis,
    trip: Option<Trip>,
}

/// Construction and accessors.
impl Monitor {
    /// Creates a monitor for a rollout that lasts at most `window`.
    #[must_use]
    pub fn new(
        rollout: Offset,
        version: Arc<str>,
        routes: Vec<(Arc<str>, Thresholds)>,
        window: Millis,
    ) -> Self {
        let periods = u32::try_from(window.0 / EVALUATION_INTERVAL.0 + 1).unwrap_or(u32::MAX);
        let tests = routes.len().max(1) * Metric::ALL.len();
        let false_alarm_rate = MAX_FALSE_TRIP_PROBABILITY / tests as f64;
        let count = routes.len();
        Self {
            rollout,
            version,
            routes,
            own: vec![Comparison::default(); count],
            peers: HashMap::new(),
            pending: vec![Comparison::default(); count],
            stage: vec![Comparison::default(); count],
            detectors: (0..count)
                .map(|_| Metric::ALL.map(|metric| Detector::new(metric, periods, false_alarm_rate)))
                .collect(),
            unreachable: VecDeque::new(),
            lost_hosts: VecDeque::new(),
            timing_ignored_until: Millis::ZERO,
            evaluated_at: Millis::ZERO,
            trip: None,
        }
    }

    /// Returns the offset of the record that started the rollout.
    #[must_use]
    pub fn rollout(&self) -> Offset {
        self.rollout
    }

    /// Returns the index of a route in the rollout's list of routes.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<usize> {
        self.routes.iter().position(|(route, _)| &**route == name)
    }

    /// Returns the trip, if the rollout was tripped.
    #[must_use]
    pub fn trip(&self) -> Option<&Trip> {
        self.trip.as_ref()
    }

    /// Returns the counters of all nodes per route since the stage began.
    #[must_use]
    pub fn stage_counters(&self) -> &[Comparison] {
        &self.stage
    }

    /// Returns the highest suspicion of all tests, from 0 to 1.
    #[must_use]
    pub fn suspicion(&self) -> f64 {
        let tests = self.detectors.iter().flatten();
        tests.map(Detector::suspicion).fold(0.0, f64::max)
    }
}

/// Evidence.
impl Monitor {
    /// Records the outcome of a request; `host` identifies the endpoint's host.
    pub fn record(&mut self, route: usize, arm: Arm, outcome: Outcome, host: u64, now: Millis) {
        if route >= self.routes.len() {
            return;
        }
        if outcome != Outcome::Unreachable {
            self.count(route, arm, outcome);
            return;
        }
        if self.lost_hosts.iter().any(|(_, lost)| *lost == host) {
            return;
        }
        if self.unreachable.len() >= MAX_UNREACHABLE
            && let Some(oldest) = self.unreachable.pop_front()
        {
            self.count(oldest.route, oldest.arm, Outcome::Failed);
        }
        self.unreachable.push_back(Unreachable {
            at: now,
            host,
            route,
            arm,
        });
    }

    /// Records that a host was reclaimed or lost; its unreachable requests are not evidence.
    pub fn host_lost(&mut self, host: u64, now: Millis) {
        self.unreachable.retain(|request| request.host != host);
        self.timing_ignored_until = now + TIMING_IGNORED_AFTER_LOSS;
        self.lost_hosts.push_back((now, host));
        if self.lost_hosts.len() > MAX_UNREACHABLE {
            self.lost_hosts.pop_front();
        }
    }

    fn count(&mut self, route: usize, arm: Arm, outcome: Outcome) {
        let tally = self.routes[route].1.tally(outcome);
        self.own[route].arm_mut(arm).add(tally);
        self.pending[route].arm_mut(arm).add(tally);
    }

    /// Returns this node's counters, to be sent to other nodes.
    #[must_use]
    pub fn report(&self, incarnation: u64) -> Report {
        Report {
            rollout: self.rollout,
            incarnation,
            routes: self.own.clone(),
        }
    }

    /// Merges the counters of another node; a repeated or older report of the same incarnation adds
    /// nothing.
    pub fn merge(&mut self, peer: &Arc<str>, report: &Report) {
        if report.rollout != self.rollout || report.routes.len() != self.routes.len() {
            return;
        }
        if !self.peers.contains_key(peer) && self.peers.len() >= MAX_PEERS {
            return;
        }
        let known = self.peers.entry(Arc::clone(peer)).or_insert_with(|| Peer {
            incarnation: report.incarnation,
            counters: vec![Comparison::default(); report.routes.len()],
        });
        if known.incarnation != report.incarnation {
            known.incarnation = report.incarnation;
            known.counters.fill(Comparison::default());
        }
        let routes = report.routes.iter().zip(&mut known.counters);
        for ((reported, known), pending) in routes.zip(&mut self.pending) {
            pending.add(reported.since(*known));
            if reported.old.requests >= known.old.requests
                && reported.new.requests >= known.new.requests
            {
                *known = *reported;
            }
        }
    }

    /// Resets the counters of the stage.
    pub fn begin_stage(&mut self) {
        self.stage.fill(Comparison::default());
    }
}

/// Decisions.
impl Monitor {
    /// Evaluates the tests, and returns a trip if they now find the version bad.
    pub fn tick(&mut self, now: Millis) -> Option<Trip> {
        if self.trip.is_some() || now < self.evaluated_at + EVALUATION_INTERVAL {
            return None;
        }
        self.evaluated_at = now;
        self.expire_unreachable(now);
        let ignore_timing = now < self.timing_ignored_until;
        for route in 0..self.routes.len() {
            let mut counters = std::mem::take(&mut self.pending[route]);
            if ignore_timing {
                counters.old.clear_timing();
                counters.new.clear_timing();
            }
            self.stage[route].add(counters);
            for (index, metric) in Metric::ALL.into_iter().enumerate() {
                let timing = metric != Metric::Failures;
                if timing && ignore_timing {
                    continue;
                }
                if self.detectors[route][index].push(counters.stratum(metric)) {
                    self.trip = Some(Trip {
                        rollout: self.rollout,
                        version: Arc::clone(&self.version),
                        route: Arc::clone(&self.routes[route].0),
                        metric,
                    });
                    return self.trip.clone();
                }
            }
        }
        None
    }

    /// Adopts a trip from another node; returns whether it is new to this one.
    pub fn adopt(&mut self, trip: &Trip) -> bool {
        let adopted = trip.rollout == self.rollout && self.trip.is_none();
        if adopted {
            self.trip = Some(trip.clone());
        }
        adopted
    }

    /// Counts unreachable requests as failed when their hosts were not reported lost in time.
    fn expire_unreachable(&mut self, now: Millis) {
        while let Some(first) = self.unreachable.front().copied()
            && first.at + HOST_LOSS_GRACE <= now
        {
            self.unreachable.pop_front();
            self.count(first.route, first.arm, Outcome::Failed);
        }
        self.lost_hosts
            .retain(|(at, _)| *at + TIMING_IGNORED_AFTER_LOSS + HOST_LOSS_GRACE > now);
    }
}
