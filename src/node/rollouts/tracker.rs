use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Millis;
use crate::config::Config;
use crate::control::{self, Projection, Rollout, Status, Summary};
use crate::endpoint::{Endpoint, Split, Table};
use crate::log::Offset;
use crate::rollout::{
    Arm, Comparison, Exposure, Monitor, Outcome, Plan, Report, Samples, Thresholds, Trip,
};

/// Maximum number of trips that are kept; each service has at most one rollout at a time.
const MAX_TRIPS: usize = 256;

/// A node's evidence about rollouts, and the resulting trips and traffic splits.
#[derive(Debug, Default)]
pub(in crate::node) struct Tracker {
    incarnation: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    config: Option<Arc<Config>>,
    /// Rollouts according to the `control` stream.
    recorded: Arc<control::Rollouts>,
    monitors: BTreeMap<Offset, Monitor>,
    /// Stage of each monitored rollout, and the wall time at which this node saw it begin.
    stages: BTreeMap<Offset, (u32, Millis)>,
    trips: BTreeMap<Offset, Trip>,
    samples: Samples,
    /// Wall time of the rollout states that the traffic splits reflect.
    split_at: Millis,
    /// Hosts of the endpoints, and whether they were leaving.
    hosts: HashMap<u64, bool>,
    /// Number of nodes that share the request budget of a stage.
    node_count: u32,
}

/// Everything from which the controller decides on the next record of a rollout.
pub(super) struct Assessment {
    pub(super) rollout: Rollout,
    pub(super) status: Status,
    /// Wall time at which this node saw the stage begin.
    pub(super) stage_since: Millis,
    /// Counters of all nodes per route since the stage began.
    pub(super) routes: Vec<Comparison>,
    pub(super) suspicion: f64,
}

impl Tracker {
    /// Creates a tracker; `incarnation` is a random number that identifies the process.
    pub(in crate::node) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            state: Mutex::default(),
        }
    }

    /// Returns the random number that identifies this process.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Updates the rollouts and the active configuration from the `control` stream.
    pub(in crate::node) fn update(&self, projection: &Projection) {
        let mut state = self.state.lock().expect("rollouts lock");
        state.recorded = Arc::new(projection.rollouts().clone());
        state.config = projection.active().map(|active| Arc::clone(&active.config));
        if let Some(config) = state.config.clone() {
            state.samples.retain(|route| config.route(route).is_some());
        }
    }

    /// Sets the number of nodes that share the request budget of a stage.
    pub(super) fn set_node_count(&self, node_count: u32) {
        self.state.lock().expect("rollouts lock").node_count = node_count;
    }

    /// Returns summaries of all rollouts for operators.
    ///
    /// They reflect the time of the last traffic split, so that a version that they report as
    /// rolled back gets no more requests.
    pub(in crate::node) fn summaries(&self) -> Vec<Summary> {
        let state = self.state.lock().expect("rollouts lock");
        let plan = state.plan();
        let rollouts = state.recorded.iter();
        rollouts
            .map(|r| Summary::new(r, &plan, state.split_at, state.trips.get(&r.id)))
            .collect()
    }

    /// Records the outcome of a request to an endpoint.
    pub(in crate::node) fn record_evidence(
        &self,
        endpoint: &Endpoint,
        route: &Arc<str>,
        outcome: Outcome,
        now: Millis,
    ) {
        let mut state = self.state.lock().expect("rollouts lock");
        let recorded = Arc::clone(&state.recorded);
        if recorded.serving(&endpoint.host.service) == Some(endpoint.version()) {
            state.samples.push(route, outcome);
        }
        let Some(rollout) = recorded.latest(&endpoint.host.service) else {
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

    /// Evaluates all rollouts and updates the traffic splits; returns new trips.
    pub(super) fn tick(&self, endpoints: &mut Table, now: Millis, wall: Millis) -> Vec<Trip> {
        let mut state = self.state.lock().expect("rollouts lock");
        state.record_lost_hosts(endpoints, now);
        let recorded = Arc::clone(&state.recorded);
        let rollouts: Vec<&Rollout> = recorded.iter().collect();
        state
            .monitors
            .retain(|id, _| rollouts.iter().any(|r| r.id == *id));
        state
            .stages
            .retain(|id, _| rollouts.iter().any(|r| r.id == *id));
        let trips = rollouts
            .iter()
            .filter_map(|rollout| state.evaluate(rollout, now, wall))
            .collect();
        if let Some(config) = state.config.clone() {
            for service in &config.services {
                if let Some(split) = state.split(&service.name, wall) {
                    endpoints.set_split(&service.name, split);
                }
            }
        }
        state.split_at = wall;
        trips
    }

    /// Adopts a trip of another node; returns whether this node did not know it yet.
    pub(super) fn adopt_trip(&self, trip: &Trip) -> bool {
        let mut state = self.state.lock().expect("rollouts lock");
        if state.trips.contains_key(&trip.rollout) {
            return false;
        }
        state.insert_trip(trip);
        if let Some(monitor) = state.monitors.get_mut(&trip.rollout) {
            monitor.adopt(trip);
        }
        true
    }

    /// Merges the counters of another node.
    pub(super) fn merge_report(&self, peer: &Arc<str>, report: &Report) {
        let mut state = self.state.lock().expect("rollouts lock");
        if let Some(monitor) = state.monitors.get_mut(&report.rollout) {
            monitor.merge(peer, report);
        }
    }

    /// Returns the counters and trips of rollouts that have not ended, to send to other nodes.
    pub(super) fn reports_and_trips(&self, wall: Millis) -> (Vec<Report>, Vec<Trip>) {
        let state = self.state.lock().expect("rollouts lock");
        let open = state.recorded.iter().filter(|r| wall < r.baked_at());
        let open: Vec<Offset> = open.map(|r| r.id).collect();
        let monitors = state.monitors.iter();
        let reports = monitors
            .filter(|(id, monitor)| open.contains(id) && monitor.trip().is_none())
            .map(|(_, monitor)| monitor.report(self.incarnation));
        let trips = state.trips.values();
        let trips = trips.filter(|trip| open.contains(&trip.rollout)).cloned();
        (reports.collect(), trips.collect())
    }

    /// Returns the rollouts and claims according to the `control` stream.
    pub(super) fn recorded(&self) -> Arc<control::Rollouts> {
        Arc::clone(&self.state.lock().expect("rollouts lock").recorded)
    }

    /// Returns the active configuration.
    pub(super) fn config(&self) -> Option<Arc<Config>> {
        self.state.lock().expect("rollouts lock").config.clone()
    }

    /// Returns the thresholds per route with which a rollout of a service would start now.
    pub(super) fn thresholds(&self, service: &str) -> Vec<(Arc<str>, Thresholds)> {
        let state = self.state.lock().expect("rollouts lock");
        let Some(config) = &state.config else {
            return Vec::new();
        };
        let routes = config.routes.iter().filter(|r| *r.service == *service);
        routes
            .map(|r| (Arc::clone(&r.name), state.samples.thresholds(&r.name)))
            .collect()
    }

    /// Returns the plan of stages under the active configuration.
    pub(super) fn plan(&self) -> Plan {
        self.state.lock().expect("rollouts lock").plan()
    }

    /// Assesses all rollouts for the controller.
    pub(super) fn assessments(&self, wall: Millis) -> Vec<Assessment> {
        let state = self.state.lock().expect("rollouts lock");
        let rollouts = state.recorded.iter();
        rollouts
            .map(|rollout| {
                let monitor = state.monitors.get(&rollout.id);
                let since = state.stages.get(&rollout.id);
                Assessment {
                    status: rollout.status(wall, state.trips.get(&rollout.id)),
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
    /// Records hosts that were removed from the host list or have announced that they are leaving.
    fn record_lost_hosts(&mut self, endpoints: &Table, now: Millis) {
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

    /// Evaluates the tests of a rollout that has not ended; returns a new trip.
    fn evaluate(&mut self, rollout: &Rollout, now: Millis, wall: Millis) -> Option<Trip> {
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
        self.insert_trip(&trip);
        Some(trip)
    }

    /// Keeps a trip; beyond [`MAX_TRIPS`], the trip of the oldest rollout is removed.
    fn insert_trip(&mut self, trip: &Trip) {
        self.trips.insert(trip.rollout, trip.clone());
        if self.trips.len() > MAX_TRIPS {
            self.trips.pop_first();
        }
    }

    /// Returns the traffic split of a service, or `None` if the service is not known yet.
    fn split(&self, service: &Arc<str>, wall: Millis) -> Option<Split> {
        let latest = self.recorded.latest(service);
        let serving = self.recorded.serving(service)?;
        let Some(rollout) = latest else {
            return Some(Split {
                old: Arc::clone(serving),
                new: None,
            });
        };
        let unsplit = |version: &Arc<str>| Split {
            old: Arc::clone(version),
            new: None,
        };
        Some(match rollout.status(wall, self.trips.get(&rollout.id)) {
            Status::RolledBack(_) => unsplit(&rollout.from),
            Status::Done => unsplit(serving),
            Status::InProgress | Status::Baking => Split {
                old: Arc::clone(&rollout.from),
                new: Some((Arc::clone(&rollout.to), self.exposure(rollout))),
            },
        })
    }

    fn plan(&self) -> Plan {
        let config = self.config.as_ref();
        config.map_or_else(Plan::default, |config| {
            Plan::weighted(config.weights.rollout_share())
        })
    }

    /// Returns how much traffic this node may send to the new version of a rollout.
    fn exposure(&self, rollout: &Rollout) -> Exposure {
        let monitor = self.monitors.get(&rollout.id);
        Exposure {
            stage: self.plan().stage(rollout.stage),
            sent: 0,
            suspicion: monitor.map_or(0.0, Monitor::suspicion),
            nodes: self.node_count.max(1),
        }
    }
}

/// Returns the hash by which a [`Monitor`] identifies the host of an endpoint.
fn host_id(endpoint: &Endpoint) -> u64 {
    xxh3_64(endpoint.host.host.as_bytes())
}
