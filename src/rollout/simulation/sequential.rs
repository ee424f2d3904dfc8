use std::collections::VecDeque;
use std::sync::Arc;

use crate::clock::Millis;
use crate::log::Offset;

use super::super::{
    Arm, Exposure, Monitor, Observation, Plan, Step, Trip, choose_version, endpoints_in_use,
};
use super::environment::{ENDPOINTS, Environment, NODES, Request, Response};
use super::{Scenario, Score};

/// Simulated time per step.
const TICK_INTERVAL: Millis = Millis(100);

/// Time between two reports of a node.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Number of peers that get a report.
const REPORT_PEERS: usize = 3;

/// Share of the reports that are lost.
const REPORT_LOSS: f64 = 0.05;

/// Share of the messages about a trip that are lost.
const TRIP_LOSS: f64 = 0.2;

/// Time after which a lost message about a trip is sent again.
const TRIP_RETRY_INTERVAL: Millis = Millis(500);

/// Maximum ticks until a node has read an appended record; the minimum is 1.
const MAX_RECORD_TICKS: f64 = 4.0;

/// Ticks after which the longest response has ended.
const MAX_RESPONSE_TICKS: usize = 120;

/// State of one simulated node.
struct Node {
    monitor: Monitor,
    stage: u32,
    /// Requests sent to the new version during the stage.
    sent: u32,
    /// Next stage and the time at which the node learns about it.
    next_stage: Option<(u32, Millis)>,
    /// Time from which on the node sends no requests to the new version.
    trip_at: Option<Millis>,
}

/// State of a simulated rollout.
struct Run {
    environment: Environment,
    score: Score,
    plan: Plan,
    nodes: Vec<Node>,
    /// Responses that end in each of the next ticks.
    responses: VecDeque<Vec<(Request, Arm, Response)>>,
    stage: u32,
    stage_since: Millis,
    done: bool,
    trip: Option<Trip>,
}

/// Simulates the policy in one scenario.
pub(super) fn run(scenario: &Scenario, plan: &Plan) -> Score {
    let mut run = Run::new(scenario, plan.clone());
    let mut now = Millis::ZERO;
    while now < scenario.window {
        run.tick(now);
        now += TICK_INTERVAL;
        let finished = run
            .score
            .tripped_at
            .is_some_and(|at| now > at + Millis(10_000));
        if finished {
            break;
        }
    }
    if !run.done || run.trip.is_some() {
        run.score.rolled_back = true;
        run.score.tripped_at.get_or_insert(scenario.window);
    }
    run.score
}

impl Run {
    fn new(scenario: &Scenario, plan: Plan) -> Self {
        let environment = Environment::new(scenario);
        let routes: Vec<_> = (0..4)
            .map(|route| {
                (
                    format!("route-{route}").into(),
                    environment.thresholds(route),
                )
            })
            .collect();
        let node = || Node {
            monitor: Monitor::new(Offset(1), "v2".into(), routes.clone(), scenario.window),
            stage: 0,
            sent: 0,
            next_stage: None,
            trip_at: None,
        };
        Self {
            nodes: (0..NODES).map(|_| node()).collect(),
            environment,
            score: Score::new(scenario),
            plan,
            responses: (0..MAX_RESPONSE_TICKS).map(|_| Vec::new()).collect(),
            stage: 0,
            stage_since: Millis::ZERO,
            done: false,
            trip: None,
        }
    }

    fn tick(&mut self, now: Millis) {
        self.read_records(now);
        for request in self.environment.arrivals(now, TICK_INTERVAL) {
            self.dispatch(request, now);
        }
        self.record_outcomes(now);
        for host in self.environment.reported_losses(now, TICK_INTERVAL) {
            for node in &mut self.nodes {
                node.monitor.host_lost(host, now);
            }
        }
        if now.0.is_multiple_of(REPORT_INTERVAL.0) {
            self.exchange();
        }
        self.evaluate(now);
        self.advance(now);
    }

    /// Applies at each node the records that have reached it.
    fn read_records(&mut self, now: Millis) {
        for node in &mut self.nodes {
            if let Some((stage, at)) = node.next_stage
                && now >= at
            {
                node.next_stage = None;
                node.stage = stage;
                node.sent = 0;
                node.monitor.begin_stage();
            }
        }
    }

    fn dispatch(&mut self, request: Request, now: Millis) {
        let node = &mut self.nodes[request.node];
        let tripped = node.trip_at.is_some_and(|at| now >= at);
        let exposure = Exposure {
            stage: self.plan.stage(node.stage).filter(|_| !tripped),
            sent: node.sent,
            suspicion: node.monitor.suspicion(),
            nodes: NODES as u32,
        };
        let share = exposure.stage.map_or(0.0, |stage| stage.share);
        let arm = choose_version(&exposure, request.draw);
        let traffic = match arm {
            Arm::New => (share, endpoints_in_use(share, ENDPOINTS)),
            Arm::Old => (1.0 - share, ENDPOINTS),
        };
        if arm == Arm::New {
            node.sent += 1;
        }
        let response = self.environment.send(request, arm, traffic, now);
        if arm == Arm::New {
            self.score.count(response.exposed, now);
        }
        let ticks =
            usize::try_from(response.after.0 / TICK_INTERVAL.0).unwrap_or(MAX_RESPONSE_TICKS);
        self.responses[ticks.min(MAX_RESPONSE_TICKS - 1)].push((request, arm, response));
    }

    fn record_outcomes(&mut self, now: Millis) {
        let due = self.responses.pop_front().unwrap_or_default();
        self.responses.push_back(Vec::new());
        for (request, arm, response) in due {
            let monitor = &mut self.nodes[request.node].monitor;
            monitor.record(request.route, arm, response.outcome, response.host, now);
        }
    }

    /// Sends the counters of each node to a few random peers.
    fn exchange(&mut self) {
        for from in 0..NODES {
            let report = self.nodes[from].monitor.report(from as u64);
            let name: Arc<str> = format!("node-{from}").into();
            for _ in 0..REPORT_PEERS {
                let step = 1 + (self.environment.draw() * (NODES - 1) as f64) as usize;
                if self.environment.draw() >= REPORT_LOSS {
                    let to = (from + step) % NODES;
                    self.nodes[to].monitor.merge(&name, &report);
                }
            }
        }
    }

    fn evaluate(&mut self, now: Millis) {
        for index in 0..NODES {
            let Some(trip) = self.nodes[index].monitor.tick(now) else {
                continue;
            };
            self.nodes[index].trip_at.get_or_insert(now);
            self.score.tripped_at.get_or_insert(now);
            if self.trip.is_none() {
                self.notify(&trip, now);
                self.trip = Some(trip);
            }
        }
    }

    /// Sends a trip to the other nodes; lost messages are sent again.
    fn notify(&mut self, trip: &Trip, now: Millis) {
        for node in &mut self.nodes {
            if !node.monitor.adopt(trip) {
                continue;
            }
            let mut at = now + TICK_INTERVAL;
            while self.environment.draw() < TRIP_LOSS {
                at += TRIP_RETRY_INTERVAL;
            }
            node.trip_at.get_or_insert(at);
        }
    }

    /// Advances the stage at the controller, which is the first node, if the log is available.
    fn advance(&mut self, now: Millis) {
        if self.trip.is_some() || !self.environment.log_available(now) || self.done {
            return;
        }
        let controller = &self.nodes[0];
        if controller.stage != self.stage {
            return;
        }
        let observation = Observation {
            now,
            stage: self.stage,
            stage_since: self.stage_since,
            deadline: self.score.scenario.window,
            window: self.score.scenario.window,
            routes: controller.monitor.stage_counters(),
            suspicion: controller.monitor.suspicion(),
        };
        match self.plan.next(&observation) {
            Step::Stay => {}
            Step::Advance(stage) => {
                self.stage = stage;
                self.stage_since = now;
                for node in &mut self.nodes {
                    let ticks = 1 + (self.environment.draw() * MAX_RECORD_TICKS) as u64;
                    node.next_stage = Some((stage, now + Millis(ticks * TICK_INTERVAL.0)));
                }
            }
            Step::Done => {
                self.done = true;
                self.score.done_at = Some(now);
            }
        }
    }
}
