//! The rate at which all nodes together send to an endpoint that is cold.

use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::gateway::capacity::Targets;
use almondpath::gateway::rollout::Versions;
use almondpath::gateway::{
    ColdLimit, ColdTolerance, Fleet, Identity, Pacing, Place, Query, RegisterOutcome, Registration,
    choose,
};

const SERVICE: &str = "engines";

/// Wall time at which the tests begin.
pub(crate) const WALL: u64 = 1_796_000_000_000;

/// Time for which the endpoint is cold.
const COLD: Millis = Millis(4_000);

/// Most requests that a cold endpoint may get in any second.
fn bound(rate: f64, tolerance: ColdTolerance) -> usize {
    (rate * tolerance.overage + tolerance.slack) as usize
}

pub(crate) fn endpoint(id: &str, cold: Millis, sequence: u64) -> Registration {
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

pub(crate) fn query(pacing: Pacing) -> Query<'static> {
    Query {
        service: SERVICE,
        domain: "a",
        prompt: None,
        versions: &Versions::All,
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

/// Guards against a cold endpoint that gets nothing any more, because its rate was lowered after this node
/// had taken a turn.
#[test]
fn a_lowered_rate_leaves_turns() {
    let mut fleet = Fleet::default();
    fleet.register(endpoint("e0", COLD, 1), 0, Millis(0));
    let mut send = |rate, now| {
        let pacing = Pacing {
            limit: ColdLimit::new(rate, ColdTolerance::default()),
            place: Place::ALONE,
            wall: Millis(WALL) + now,
        };
        let choice = choose(&fleet, &query(pacing), now);
        choice.is_some_and(|choice| {
            let endpoint = fleet.get_mut(choice.key).expect("an endpoint");
            endpoint.take_turn(choice.turn)
        })
    };
    let sent = |from: u64, until: u64, rate, send: &mut dyn FnMut(f64, Millis) -> bool| {
        (from..until).filter(|at| send(rate, Millis(*at))).count()
    };
    assert!(sent(0, 1_000, 20.0, &mut send) > 0);
    assert!(sent(1_000, 3_000, 4.0, &mut send) > 0);
}

/// Guards against one request too many where a node takes a turn late and the next one on time.
#[test]
fn turns_at_low_rates_stay_within_the_bound() {
    // The tolerance is the least one in which the whole rate is in force.
    for rate in [0.5, 1.2, 1.9, 2.1, 3.1] {
        let tolerance = ColdTolerance {
            overage: 1.25,
            slack: 1.0,
        };
        for first in (0..2_000).step_by(7).map(Millis) {
            let mut cluster = Cluster::new(1, ColdLimit::new(rate, tolerance));
            let most = most_in_a_second(&cluster.run(first));
            let allowed = bound(rate, tolerance);
            assert!(most <= allowed, "{rate} from {first}: {most} of {allowed}");
        }
    }
}

/// Guards against an endpoint that stays cold because its entry is learned once more.
#[test]
fn an_entry_that_is_known_does_not_make_an_endpoint_cold_again() {
    let mut fleet = Fleet::default();
    fleet.register(endpoint("e0", COLD, 1), 0, Millis(0));
    fleet.register(endpoint("e0", COLD, 1), 0, Millis(3_000));
    let key = fleet.find("e0").expect("the endpoint");
    let known = fleet.get(key).expect("the endpoint");
    assert_eq!(known.cold_left(Millis(3_000)), Millis(1_000));
}
