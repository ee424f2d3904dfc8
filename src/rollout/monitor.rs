use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;
use crate::log::Offset;

use super::{Arm, Comparison, Detector, FALSE_TRIP, Metric, Outcome, Report, Thresholds, Trip};

/// Time between two evaluations of the test.
const PERIOD: Millis = Millis(500);

/// Time for which an unreachable endpoint may turn out to be a lost host; the host list lags by
/// about this much.
const HOST_LOSS_GRACE: Millis = Millis(3_000);

/// Time after a host loss during which slow responses are no evidence: the remaining hosts are
/// overloaded until replacements have started.
const HOST_LOSS_QUIET: Millis = Millis(10_000);

/// Most unreachable requests that wait for a decision; the oldest counts as failed beyond this.
const MAX_UNREACHABLE: usize = 4_096;

/// Most peers whose counters are kept.
const MAX_PEERS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Unreachable {
    at: Millis,
    host: u64,
    route: usize,
    arm: Arm,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    counters: Vec<Comparison>,
}

/// One node's evidence about one rollout.
#[derive(Debug)]
pub struct Monitor {
    rollout: Offset,
    version: Arc<str>,
    routes: Vec<(Arc<str>, Thresholds)>,
    own: Vec<Comparison>,
    peers: HashMap<Arc<str>, Peer>,
    pending: Vec<Comparison>,
    stage: Vec<Comparison>,
    detectors: Vec<[Detector; 3]>,
    unreachable: VecDeque<Unreachable>,
    lost: VecDeque<(Millis, u64)>,
    quiet_until: Millis,
    evaluated_at: Millis,
    trip: Option<Trip>,
}

/// Construction and accessors.
impl Monitor {
    /// Creates a monitor of a rollout that lasts at most `window`.
    #[must_use]
    pub fn new(
        rollout: Offset,
        version: Arc<str>,
        routes: Vec<(Arc<str>, Thresholds)>,
        window: Millis,
    ) -> Self {
        let periods = u32::try_from(window.0 / PERIOD.0 + 1).unwrap_or(u32::MAX);
        let tests = routes.len().max(1) * Metric::ALL.len();
        let error = FALSE_TRIP / tests as f64;
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
                .map(|_| Metric::ALL.map(|metric| Detector::new(metric, periods, error)))
                .collect(),
            unreachable: VecDeque::new(),
            lost: VecDeque::new(),
            quiet_until: Millis::ZERO,
            evaluated_at: Millis::ZERO,
            trip: None,
        }
    }

    /// Returns the rollout that is monitored.
    #[must_use]
    pub fn rollout(&self) -> Offset {
        self.rollout
    }

    /// Returns the position of a route in the rollout's route list.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<usize> {
        self.routes.iter().position(|(route, _)| &**route == name)
    }

    /// Returns the trip, if there was one.
    #[must_use]
    pub fn trip(&self) -> Option<&Trip> {
        self.trip.as_ref()
    }

    /// Returns the counters of all nodes per route since the stage began.
    #[must_use]
    pub fn stage_counters(&self) -> &[Comparison] {
        &self.stage
    }

    /// Returns how near the nearest test is to a trip, from 0 to 1.
    #[must_use]
    pub fn suspicion(&self) -> f64 {
        let tests = self.detectors.iter().flatten();
        tests.map(Detector::suspicion).fold(0.0, f64::max)
    }
}

/// Evidence.
impl Monitor {
    /// Records what became of a request; `host` identifies the endpoint's host.
    pub fn record(&mut self, route: usize, arm: Arm, outcome: Outcome, host: u64, now: Millis) {
        if route >= self.routes.len() {
            return;
        }
        if outcome != Outcome::Unreachable {
            self.count(route, arm, outcome);
            return;
        }
        if self.lost.iter().any(|(_, lost)| *lost == host) {
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

    /// Notes that a host was reclaimed or lost; its unreachable requests are no evidence.
    pub fn host_lost(&mut self, host: u64, now: Millis) {
        self.unreachable.retain(|request| request.host != host);
        self.quiet_until = now + HOST_LOSS_QUIET;
        self.lost.push_back((now, host));
        if self.lost.len() > MAX_UNREACHABLE {
            self.lost.pop_front();
        }
    }

    fn count(&mut self, route: usize, arm: Arm, outcome: Outcome) {
        let tally = self.routes[route].1.tally(outcome);
        self.own[route].arm_mut(arm).add(tally);
        self.pending[route].arm_mut(arm).add(tally);
    }

    /// Returns this node's counters for other nodes.
    #[must_use]
    pub fn report(&self, incarnation: u64) -> Report {
        Report {
            rollout: self.rollout,
            incarnation,
            routes: self.own.clone(),
        }
    }

    /// Takes in the counters of another node; a repeated or older report adds nothing.
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
        let news = report.routes.iter().zip(&mut known.counters);
        for ((pair, known), pending) in news.zip(&mut self.pending) {
            pending.add(pair.since(*known));
            if pair.old.requests >= known.old.requests && pair.new.requests >= known.new.requests {
                *known = *pair;
            }
        }
    }

    /// Forgets the counters of the last stage.
    pub fn begin_stage(&mut self) {
        self.stage.fill(Comparison::default());
    }
}

/// Decisions.
impl Monitor {
    /// Evaluates the test; returns a trip when the version was found bad just now.
    pub fn tick(&mut self, now: Millis) -> Option<Trip> {
        if self.trip.is_some() || now < self.evaluated_at + PERIOD {
            return None;
        }
        self.evaluated_at = now;
        self.expire_unreachable(now);
        let quiet = now < self.quiet_until;
        for route in 0..self.routes.len() {
            let mut pair = std::mem::take(&mut self.pending[route]);
            if quiet {
                pair.old.drop_timing();
                pair.new.drop_timing();
            }
            self.stage[route].add(pair);
            for (index, metric) in Metric::ALL.into_iter().enumerate() {
                let timing = metric != Metric::Failures;
                if timing && quiet {
                    continue;
                }
                if self.detectors[route][index].push(pair.stratum(metric)) {
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

    /// Takes over a trip of another node; returns whether it is new here.
    pub fn adopt(&mut self, trip: &Trip) -> bool {
        let adopted = trip.rollout == self.rollout && self.trip.is_none();
        if adopted {
            self.trip = Some(trip.clone());
        }
        adopted
    }

    fn expire_unreachable(&mut self, now: Millis) {
        while let Some(first) = self.unreachable.front().copied()
            && first.at + HOST_LOSS_GRACE <= now
        {
            self.unreachable.pop_front();
            self.count(first.route, first.arm, Outcome::Failed);
        }
        self.lost
            .retain(|(at, _)| *at + HOST_LOSS_QUIET + HOST_LOSS_GRACE > now);
    }
}
