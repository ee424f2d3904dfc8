//! What a node learns of the capacity of endpoints, and what it expects from it.

use almondpath::clock::Millis;
use almondpath::gateway::capacity::{
    Conditions, Contention, Estimate, Pauses, Profile, Regression, Sample, Slowness, Speeds,
    Targets,
};
use almondpath::gateway::{Identity, Load};

fn conditions(tokens: u64, outstanding: f64, scale: f64) -> Conditions {
    Conditions {
        tokens,
        backlog_ms: 0.0,
        outstanding,
        scale,
    }
}

/// Returns the profile learned from engines that need `token_us` for a prompt token.
fn profile(token_us: f64, request_ms: f64) -> Profile {
    let mut profile = Profile::default();
    for number in 0..600_u64 {
        let (tokens, outstanding) = (200 + number % 7 * 900, (number % 5) as f64 * 4.0);
        let scale = [0.6, 1.0, 1.6][number as usize % 3];
        let met = conditions(tokens, outstanding, scale);
        let work_ms = tokens as f64 * token_us / 1_000.0 + outstanding * request_ms;
        profile.record_first_event(met, Millis(((10.0 + work_ms) * scale) as u64));
        let pause_ms = (20.0 + outstanding * request_ms) * scale;
        profile.record_pauses(met, pause_ms, pause_ms * 3.0);
    }
    profile
}

/// Guards against limits on the speed of an engine: a kind that is new must be learned like any other.
#[test]
fn the_speed_of_any_kind_of_engine_is_learned() {
    struct Case {
        name: &'static str,
        token_us: f64,
        request_ms: f64,
    }
    let cases = [
        Case {
            name: "slow",
            token_us: 400.0,
            request_ms: 6.0,
        },
        Case {
            name: "usual",
            token_us: 20.0,
            request_ms: 1.5,
        },
        Case {
            name: "fast",
            token_us: 2.0,
            request_ms: 0.2,
        },
    ];
    for case in cases {
        let profile = profile(case.token_us, case.request_ms);
        let met = conditions(3_000, 10.0, 1.0);
        let expected = 10.0 + 3.0 * case.token_us + 10.0 * case.request_ms;
        let first_event = profile.first_event_ms(met);
        assert!(
            (first_event / expected - 1.0).abs() < 0.1,
            "{}: {first_event} instead of {expected}",
            case.name
        );
        let pause = profile.longest_pause_ms(met);
        let expected = 3.0 * (20.0 + 10.0 * case.request_ms);
        assert!((pause / expected - 1.0).abs() < 0.1, "{}", case.name);
    }
}

/// Guards against an endpoint that runs more requests than can keep their targets.
#[test]
fn the_room_of_an_endpoint_follows_from_the_targets() {
    let profile = profile(20.0, 2.0);
    let targets = |latency, gap: Option<u64>| Targets {
        latency: Millis(latency),
        gap: gap.map(Millis),
    };
    struct Case {
        name: &'static str,
        targets: Targets,
        scale: f64,
        least: u32,
        most: u32,
    }
    let cases = [
        Case {
            name: "the latency binds",
            targets: targets(130, None),
            scale: 1.0,
            least: 25,
            most: 35,
        },
        Case {
            name: "the pause binds",
            targets: targets(10_000, Some(120)),
            scale: 1.0,
            least: 8,
            most: 12,
        },
        Case {
            name: "a slow endpoint has less room",
            targets: targets(10_000, Some(120)),
            scale: 1.6,
            least: 1,
            most: 4,
        },
        Case {
            name: "a prompt that is late anyway",
            targets: targets(50, None),
            scale: 1.0,
            least: 0,
            most: 0,
        },
        Case {
            name: "the slots bind",
            targets: targets(10_000, None),
            scale: 1.0,
            least: 64,
            most: 64,
        },
    ];
    for case in cases {
        let met = conditions(3_000, 0.0, case.scale);
        let room = Estimate::room(&profile, met, case.targets, 64);
        let expected = case.least..=case.most;
        assert!(expected.contains(&room), "{}: room for {room}", case.name);
    }
}

/// Guards against a coefficient that one observation, or inputs that never vary, lead astray.
#[test]
fn a_regression_keeps_its_prior_where_nothing_was_observed() {
    let mut regression = Regression::new([10.0, 5.0], [1.0, 1.0]);
    for _ in 0..200 {
        regression.record([1.0, 0.0], 30.0);
    }
    let [constant, slope] = regression.coefficients();
    assert!((constant - 30.0).abs() < 1.0, "constant {constant}");
    assert!((slope - 5.0).abs() < 1e-6, "slope {slope}");
}

/// Guards against a reading of the host's contention that counts long after the host was released.
#[test]
fn a_reading_of_contention_loses_its_weight() {
    let reading = Contention {
        factor: 2.5,
        at: Millis(1_000),
    };
    assert!((reading.expected(1.2, Millis(1_000)) - 2.5).abs() < 1e-9);
    let later = reading.expected(1.2, Millis(1_300));
    assert!(later > 1.5 && later < 2.0, "{later}");
    assert!(reading.expected(1.2, Millis(4_000)) < 1.21);
}

/// Guards against pauses that are measured across the arrival of several events at once.
#[test]
fn pauses_are_split_into_the_usual_and_the_longest() {
    struct Case {
        name: &'static str,
        arrivals: &'static [(u64, usize)],
        usual: Option<f64>,
        longest: Option<f64>,
    }
    let cases = [
        Case {
            name: "one event",
            arrivals: &[(100, 1)],
            usual: None,
            longest: None,
        },
        Case {
            name: "one pause",
            arrivals: &[(100, 1), (130, 1)],
            usual: None,
            longest: Some(30.0),
        },
        Case {
            name: "a stall",
            arrivals: &[(100, 1), (120, 1), (420, 1), (440, 1)],
            usual: Some(20.0),
            longest: Some(300.0),
        },
        Case {
            name: "two at once",
            arrivals: &[(100, 1), (140, 2), (160, 1)],
            usual: Some(10.0),
            longest: Some(40.0),
        },
    ];
    for case in cases {
        let mut pauses = Pauses::default();
        for (at, events) in case.arrivals {
            pauses.record(*events, Millis(*at));
        }
        assert_eq!(pauses.usual_ms(), case.usual, "{}", case.name);
        assert_eq!(pauses.longest_ms(), case.longest, "{}", case.name);
    }
}

/// Guards against nodes that each have to learn every endpoint by themselves, also after a restart.
#[test]
fn nodes_learn_the_speeds_that_they_measured_together() {
    let identity = |number: u64| Identity {
        id: format!("e{number}").into(),
        born: 1,
    };
    let mut collector = Speeds::default();
    let mut node = Speeds::default();
    for number in 0..90 {
        let slowness = [0.625, 1.0, 1.6][number as usize % 3];
        for _ in 0..20 {
            collector.merge(&[Sample::new(&identity(number), slowness)]);
        }
    }
    let changes = collector.changes_since(node.position().1);
    assert_eq!(changes.samples.len(), 90);
    node.adopt(&changes.samples, (7, changes.until));
    for number in 0..90 {
        let hash = Sample::hash(&identity(number));
        let slowness = [0.625, 1.0, 1.6][number as usize % 3];
        let agreed = node.agreed(hash).expect("a speed");
        assert!(
            (agreed / slowness).ln().abs() < 0.15,
            "{agreed} instead of {slowness}"
        );
        assert_eq!(collector.agreed(hash), node.agreed(hash));
    }
    assert!(collector.changes_since(changes.until).samples.is_empty());
    let restarted = Identity {
        born: 2,
        ..identity(3)
    };
    assert_eq!(node.agreed(Sample::hash(&restarted)), None);
}

/// Guards against speeds that one stalled response overthrows, and against an endpoint that stays slow
/// in the books.
#[test]
fn slowness_follows_what_most_responses_show() {
    let mut slowness = Slowness::default();
    slowness.record_shared(0.6);
    slowness.record(30.0);
    assert!(slowness.expected() < 1.2, "{}", slowness.expected());
    for _ in 0..40 {
        slowness.record(3.0);
    }
    assert!(slowness.expected() > 2.0, "{}", slowness.expected());
    for _ in 0..60 {
        slowness.record(0.6);
    }
    assert!(slowness.expected() < 0.8, "{}", slowness.expected());
}

/// Guards against a report that no endpoint can mean, which would hide what the others report for long.
#[test]
fn absurd_reports_are_bounded() {
    let load = Load {
        running: u32::MAX,
        waiting: 1,
        slots: 8,
        contention: Some(u32::MAX),
    };
    assert_eq!(load.requests(), u32::MAX);
    assert_eq!(load.contention(), Some(100.0));
}
