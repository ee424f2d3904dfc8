//! The pace of requests to an endpoint that joins others or recovers.

use almondpath::clock::Millis;
use almondpath::gateway::{Endpoint, Fleet, Load, Pacing, Place, Ramp, choose};

use crate::gateway_pace::{WALL, endpoint, query};

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

/// Guards against an endpoint that is paced again for good, long after it joined, because some of its
/// responses report failures or a queue.
#[test]
fn a_pace_that_has_ended_stays_ended() {
    struct Case {
        name: &'static str,
        /// What the node hears of the endpoint a minute after it joined.
        respond: fn(&mut Endpoint, Millis),
    }
    let cases = [
        Case {
            name: "a failure",
            respond: |endpoint, now| endpoint.record_response(true, now),
        },
        Case {
            name: "a queue",
            respond: |endpoint, now| {
                let load = Load {
                    waiting: 3,
                    ..Load::default()
                };
                endpoint.record_load(load, now);
            },
        },
    ];
    for case in cases {
        let mut fleet = Fleet::default();
        fleet.register(endpoint("e0", Millis::ZERO, 1), 0, Millis(0));
        fleet.register(endpoint("e1", Millis::ZERO, 1), 0, START);
        let key = fleet.find("e1").expect("the endpoint");
        let joined = fleet.get_mut(key).expect("the endpoint");
        let pacing = Pacing {
            limit: None,
            place: Place {
                index: 0,
                nodes: 1_000,
            },
            wall: Millis(WALL),
        };
        assert!(pacing.ramp_penalty_ms(joined, START) > 0.0, "{}", case.name);
        let later = START + Millis::from_secs(60);
        for responses in 0..400 {
            let now = later + Millis(responses * 150);
            (case.respond)(joined, now);
            assert_eq!(pacing.ramp_penalty_ms(joined, now), 0.0, "{}", case.name);
        }
    }
}
