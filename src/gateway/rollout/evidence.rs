use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::gateway::Era;
use crate::gateway::endpoint::Key;
use crate::rollout::{
    Arm, Comparison, Detector, MAX_FALSE_TRIP_PROBABILITY, Metric, Outcome, SUSPICION_LIMIT, Tally,
    Thresholds, log_ratio_good, rules_out,
};

use super::{Phase, Summary};

/// Time between two evaluations of the tests.
const EVALUATION_INTERVAL: Millis = Millis(250);

/// Maximum number of routes that are compared.
const MAX_ROUTES: usize = 32;

/// Maximum number of other nodes whose counters are kept.
const MAX_NODES: usize = 1_024;

/// Maximum number of requests without a response whose endpoints may turn out to be lost.
const MAX_UNANSWERED: usize = 256;

/// Rate of failed responses, beyond the old version's, that must be ruled out before a version is promoted.
const HARMFUL_FAILURES: f64 = 0.2;

/// As [`HARMFUL_FAILURES`], of slow responses. Some are slow because a new version has no cached prompts.
const HARMFUL_SLOW: f64 = 0.35;

/// Upper limit of a rate that counts as harmful.
const MAX_HARMFUL_RATE: f64 = 0.95;

/// As [`HARMFUL_FAILURES`], for failures under load, which must not speak for a harmful version.
const FAILURES_UNDER_LOAD: f64 = 0.1;

/// Log likelihood ratio up to which they do not.
const MAX_HARM_UNDER_LOAD: f64 = 2.0;

/// Evidence under load, relative to that in all, that a version needs to be promoted.
const LOAD_EVIDENCE: f64 = 0.25;

/// Rate of slow responses, beyond the old version's, at which a version that gets all requests is found
/// worse. Most of its endpoints have no cached prompts yet.
const SLOW_EXCESS_IN_USE: f64 = 0.7;

/// Log likelihood ratio at which a version that may be promoted is found worse.
const HARM_EVIDENCE: f64 = 8.0;

/// The counters of one node, by route, since it learned of the rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: Arc<str>,
    /// Era of the order, which identifies the rollout together with the offset.
    pub era: Era,
    /// Offset of the order.
    pub offset: u64,
    /// Counters by route.
    pub routes: Vec<(Arc<str>, Comparison)>,
}

/// A request without a response, which says something about the version only if its endpoint is
/// still there.
#[derive(Clone, Debug)]
struct Unanswered {
    at: Millis,
    endpoint: Key,
    route: Arc<str>,
    arm: Arm,
}

/// The evidence on one route.
#[derive(Debug)]
struct Route {
    /// Thresholds of this node; none until it has seen enough responses of the old version.
    thresholds: Option<Thresholds>,
    /// Counters of this node.
    own: Comparison,
    /// Counters of all nodes since the last evaluation.
    pending: Comparison,
    /// Counters of all nodes.
    total: Comparison,
    /// Those since the version was under load.
    loaded: Comparison,
    /// By metric, how much the latest counters speak for a harmful version, as a log likelihood ratio
    /// of at least 0.
    harm: [f64; Metric::ALL.len()],
    /// Tests by metric.
    tests: [Detector; Metric::ALL.len()],
}

impl Route {
    /// Evaluates the counters since the last evaluation; returns the metric by which the version is
    /// found worse.
    fn evaluate(&mut self, phase: Phase) -> Option<Metric> {
        let counters = std::mem::take(&mut self.pending);
        self.total.add(counters);
        if phase >= Phase::Load {
            self.loaded.add(counters);
        }
        let mut found = None;
        for (test, metric) in self.tests.iter_mut().zip(Metric::ALL) {
            if test.push(counters.stratum(metric)) {
                found.get_or_insert(metric);
            }
        }
        if phase >= Phase::Decision {
            found = found.or_else(|| self.find_harm(counters.new));
        }
        found
    }

    /// Adds responses of a version that may be promoted; returns the metric by which it is harmful.
    ///
    /// As the other versions get no requests after the switch, it is compared with their responses
    /// since it was under load (a cumulative sum test).
    fn find_harm(&mut self, new: Tally) -> Option<Metric> {
        let counters = Comparison {
            old: self.loaded.old,
            new,
        };
        let mut found = None;
        for (harm, metric) in self.harm.iter_mut().zip(Metric::ALL) {
            let excess = match metric {
                Metric::Failures => HARMFUL_FAILURES,
                Metric::FirstToken | Metric::TokenGap => SLOW_EXCESS_IN_USE,
            };
            let for_good = log_ratio_good(counters, metric, |_, old| harmful_rate(old, excess));
            *harm = (*harm - for_good).max(0.0);
            if *harm >= HARM_EVIDENCE {
                found.get_or_insert(metric);
            }
        }
        found
    }
}

/// Returns the event rate that is this far beyond the old version's.
fn harmful_rate(old: f64, excess: f64) -> f64 {
    (old + excess).min(MAX_HARMFUL_RATE)
}

/// The last counters of another node.
#[derive(Debug, Default)]
struct Reported {
    incarnation: u64,
    routes: BTreeMap<Arc<str>, Comparison>,
}

/// What is known of a version on trial: the responses of both versions at this node, and at the
/// nodes that report to it.
#[derive(Debug)]
pub struct Evidence {
    routes: BTreeMap<Arc<str>, Route>,
    nodes: HashMap<Arc<str>, Reported>,
    unanswered: VecDeque<Unanswered>,
    /// Number of evaluations until the deadline.
    periods: u32,
    evaluated_at: Millis,
}

/// Observations.
impl Evidence {
    /// Creates the evidence of a rollout that lasts at most `duration`.
    #[must_use]
    pub fn new(duration: Millis) -> Self {
        let periods = duration.0 / EVALUATION_INTERVAL.0 + 1;
        Self {
            routes: BTreeMap::new(),
            nodes: HashMap::new(),
            unanswered: VecDeque::new(),
            periods: u32::try_from(periods).unwrap_or(u32::MAX),
            evaluated_at: Millis::ZERO,
        }
    }

    /// Records the outcome of a request. `thresholds` returns those of a route, once there are any.
    pub fn record<F>(&mut self, route: &Arc<str>, arm: Arm, outcome: Outcome, thresholds: F)
    where
        F: FnOnce(&str) -> Option<Thresholds>,
    {
        if let Some(state) = self.route(route) {
            state.thresholds = state.thresholds.or_else(|| thresholds(route));
            let tally = Thresholds::tally_with(state.thresholds, outcome);
            state.own.arm_mut(arm).add(tally);
            state.pending.arm_mut(arm).add(tally);
        }
    }

    /// Records a request without a response. It counts as failed if its endpoint turns out to be
    /// present.
    pub fn record_unanswered(&mut self, route: &Arc<str>, arm: Arm, endpoint: Key, now: Millis) {
        if self.unanswered.len() < MAX_UNANSWERED {
            self.unanswered.push_back(Unanswered {
                at: now,
                endpoint,
                route: Arc::clone(route),
                arm,
            });
        }
    }

    /// Returns a route, which is created unless there are too many.
    fn route(&mut self, name: &Arc<str>) -> Option<&mut Route> {
        if !self.routes.contains_key(name) {
            if self.routes.len() >= MAX_ROUTES {
                return None;
            }
            let tests = MAX_ROUTES * Metric::ALL.len();
            let false_alarm_rate = MAX_FALSE_TRIP_PROBABILITY / tests as f64;
            let route = Route {
                thresholds: None,
                own: Comparison::default(),
                pending: Comparison::default(),
                total: Comparison::default(),
                loaded: Comparison::default(),
                harm: [0.0; Metric::ALL.len()],
                tests: Metric::ALL
                    .map(|metric| Detector::new(metric, self.periods, false_alarm_rate)),
            };
            self.routes.insert(Arc::clone(name), route);
        }
        self.routes.get_mut(name)
    }
}

/// Exchange with other nodes.
impl Evidence {
    /// Returns this node's counters by route.
    #[must_use]
    pub fn counters(&self) -> Vec<(Arc<str>, Comparison)> {
        let routes = self.routes.iter();
        routes
            .map(|(name, route)| (Arc::clone(name), route.own))
            .collect()
    }

    /// Merges the counters of another node. A repeated report, and one of an earlier run of the
    /// node, adds nothing.
    pub fn merge(&mut self, node: &Arc<str>, incarnation: u64, routes: &[(Arc<str>, Comparison)]) {
        if !self.nodes.contains_key(node) && self.nodes.len() >= MAX_NODES {
            return;
        }
        let known = self.nodes.entry(Arc::clone(node)).or_default();
        if known.incarnation > incarnation {
            return;
        }
        if known.incarnation < incarnation {
            known.incarnation = incarnation;
            known.routes.clear();
        }
        let mut earlier = std::mem::take(&mut known.routes);
        for (name, counters) in routes.iter().take(MAX_ROUTES) {
            let before = earlier.entry(Arc::clone(name)).or_default();
            let added = counters.since(*before);
            before.add(added);
            if let Some(route) = self.route(name) {
                route.pending.add(added);
            }
        }
        if let Some(known) = self.nodes.get_mut(node) {
            known.routes = earlier;
        }
    }
}

/// Decisions.
impl Evidence {
    /// Evaluates the tests in a phase of the rollout; returns the route and the metric if they find the
    /// version worse.
    ///
    /// A request without a response counts from `lost_after` on, if `is_present` returns that its
    /// endpoint is still there.
    pub fn review<F>(
        &mut self,
        now: Millis,
        phase: Phase,
        lost_after: Millis,
        is_present: F,
    ) -> Option<(Arc<str>, Metric)>
    where
        F: Fn(Key) -> bool,
    {
        if now < self.evaluated_at + EVALUATION_INTERVAL {
            return None;
        }
        self.evaluated_at = now;
        self.count_unanswered(now, lost_after, is_present);
        let mut found = None;
        for (name, route) in &mut self.routes {
            if let Some(metric) = route.evaluate(phase) {
                found.get_or_insert((Arc::clone(name), metric));
            }
        }
        found
    }

    fn count_unanswered<F>(&mut self, now: Millis, lost_after: Millis, is_present: F)
    where
        F: Fn(Key) -> bool,
    {
        while let Some(first) = self.unanswered.front()
            && first.at + lost_after <= now
        {
            let Some(request) = self.unanswered.pop_front() else {
                return;
            };
            if is_present(request.endpoint) {
                self.record(&request.route, request.arm, Outcome::Failed, |_| None);
            }
        }
    }

    /// Returns whether the evidence rules out that the version is harmful, in all and under load.
    #[must_use]
    pub fn is_sufficient(&self) -> bool {
        let Sums { total, loaded } = self.sums();
        let harmful = |metric, old| match metric {
            Metric::Failures => harmful_rate(old, HARMFUL_FAILURES),
            Metric::FirstToken | Metric::TokenGap => harmful_rate(old, HARMFUL_SLOW),
        };
        let failures = |_, old| harmful_rate(old, FAILURES_UNDER_LOAD);
        let for_good = log_ratio_good(loaded, Metric::Failures, failures);
        self.suspicion() <= SUSPICION_LIMIT
            && rules_out(total, 1.0, harmful)
            && rules_out(loaded, LOAD_EVIDENCE, harmful)
            && for_good >= -MAX_HARM_UNDER_LOAD
    }

    /// Returns the evidence of all nodes that reported to this one.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let Sums { total, loaded } = self.sums();
        Summary {
            total: total.new,
            loaded: loaded.new,
            suspicion: self.suspicion(),
        }
    }

    fn sums(&self) -> Sums {
        let mut sums = Sums::default();
        for route in self.routes.values() {
            sums.total.add(route.total);
            sums.loaded.add(route.loaded);
        }
        sums
    }

    /// Returns the highest suspicion of all tests, from 0 to 1.
    fn suspicion(&self) -> f64 {
        let tests = self.routes.values().flat_map(|route| &route.tests);
        tests.map(Detector::suspicion).fold(0.0, f64::max)
    }
}

/// The counters of all routes.
#[derive(Default)]
struct Sums {
    total: Comparison,
    /// Those since the version was under load.
    loaded: Comparison,
}
