use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::config::Config;
use crate::control::{self, Projection, Rollout, Status, Summary};
use crate::endpoint::{Endpoint, Split, Table};
use crate::log::Offset;
use crate::rollout::{Arm, Comparison, Exposure, Monitor, Outcome, Plan, Report, Thresholds, Trip};

use super::samples::Samples;

/// Most trips that are remembered; each service has at most one rollout at a time.
const MAX_TRIPS: usize = 256;

/// What a node knows about rollouts.
#[derive(Debug, Default)]
pub(in crate::node) struct Tracker {
    incarnation: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    config: Option<Arc<Config>>,
    fold: Arc<control::Rollouts>,
    monitors: BTreeMap<Offset, Monitor>,
    /// The stage of each monitored rollout and when this node saw it begin (wall time).
    stages: BTreeMap<Offset, (u32, Millis)>,
    trips: BTreeMap<Offset, Trip>,
    samples: Samples,
    /// Time (wall) up to which the division of the traffic follows the rollouts.
    divided_at: Millis,
    /// Hosts in the list, and whether they were leaving.
    hosts: HashMap<u64, bool>,
    nodes: u32,
}

/// A rollout as the controller sees it.
pub(super) struct Progress {
    pub(super) rollout: Rollout,
    pub(super) standing: Status,
    pub(super) stage_since: Millis,
    pub(super) routes: Vec<Comparison>,
    pub(super) suspicion: f64,
}

impl Tracker {
    pub(in crate::node) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            state: Mutex::default(),
        }
    }

    /// Returns the random number of this process.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes over what the log says.
    pub(in crate::node) fn update(&self, fold: &Projection) {
        let mut state = self.state.lock().expect("rollouts lock");
        state.fold = Arc::new(fold.rollouts().clone());
        state.config = fold.active().map(|active| Arc::clone(&active.config));
        if let Some(config) = state.config.clone() {
            state.samples.retain(|route| config.route(route).is_some());
        }
    }

    /// Sets the number of nodes that share the request budget of a stage.
    pub(super) fn set_nodes(&self, nodes: u32) {
        self.state.lock().expect("rollouts lock").nodes = nodes;
    }

    /// Returns the summaries for operators.
    ///
    /// They are as of the last division of the traffic, so that a version that is said to be rolled
    /// back gets no more requests.
    pub(in crate::node) fn summaries(&self) -> Vec<Summary> {
        let state = self.state.lock().expect("rollouts lock");
        let plan = state.plan();
        let rollouts = state.fold.iter();
        rollouts
            .map(|r| Summary::new(r, &plan, state.divided_at, state.trips.get(&r.id)))
            .collect()
    }

    /// Records what became of a request to an endpoint.
    pub(in crate::node) fn record_evidence(
        &self,
        endpoint: &Endpoint,
        route: &Arc<str>,
        outcome: Outcome,
        now: Millis,
    ) {
        let mut state = self.state.lock().expect("rollouts lock");
        let fold = Arc::clone(&state.fold);
        if fold.serving(&endpoint.host.service) == Some(endpoint.version()) {
            state.samples.push(route, outcome);
        }
        let Some(rollout) = fold.latest(&endpoint.host.service) else {
            return;
        };
        let arm = match endpoint.version() {
            version if *version == rollout.to => Arm::New,
            version if *version == rollout.from => Arm::Old,
            _ => return,
        };
        let id = rollout.id;
        let host = host_id(endpoint);
        if let Some(monitor) = state.monitors.get_mut(&id)
            && let Some(route) = monitor.route(route)
        {
            monitor.record(route, arm, outcome, host, now);
        }
    }

    /// Evaluates all rollouts and divides the traffic; returns new trips.
    pub(super) fn tick(&self, endpoints: &mut Table, now: Millis, wall: Millis) -> Vec<Trip> {
        let mut state = self.state.lock().expect("rollouts lock");
        state.note_losses(endpoints, now);
        let fold = Arc::clone(&state.fold);
        let rollouts: Vec<&Rollout> = fold.iter().collect();
        state
            .monitors
            .retain(|id, _| rollouts.iter().any(|r| r.id == *id));
        state
            .stages
            .retain(|id, _| rollouts.iter().any(|r| r.id == *id));
        let trips = rollouts
            .iter()
            .filter_map(|rollout| state.monitor(rollout, now, wall))
            .collect();
        if let Some(config) = state.config.clone() {
            for service in &config.services {
                if let Some(split) = state.split(&service.name, wall) {
                    endpoints.set_split(&service.name, split);
                }
            }
        }
        state.divided_at = wall;
        trips
    }

    /// Takes over a trip of another node; returns whether it is new here.
    pub(super) fn adopt(&self, trip: &Trip) -> bool {
        let mut state = self.state.lock().expect("rollouts lock");
        if state.trips.contains_key(&trip.rollout) {
            return false;
        }
        state.keep(trip);
        if let Some(monitor) = state.monitors.get_mut(&trip.rollout) {
            monitor.adopt(trip);
        }
        true
    }

    /// Takes in the counters of another node.
    pub(super) fn absorb(&self, peer: &Arc<str>, report: &Report) {
        let mut state = self.state.lock().expect("rollouts lock");
        if let Some(monitor) = state.monitors.get_mut(&report.rollout) {
            monitor.merge(peer, report);
        }
    }

    /// Returns the counters and the trips of rollouts that are not over, for other nodes.
    pub(super) fn shared(&self, wall: Millis) -> (Vec<Report>, Vec<Trip>) {
        let state = self.state.lock().expect("rollouts lock");
        let open = state.fold.iter().filter(|r| wall < r.baked_at());
        let open: Vec<Offset> = open.map(|r| r.id).collect();
        let monitors = state.monitors.iter();
        let reports = monitors
            .filter(|(id, monitor)| open.contains(id) && monitor.trip().is_none())
            .map(|(_, monitor)| monitor.report(self.incarnation));
        let trips = state.trips.values();
        let trips = trips.filter(|trip| open.contains(&trip.rollout)).cloned();
        (reports.collect(), trips.collect())
    }

    /// Returns what the log says.
    pub(super) fn fold(&self) -> Arc<control::Rollouts> {
        Arc::clone(&self.state.lock().expect("rollouts lock").fold)
    }

    /// Returns the active configuration.
    pub(super) fn config(&self) -> Option<Arc<Config>> {
        self.state.lock().expect("rollouts lock").config.clone()
    }

    /// Returns the limits that a rollout of a service would start with now.
    pub(super) fn limits(&self, service: &str) -> Vec<(Arc<str>, Thresholds)> {
        let state = self.state.lock().expect("rollouts lock");
        let Some(config) = &state.config else {
            return Vec::new();
        };
        let routes = config.routes.iter().filter(|r| *r.service == *service);
        routes
            .map(|r| (Arc::clone(&r.name), state.samples.limits(&r.name)))
            .collect()
    }

    /// Returns the stages of rollouts under the active configuration.
    pub(super) fn plan(&self) -> Plan {
        self.state.lock().expect("rollouts lock").plan()
    }

    /// Returns all rollouts as the controller needs them.
    pub(super) fn progress(&self, wall: Millis) -> Vec<Progress> {
        let state = self.state.lock().expect("rollouts lock");
        let rollouts = state.fold.iter();
        rollouts
            .map(|rollout| {
                let monitor = state.monitors.get(&rollout.id);
                let since = state.stages.get(&rollout.id);
                Progress {
                    standing: rollout.status(wall, state.trips.get(&rollout.id)),
                    stage_since: since.map_or(wall, |(_, at)| *at),
                    routes: monitor.map_or_else(Vec::new, |m| m.stage_counters().to_vec()),
                    suspicion: monitor.map_or(0.0, Monitor::suspicion),
                    rollout: rollout.clone(),
                }
            })
            .collect()
    }
}

impl State {
    /// Notes hosts that left the list or announced that they are leaving.
    fn note_losses(&mut self, endpoints: &Table, now: Millis) {
        let hosts: HashMap<u64, bool> = endpoints
            .iter()
            .map(|(_, endpoint)| (host_id(endpoint), endpoint.leaving))
            .collect();
        let lost: Vec<u64> = self
            .hosts
            .iter()
            .filter(|(host, leaving)| !**leaving && hosts.get(host).is_none_or(|now| *now))
            .map(|(host, _)| *host)
            .collect();
        for monitor in self.monitors.values_mut() {
            lost.iter().for_each(|host| monitor.host_lost(*host, now));
        }
        self.hosts = hosts;
    }

    /// Runs the test of one rollout.
    fn monitor(&mut self, rollout: &Rollout, now: Millis, wall: Millis) -> Option<Trip> {
        let trip = self.trips.get(&rollout.id);
        let open = matches!(
            rollout.status(wall, trip),
            Status::InProgress | Status::Baking
        );
        if !open {
            return None;
        }
        let monitor = self.monitors.entry(rollout.id).or_insert_with(|| {
            let window = rollout.deadline - rollout.started_at;
            let version = Arc::clone(&rollout.to);
            Monitor::new(rollout.id, version, rollout.limits.clone(), window)
        });
        if self.stages.get(&rollout.id).map(|(stage, _)| *stage) != Some(rollout.stage) {
            self.stages.insert(rollout.id, (rollout.stage, wall));
            monitor.begin_stage();
        }
        let trip = monitor.tick(now)?;
        self.keep(&trip);
        Some(trip)
    }

    /// Keeps a trip; the oldest rollout's trip is dropped when there are too many.
    fn keep(&mut self, trip: &Trip) {
        self.trips.insert(trip.rollout, trip.clone());
        if self.trips.len() > MAX_TRIPS {
            self.trips.pop_first();
        }
    }

    fn split(&self, service: &Arc<str>, wall: Millis) -> Option<Split> {
        let latest = self.fold.latest(service);
        let serving = self.fold.serving(service)?;
        let Some(rollout) = latest else {
            return Some(Split {
                old: Arc::clone(serving),
                new: None,
            });
        };
        let whole = |version: &Arc<str>| Split {
            old: Arc::clone(version),
            new: None,
        };
        Some(match rollout.status(wall, self.trips.get(&rollout.id)) {
            Status::RolledBack(_) => whole(&rollout.from),
            Status::Done => whole(serving),
            Status::InProgress | Status::Baking => Split {
                old: Arc::clone(&rollout.from),
                new: Some((Arc::clone(&rollout.to), self.choice(rollout))),
            },
        })
    }

    fn plan(&self) -> Plan {
        let config = self.config.as_ref();
        config.map_or_else(Plan::default, |config| {
            Plan::weighted(config.weights.rollout_share())
        })
    }

    fn choice(&self, rollout: &Rollout) -> Exposure {
        let monitor = self.monitors.get(&rollout.id);
        Exposure {
            stage: self.plan().stage(rollout.stage),
            sent: 0,
            suspicion: monitor.map_or(0.0, Monitor::suspicion),
            nodes: self.nodes.max(1),
        }
    }
}

fn host_id(endpoint: &Endpoint) -> u64 {
    xxh3_64(endpoint.host.host.as_bytes())
}
