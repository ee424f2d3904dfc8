//! The rate at which all nodes together send to an endpoint that is cold.

use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::gateway::capacity::Targets;
use almondpath::gateway::rollout::Versions;
use almondpath::gateway::{
    ColdLimit, ColdTolerance, Fleet, Identity, Pacing, Place, Query, Ramp, RegisterOutcome,
    Registration, choose,
};

const SERVICE: &str = "engines";

/// Wall time at which the tests begin.
const WALL: u64 = 1_796_000_000_000;

/// Time for which the endpoint is cold.
const COLD: Millis = Millis(4_000);

/// Most requests that a cold endpoint may get in any second.
fn bound(rate: f64, tolerance: ColdTolerance) -> usize {
    (rate * tolerance.overage + tolerance.slack) as usize
}

fn endpoint(id: &str, cold: Millis, sequence: u64) -> Registration {
    Registration {
        identity: Identity {
            id: id.into(),
            born: 1,
        },
        service: SERVICE.into(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        domain: "a".into(),
        version: "v1".into(),
        slots: 16,
        leaving: false,
        leaves_in: None,
        cold,
        spot: false,
        sequence,
    }
}

fn query(pacing: Pacing) -> Query<'static> {
    Query {
        service: SERVICE,
        domain: "a",
        prompt: None,
        versions: &Versions::All,
        sample_share: 1.0,
        tried: &[],
        max_connections: 100,
        pacing,
        targets: Targets {
            latency: Millis(600),
            gap: None,
        },
        draw: 1,
    }
}

/// A cluster in which each node always has a request for a cold endpoint.
struct Cluster {
    fleets: Vec<Fleet>,
    /// How many nodes each node counts.
    counted: Vec<usize>,
    /// How far the nodes' wall times differ.
    skew: Millis,
    limit: Option<ColdLimit>,
}

impl Cluster {
    fn new(nodes: usize, limit: Option<ColdLimit>) -> Self {
        let fleets = (0..nodes).map(|_| {
            let mut fleet = Fleet::default();
            fleet.register(endpoint("e0", COLD, 1), 0, Millis(0));
            fleet
        });
        Self {
            fleets: fleets.collect(),
            counted: vec![nodes; nodes],
            skew: Millis::ZERO,
            limit,
        }
    }

    /// Lets each node send from time to time as much as it may; returns when requests were sent.
    fn run(&mut self, idle_until: Millis) -> Vec<Millis> {
        let mut sent = Vec::new();
        for now in (idle_until.0..COLD.0).map(Millis) {
            for (index, fleet) in self.fleets.iter_mut().enumerate() {
                let skew = if index % 2 == 0 {
                    Millis::ZERO
                } else {
                    self.skew
                };
                let pacing = Pacing {
                    limit: self.limit,
                    place: Place {
                        index,
                        nodes: self.counted[index],
                    },
                    wall: Millis(WALL) + now + skew,
                };
                let Some(choice) = choose(fleet, &query(pacing), now) else {
                    continue;
                };
                let endpoint = fleet.get_mut(choice.key).expect("an endpoint");
                if endpoint.take_turn(choice.turn) {
                    sent.push(now);
                }
            }
        }
        sent
    }
}

/// Returns the most requests within any second.
fn most_in_a_second(sent: &[Millis]) -> usize {
    let within = |from: Millis| {
        sent.iter()
            .filter(move |at| **at >= from && **at < from + Millis(1_000))
    };
    sent.iter()
        .map(|from| within(*from).count())
        .max()
        .unwrap_or(0)
}

/// Guards against a cold endpoint that gets more from all nodes together than it tolerates, and
/// against one that is left idle.
#[test]
fn nodes_share_what_a_cold_endpoint_tolerates() {
    struct Case {
        name: &'static str,
        nodes: usize,
        rate: f64,
        tolerance: ColdTolerance,
        skew: Millis,
        idle_until: Millis,
    }
    let wide = ColdTolerance {
        overage: 1.5,
        slack: 5.0,
    };
    let case = |name, nodes, rate| Case {
        name,
        nodes,
        rate,
        tolerance: wide,
        skew: Millis::ZERO,
        idle_until: Millis::ZERO,
    };
    let cases = [
        case("one node", 1, 9.0),
        case("a few nodes", 3, 9.0),
        case("many nodes", 80, 9.0),
        case("as many as a large cluster has", 300, 9.0),
        case("a higher rate", 80, 50.0),
        case("less than one a second", 24, 0.5),
        Case {
            skew: Millis(100),
            ..case("clocks that differ", 80, 9.0)
        },
        Case {
            idle_until: Millis(2_000),
            ..case("no requests at first", 80, 9.0)
        },
        Case {
            tolerance: ColdTolerance::default(),
            ..case("no tolerance", 24, 9.0)
        },
    ];
    for case in cases {
        let limit = ColdLimit::new(case.rate, case.tolerance);
        let mut cluster = Cluster::new(case.nodes, limit);
        cluster.skew = case.skew;
        let sent = cluster.run(case.idle_until);
        let most = most_in_a_second(&sent);
        let bound = bound(case.rate, case.tolerance);
        assert!(most <= bound, "{}: {most} of {bound}", case.name);
        let time = (COLD - case.idle_until).as_f64() / 1_000.0;
        let least = (case.rate * time * 0.6) as usize;
        assert!(
            sent.len() >= least,
            "{}: {} of {least}",
            case.name,
            sent.len()
        );
    }
}

/// Guards against a bound that only holds while all nodes know each other.
#[test]
fn nodes_that_count_each_other_differently_stay_within_the_bound() {
    let tolerance = ColdTolerance {
        overage: 1.5,
        slack: 5.0,
    };
    let mut cluster = Cluster::new(80, ColdLimit::new(9.0, tolerance));
    for (index, counted) in cluster.counted.iter_mut().enumerate() {
        *counted = 80 + index % 5;
    }
    let most = most_in_a_second(&cluster.run(Millis::ZERO));
    let bound = bound(9.0, tolerance);
    assert!(most <= bound, "{most} of {bound}");
}

/// Guards against requests that are limited although the endpoint is not cold, or the service does not
/// call for it.
#[test]
fn only_cold_endpoints_of_a_limited_service_are_paced() {
    struct Case {
        name: &'static str,
        rate: f64,
        at: Millis,
        is_limited: bool,
    }
    let cases = [
        Case {
            name: "cold",
            rate: 1.0,
            at: Millis(100),
            is_limited: true,
        },
        Case {
            name: "no longer cold",
            rate: 1.0,
            at: COLD + Millis(100),
            is_limited: false,
        },
        Case {
            name: "without a limit",
            rate: 0.0,
            at: Millis(100),
            is_limited: false,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::default();
        fleet.register(endpoint("e0", COLD, 1), 0, Millis(0));
        let pacing = Pacing {
            limit: ColdLimit::new(case.rate, ColdTolerance::default()),
            place: Place::ALONE,
            wall: Millis(WALL),
        };
        let mut sent = 0;
        for _ in 0..10 {
            if let Some(choice) = choose(&fleet, &query(pacing), case.at) {
                let endpoint = fleet.get_mut(choice.key).expect("an endpoint");
                sent += usize::from(endpoint.take_turn(choice.turn));
            }
        }
        assert_eq!(sent < 10, case.is_limited, "{}: {sent}", case.name);
    }
}

/// Guards against an endpoint that becomes cold again unnoticed, by this node or those that it tells.
#[test]
fn an_endpoint_may_become_cold_at_any_time() {
    struct Case {
        name: &'static str,
        cold: Millis,
        is_news: bool,
        left: Millis,
    }
    let cases = [
        Case {
            name: "a heartbeat",
            cold: Millis::ZERO,
            is_news: false,
            left: Millis::ZERO,
        },
        Case {
            name: "cold again",
            cold: Millis(3_000),
            is_news: true,
            left: Millis(2_000),
        },
    ];
    for case in cases {
        let mut fleet = Fleet::default();
        fleet.register(endpoint("e0", Millis(500), 1), 0, Millis(0));
        let later = endpoint("e0", case.cold, 2);
        let outcome = fleet.register(later, 0, Millis(10_000));
        let is_news = matches!(outcome, RegisterOutcome::Changed(None));
        assert_eq!(is_news, case.is_news, "{}", case.name);
        let key = fleet.find("e0").expect("the endpoint");
        let known = fleet.get(key).expect("the endpoint");
        assert_eq!(known.cold_left(Millis(11_000)), case.left, "{}", case.name);
    }
}

/// Guards against nodes that take the same place.
#[test]
fn each_node_has_a_place_of_its_own() {
    let names: Vec<Arc<str>> = (0..12).map(|n| format!("node-{n}").into()).collect();
    let mut indices: Vec<_> = names
        .iter()
        .map(|own| {
            let others = names.iter().filter(|name| *name != own);
            let place = Place::among(own, others.map(|name| &**name));
            assert_eq!(place.nodes, names.len());
            place.index
        })
        .collect();
    indices.sort_unstable();
    assert_eq!(indices, (0..names.len()).collect::<Vec<_>>());
}

/// When an endpoint starts.
const START: Millis = Millis(10_000);

/// What the answers of an endpoint say while its pace grows.
#[derive(Clone, Copy)]
enum Answers {
    None,
    Idle,
    Queueing,
    Failed,
}

/// Returns when all nodes together sent requests, if each of them always has one. An answer arrives at
/// the node that sent the request, after 100 ms.
fn ramp_up(nodes: usize, slots: u32, answers: Answers) -> Vec<Millis> {
    let mut ramps = vec![Ramp::new(slots, START); nodes];
    let mut sent = Vec::new();
    let mut pending = Vec::new();
    for now in (0..1_000).map(|ms| START + Millis(ms)) {
        for (index, at) in pending
            .extract_if(.., |(_, at)| *at == now)
            .collect::<Vec<_>>()
        {
            let ramp: &mut Ramp = &mut ramps[index];
            match answers {
                Answers::None => {}
                Answers::Idle => ramp.record_answer(false, at),
                Answers::Queueing => ramp.record_answer(true, at),
                Answers::Failed => ramp.record_failure(at),
            }
        }
        for (index, ramp) in ramps.iter_mut().enumerate() {
            if ramp.admits(Place { index, nodes }, 7, now) {
                ramp.record_sent();
                sent.push(now);
                pending.push((index, now + Millis(100)));
            }
        }
    }
    sent
}

/// Guards against a new endpoint that is flooded, left idle, or paced by something else than its answers.
#[test]
fn the_pace_of_a_new_endpoint_follows_its_answers() {
    const SLOTS: u32 = 16;
    struct Case {
        name: &'static str,
        nodes: usize,
        answers: Answers,
        /// Requests of all nodes within 250 ms, and within a second, in which the pace of an idle endpoint
        /// is to become unlimited.
        first: std::ops::RangeInclusive<usize>,
        all: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case {
            name: "many nodes without an answer yet",
            nodes: 80,
            answers: Answers::None,
            first: 4..=8,
            all: 70..=100,
        },
        Case {
            name: "many nodes, idle",
            nodes: 80,
            answers: Answers::Idle,
            first: 4..=16,
            all: 300..=usize::MAX,
        },
        Case {
            name: "one node, idle",
            nodes: 1,
            answers: Answers::Idle,
            first: 4..=20,
            all: 300..=usize::MAX,
        },
        Case {
            name: "one node, with a queue",
            nodes: 1,
            answers: Answers::Queueing,
            first: 2..=8,
            all: 4..=40,
        },
        Case {
            name: "one node, failing",
            nodes: 1,
            answers: Answers::Failed,
            first: 2..=8,
            all: 4..=30,
        },
    ];
    for case in cases {
        let sent = ramp_up(case.nodes, SLOTS, case.answers);
        let first = sent.iter().filter(|at| **at < START + Millis(250)).count();
        assert!(
            case.first.contains(&first),
            "{}: {first} at first",
            case.name
        );
        assert!(
            case.all.contains(&sent.len()),
            "{}: {}",
            case.name,
            sent.len()
        );
    }
}

/// Guards against requests that are kept from new endpoints at the start of the day, or that go nowhere
/// since the only endpoint is new.
#[test]
fn an_endpoint_is_paced_only_beside_others() {
    struct Case {
        name: &'static str,
        /// When the endpoints register.
        registered: &'static [u64],
        chosen: &'static str,
    }
    let cases = [
        Case {
            name: "all are new",
            registered: &[0, 200],
            chosen: "e1",
        },
        Case {
            name: "one joins",
            registered: &[0, 10_000],
            chosen: "e0",
        },
        Case {
            name: "the only one",
            registered: &[10_000],
            chosen: "e0",
        },
    ];
    for case in cases {
        let mut fleet = Fleet::default();
        for (number, at) in case.registered.iter().enumerate() {
            let id = format!("e{number}");
            fleet.register(endpoint(&id, Millis::ZERO, 1), 0, Millis(*at));
        }
        let now = Millis(case.registered[case.registered.len() - 1] + 1);
        // The first endpoint is busy, so that the second one looks better.
        if case.registered.len() > 1 {
            let key = fleet.find("e0").expect("an endpoint");
            fleet.get_mut(key).expect("an endpoint").inflight = 40;
        }
        let pacing = Pacing {
            limit: None,
            place: Place {
                index: 0,
                nodes: 1_000,
            },
            wall: Millis(WALL),
        };
        let choice = choose(&fleet, &query(pacing), now).expect("an endpoint");
        let chosen = &fleet.get(choice.key).expect("an endpoint").registration;
        assert_eq!(&*chosen.identity.id, case.chosen, "{}", case.name);
    }
}
