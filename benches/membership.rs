//! Cost of cluster membership per node for several cluster sizes: time per tick and bytes/s.
//!
//! It simulates the pure state of all nodes in virtual time, without connections.

use std::hint::black_box;
use std::net::SocketAddr;

use almondpath::clock::Millis;
use almondpath::log::Offset;
use almondpath::membership::{
    Demand, Header, Load, Member, Message, Notice, State, TICK_INTERVAL, Target, View, short_hash,
};
use almondpath::peer::encoded_bytes;
use criterion::{BatchSize, Criterion, criterion_main};

const CLUSTER_SIZES: [(usize, usize); 3] = [(8, 13), (64, 100), (370, 600)];
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// RPC framing of a probe in bytes: the call and its `finish` message, and the response.
const PROBE_FRAME_BYTES: usize = 112 + 48;
const RESPONSE_FRAME_BYTES: usize = 72;

fn member(index: usize) -> Member {
    let host = u8::try_from(index % 250).expect("small") + 1;
    let net = u8::try_from(index / 250).expect("small");
    let address = |port| SocketAddr::from(([10, 20, net, host], port));
    Member {
        name: format!("entry-{index:04}").into(),
        domain: DOMAINS[index % DOMAINS.len()].into(),
        peer: address(7_201),
        listen: address(7_001),
        incarnation: 1_000 + index as u64,
        version: 0,
        state: State::Alive,
    }
}

fn header(control_end: u64) -> Header {
    let demand = (0..5).map(|account| Demand { account, rate: 1.0 });
    Header {
        protocol: 1,
        format: 1,
        incarnation: 0,
        config: Some(Offset(100)),
        control_end: Offset(control_end),
        weight: 255,
        draining: false,
        joining: false,
        digest: 0,
        demand: demand.collect(),
    }
}

fn load(endpoint: usize, seq: u64) -> Load {
    Load {
        host: short_hash(&format!("engine-{endpoint:04}")),
        incarnation: 1,
        seq: seq.to_le_bytes()[0],
        running: 3,
        queued: 0,
    }
}

/// All nodes of a simulated cluster.
struct Simulation {
    views: Vec<View>,
    /// End offset of the `control` stream that each node knows.
    ends: Vec<u64>,
    index: std::collections::HashMap<SocketAddr, usize>,
    now: Millis,
    sent: usize,
    exchanges: usize,
}

impl Simulation {
    /// Starts all nodes with the first eight as seeds, and runs until they know each other.
    fn start(nodes: usize) -> Self {
        let seeds: Vec<_> = (0..8).map(|index| member(index).peer).collect();
        let views = (0..nodes).map(|index| View::new(member(index), seeds.clone(), index as u64));
        let mut simulation = Self {
            views: views.collect(),
            ends: vec![101; nodes],
            index: (0..nodes)
                .map(|index| (member(index).peer, index))
                .collect(),
            now: Millis(0),
            sent: 0,
            exchanges: 0,
        };
        simulation.run(Millis::from_secs(120), 0);
        simulation
    }

    /// Exchanges a probe and its response, and returns whether the response was urgent.
    fn exchange(&mut self, from: usize, target: &Target) -> bool {
        let to = self.index[&target.address];
        let probe = self.views[from].build_message(
            self.now,
            target.name.as_deref(),
            header(self.ends[from]),
        );
        self.sent += encoded_bytes(&probe) + PROBE_FRAME_BYTES;
        self.exchanges += 1;
        let (sender, joining) = (probe.header.incarnation, probe.header.joining);
        let urgent = self.views[to].receive(self.now, probe).urgent;
        let response =
            self.views[to].build_response(self.now, sender, joining, header(self.ends[to]));
        self.sent += encoded_bytes(&response) + RESPONSE_FRAME_BYTES;
        let urgent_response = self.views[from].receive_response(self.now, response).urgent;
        // A node reads the stream as soon as it receives a higher end offset.
        let end = self.ends[from].max(self.ends[to]);
        (self.ends[from], self.ends[to]) = (end, end);
        if urgent {
            self.relay(to);
        }
        urgent_response
    }

    /// Sends an urgent update to the relays, which relay it in turn.
    fn relay(&mut self, from: usize) {
        for target in self.views[from].relay_targets(self.now) {
            if self.exchange(from, &target) {
                self.relay(from);
            }
        }
    }

    /// Lets all nodes tick for a duration, while all `endpoints` change their load twice a second.
    fn run(&mut self, time: Millis, endpoints: usize) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for endpoint in 0..endpoints {
                let poller =
                    (endpoint * 7 + usize::try_from(self.now.0).expect("small")) % self.views.len();
                self.views[poller].add_load(load(endpoint, self.now.0 / 500));
            }
            for index in 0..self.views.len() {
                if let Some(target) = self.views[index].tick(self.now)
                    && self.exchange(index, &target)
                {
                    self.relay(index);
                }
            }
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts of a measurement")]
fn bytes(_: &mut Criterion) {
    println!("nodes endpoints | bytes/s sent per node: idle, loads, notice wave | knows");
    for (nodes, endpoints) in CLUSTER_SIZES {
        let mut simulation = Simulation::start(nodes);
        let rate = |simulation: &mut Simulation, endpoints, notices| {
            simulation.sent = 0;
            for notice in 0..notices {
                let host = format!("engine-{notice:04}").into();
                let now = simulation.now;
                simulation.views[notice % nodes].add_notice(
                    now,
                    Notice {
                        host,
                        incarnation: 1,
                    },
                );
                simulation.relay(notice % nodes);
            }
            simulation.run(Millis::from_secs(60), endpoints);
            simulation.sent as f64 / nodes as f64 / 60.0
        };
        let idle = rate(&mut simulation, 0, 0);
        let loads = rate(&mut simulation, endpoints, 0);
        let wave = rate(&mut simulation, endpoints, endpoints / 6);
        let known = simulation.views.iter().map(|v| v.available().count()).min();
        println!("{nodes:5} {endpoints:9} | {idle:6.0} {loads:6.0} {wave:6.0} | {known:?}");
    }
}

/// Prints the virtual time until a notice has reached all nodes.
fn notice_propagation(_: &mut Criterion) {
    for (nodes, _) in CLUSTER_SIZES {
        let mut simulation = Simulation::start(nodes);
        let host: std::sync::Arc<str> = "engine-0001".into();
        let notice = Notice {
            host,
            incarnation: 1,
        };
        let start = simulation.now;
        simulation.views[0].add_notice(start, notice.clone());
        simulation.relay(0);
        let mut missing = nodes;
        while missing > 0 && simulation.now - start < Millis::from_secs(60) {
            simulation.run(TICK_INTERVAL, 0);
            // A node lacks the notice if adding it reports that it is new. This changes the node,
            // so it runs on copies.
            let mut copies = simulation.views.clone();
            missing = copies
                .iter_mut()
                .filter_map(|v| v.add_notice(start, notice.clone()).then_some(()))
                .count();
        }
        println!(
            "{nodes:5} nodes: a notice reached all within {}",
            simulation.now - start
        );
    }
}

/// Prints the virtual time until all nodes know that the `control` stream has grown, when four
/// nodes of each failure domain long-poll the log.
fn stream_growth(_: &mut Criterion) {
    const DIRECT_READERS: usize = 4;
    for (nodes, _) in CLUSTER_SIZES {
        let mut simulation = Simulation::start(nodes);
        let start = simulation.now;
        for index in 0..nodes {
            if simulation.views[index].domain_rank() < DIRECT_READERS {
                simulation.ends[index] += 1;
            }
        }
        let direct = simulation.ends.iter().filter(|end| **end == 102).count();
        while simulation.ends.contains(&101) && simulation.now - start < Millis::from_secs(60) {
            simulation.run(TICK_INTERVAL, 0);
        }
        println!(
            "{nodes:5} nodes, {direct} at the log: growth known to all within {}",
            simulation.now - start
        );
    }
}

fn tick(criterion: &mut Criterion) {
    for (nodes, endpoints) in CLUSTER_SIZES {
        let mut simulation = Simulation::start(nodes);
        simulation.run(Millis::from_secs(10), endpoints);
        let probe: Message =
            simulation.views[1].build_message(simulation.now, Some("entry-0000"), header(101));
        let view = simulation.views[0].clone();
        let now = simulation.now + TICK_INTERVAL;
        criterion.bench_function(&format!("tick, {nodes} nodes"), |bencher| {
            bencher.iter_batched_ref(
                || (view.clone(), probe.clone()),
                |(view, probe)| {
                    // One outgoing probe, and the response to an incoming one.
                    let target = view.tick(now).expect("a known node");
                    let name = target.name.as_deref();
                    black_box(view.build_message(now, name, header(101)));
                    let sender = probe.header.incarnation;
                    view.receive(now, probe.clone());
                    black_box(view.build_response(now, sender, false, header(101)));
                },
                BatchSize::SmallInput,
            );
        });
    }
}

#[allow(missing_docs, reason = "defined by a macro")]
mod groups {
    use super::{bytes, notice_propagation, stream_growth, tick};
    criterion::criterion_group!(benches, bytes, notice_propagation, stream_growth, tick);
}
criterion_main!(groups::benches);
