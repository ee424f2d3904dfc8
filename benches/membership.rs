//! Cost of the membership state per node at several numbers of nodes: time per tick and bytes per
//! second. It drives the pure state of all nodes in virtual time, without connections.

use std::hint::black_box;
use std::net::SocketAddr;

use almondpath::clock::Millis;
use almondpath::log::Offset;
use almondpath::membership::{
    Demand, Header, Load, Member, Message, Notice, State, TICK, Target, View, short_hash,
};
use almondpath::peer::encoded_bytes;
use criterion::{BatchSize, Criterion, criterion_main};

const SIZES: [(usize, usize); 3] = [(8, 13), (64, 100), (370, 600)];
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Frames of the RPC protocol around a probe: the call and its end, and the answer.
const ASK_FRAME_BYTES: usize = 112 + 48;
const ANSWER_FRAME_BYTES: usize = 72;

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

/// All nodes, each with its address.
struct World {
    views: Vec<View>,
    /// Up to which offset each node knows the `control` stream.
    ends: Vec<u64>,
    index: std::collections::HashMap<SocketAddr, usize>,
    now: Millis,
    sent: usize,
    exchanges: usize,
}

impl World {
    /// Starts all nodes with the first eight as seeds, and waits until they know each other.
    fn start(nodes: usize) -> Self {
        let seeds: Vec<_> = (0..8).map(|index| member(index).peer).collect();
        let views = (0..nodes).map(|index| View::new(member(index), seeds.clone(), index as u64));
        let mut world = Self {
            views: views.collect(),
            ends: vec![101; nodes],
            index: (0..nodes)
                .map(|index| (member(index).peer, index))
                .collect(),
            now: Millis(0),
            sent: 0,
            exchanges: 0,
        };
        world.run(Millis::from_secs(120), 0);
        world
    }

    fn exchange(&mut self, from: usize, target: &Target) -> bool {
        let to = self.index[&target.address];
        let ask = self.views[from].build_message(
            self.now,
            target.name.as_deref(),
            header(self.ends[from]),
        );
        self.sent += encoded_bytes(&ask) + ASK_FRAME_BYTES;
        self.exchanges += 1;
        let (sender, joining) = (ask.header.incarnation, ask.header.joining);
        let urgent = self.views[to].receive(self.now, ask).urgent;
        let answer =
            self.views[to].build_response(self.now, sender, joining, header(self.ends[to]));
        self.sent += encoded_bytes(&answer) + ANSWER_FRAME_BYTES;
        let back = self.views[from].receive_response(self.now, answer).urgent;
        // A node reads the stream as soon as it hears that it has grown.
        let end = self.ends[from].max(self.ends[to]);
        (self.ends[from], self.ends[to]) = (end, end);
        if urgent {
            self.relay(to);
        }
        back
    }

    fn relay(&mut self, from: usize) {
        for target in self.views[from].relay_targets(self.now) {
            if self.exchange(from, &target) {
                self.relay(from);
            }
        }
    }

    /// Lets all nodes tick for some time, while all `endpoints` change their load twice a second.
    fn run(&mut self, time: Millis, endpoints: usize) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
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
    for (nodes, endpoints) in SIZES {
        let mut world = World::start(nodes);
        let rate = |world: &mut World, endpoints, notices| {
            world.sent = 0;
            for notice in 0..notices {
                let host = format!("engine-{notice:04}").into();
                let now = world.now;
                world.views[notice % nodes].add_notice(
                    now,
                    Notice {
                        host,
                        incarnation: 1,
                    },
                );
                world.relay(notice % nodes);
            }
            world.run(Millis::from_secs(60), endpoints);
            world.sent as f64 / nodes as f64 / 60.0
        };
        let idle = rate(&mut world, 0, 0);
        let loads = rate(&mut world, endpoints, 0);
        let wave = rate(&mut world, endpoints, endpoints / 6);
        let known = world.views.iter().map(|v| v.available().count()).min();
        println!("{nodes:5} {endpoints:9} | {idle:6.0} {loads:6.0} {wave:6.0} | {known:?}");
    }
}

/// Prints the virtual time until a notice has reached all nodes.
fn spread(_: &mut Criterion) {
    for (nodes, _) in SIZES {
        let mut world = World::start(nodes);
        let host: std::sync::Arc<str> = "engine-0001".into();
        let notice = Notice {
            host,
            incarnation: 1,
        };
        let start = world.now;
        world.views[0].add_notice(start, notice.clone());
        world.relay(0);
        let mut missing = nodes;
        while missing > 0 && world.now - start < Millis::from_secs(60) {
            world.run(TICK, 0);
            // A notice that is new to a node has not reached it; asking makes it known there.
            let mut copies = world.views.clone();
            missing = copies
                .iter_mut()
                .filter_map(|v| v.add_notice(start, notice.clone()).then_some(()))
                .count();
        }
        println!(
            "{nodes:5} nodes: a notice reached all within {}",
            world.now - start
        );
    }
}

/// Prints the virtual time until all nodes have heard that the `control` stream has grown, when
/// four nodes of each failure domain wait at the log for its records.
fn growth(_: &mut Criterion) {
    const DIRECT_READERS: usize = 4;
    for (nodes, _) in SIZES {
        let mut world = World::start(nodes);
        let start = world.now;
        for index in 0..nodes {
            if world.views[index].domain_rank() < DIRECT_READERS {
                world.ends[index] += 1;
            }
        }
        let direct = world.ends.iter().filter(|end| **end == 102).count();
        while world.ends.contains(&101) && world.now - start < Millis::from_secs(60) {
            world.run(TICK, 0);
        }
        println!(
            "{nodes:5} nodes, {direct} at the log: growth known to all within {}",
            world.now - start
        );
    }
}

fn tick(criterion: &mut Criterion) {
    for (nodes, endpoints) in SIZES {
        let mut world = World::start(nodes);
        world.run(Millis::from_secs(10), endpoints);
        let ask: Message = world.views[1].build_message(world.now, Some("entry-0000"), header(101));
        let view = world.views[0].clone();
        let now = world.now + TICK;
        criterion.bench_function(&format!("tick, {nodes} nodes"), |bencher| {
            bencher.iter_batched_ref(
                || (view.clone(), ask.clone()),
                |(view, ask)| {
                    // One probe that is sent and one that is answered.
                    let target = view.tick(now).expect("a known node");
                    let name = target.name.as_deref();
                    black_box(view.build_message(now, name, header(101)));
                    let sender = ask.header.incarnation;
                    view.receive(now, ask.clone());
                    black_box(view.build_response(now, sender, false, header(101)));
                },
                BatchSize::SmallInput,
            );
        });
    }
}

#[allow(missing_docs, reason = "defined by a macro")]
mod groups {
    use super::{bytes, growth, spread, tick};
    criterion::criterion_group!(benches, bytes, spread, growth, tick);
}
criterion_main!(groups::benches);
