//! The rollout policy: its error rates, what counts as evidence, and the seeded simulation.

use almondpath::clock::Millis;
use almondpath::document::Document;
use almondpath::log::Offset;
use almondpath::questionnaire::{Answers, Generated};
use almondpath::rollout::simulation::Row;
use almondpath::rollout::{
    Arm, Detector, Exposure, Metric, Monitor, Outcome, Plan, Stage, Stratum, Thresholds,
    choose_version, endpoints_in_use, simulation,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OK: Outcome = Outcome::Answered {
    first: Millis(100),
    gap_us: 10_000,
};
const SLOW: Outcome = Outcome::Answered {
    first: Millis(900),
    gap_us: 10_000,
};

fn monitor() -> Monitor {
    let thresholds = Thresholds {
        first_ms: Millis(200),
        gap_us: 20_000,
    };
    let routes = vec![
        ("question".into(), thresholds),
        ("summary".into(), thresholds),
    ];
    Monitor::new(Offset(7), "v2".into(), routes, Millis::from_secs(600))
}

/// Returns the share of rollouts in the weights that result from the answers of a questionnaire.
fn rollout_share(answers: &str) -> f64 {
    let document = Document::parse("answers.yaml", answers).expect("valid YAML");
    let answers = Answers::from_document(&document).expect("valid answers");
    Generated::new(&answers).config.weights.rollout_share()
}

/// Guards against a change of the sequential test, the stages or the exchange between nodes by
/// which the policy misses its targets, with equal weights and with those of both deployments.
#[test]
fn simulated_rollouts_meet_the_targets() {
    let ikeja = rollout_share(include_str!("../../examples/ikeja/answers.yaml"));
    let canelones = rollout_share(include_str!("../../examples/canelones/answers.yaml"));
    for weight in [0.5, ikeja, canelones] {
        let table = simulation::run_weighted(1, 252, weight);
        println!("weight of rollouts {weight}\n{table}");
        if weight == 0.5 {
            assert_eq!(table.rows(), simulation::run(1, 252).rows());
        }
        assert_targets(&table.rows());
    }
}

fn sequential<'a>(rows: &'a [Row], fault: &str) -> &'a Row {
    let found = rows
        .iter()
        .find(|r| r.policy == "sequential" && r.fault == fault);
    found.expect("the row exists")
}

fn assert_targets(rows: &[Row]) {
    let (good, bad) = (sequential(rows, "all good"), sequential(rows, "all bad"));
    assert!(good.rollouts + bad.rollouts >= 200);
    assert!(good.done * 100 >= good.rollouts * 95);
    assert!(good.rolled_back * 100 < good.rollouts * 2);
    assert_eq!(bad.rolled_back, bad.rollouts);
    assert!(bad.worst_exposed_percent <= 2.0);
    assert!(bad.worst_after_percent < 0.1);
    assert_eq!(bad.late, 0);
}

/// Guards against a weight of rollouts that has no effect, and against a change of the default plan
/// by equal weights.
#[test]
fn the_weight_of_rollouts_sets_stages_and_evidence() {
    struct Case {
        share: f64,
        /// Budgets of the first two stages and share of the third.
        stages: (u32, u32, f64),
    }
    let cases = [
        Case {
            share: 0.0,
            stages: (128, 400, 0.4),
        },
        Case {
            share: 0.5,
            stages: (64, 200, 0.2),
        },
        Case {
            share: 1.0,
            stages: (32, 100, 0.1),
        },
    ];
    for case in cases {
        let plan = Plan::weighted(case.share);
        let stage = |number| plan.stage(number).expect("the stage exists");
        let budget = |number| stage(number).budget.expect("it is bounded");
        let stages = (budget(0), budget(1), stage(2).share);
        assert_eq!(stages, case.stages, "{}", case.share);
        assert_eq!(plan.last(), Plan::default().last());
    }
    assert_eq!(Plan::weighted(0.5), Plan::default());
    // With a higher weight of rollouts, fewer requests are exposed to a bad version, and a good one
    // takes longer to be done.
    let rows = [0.0, 1.0].map(|share| simulation::run_weighted(1, 252, share).rows());
    let [low, high] = [&rows[0], &rows[1]];
    let exposed = |rows| sequential(rows, "all bad").exposed_percent;
    let after = |rows| sequential(rows, "all good").done_after_percent;
    assert!(exposed(high) < exposed(low));
    assert!(after(high) > after(low));
}

fn draw_events(rng: &mut SmallRng, requests: u32, rate: f64) -> u32 {
    (0..requests)
        .map(|_| u32::from(rng.random_bool(rate)))
        .sum()
}

/// Guards against a wrong normalizer or threshold, which would trip tolerable versions or miss
/// harmful ones. The event rate of both versions changes in every period.
#[test]
fn the_detector_keeps_its_error_rates() {
    struct Case {
        metric: Metric,
        odds: f64,
        /// Accepted number of trips out of 1,000 runs.
        trips: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        // The expected number is at most 10 of 1,000; more than 22 have a probability below 0.001.
        (
            Metric::Failures,
            Metric::Failures.tolerated_odds_ratio(),
            0..=22,
        ),
        (
            Metric::FirstToken,
            Metric::FirstToken.tolerated_odds_ratio(),
            0..=22,
        ),
        (Metric::Failures, 12.0, 990..=1_000),
        (Metric::TokenGap, 8.0, 990..=1_000),
    ];
    let mut rng = SmallRng::seed_from_u64(11);
    for (metric, odds, trips) in cases {
        let case = Case {
            metric,
            odds,
            trips,
        };
        let mut count = 0;
        for _ in 0..1_000 {
            let mut detector = Detector::new(case.metric, 100, 0.01);
            let tripped = (0..100).any(|_| {
                let old = rng.random_range(0.02..0.3);
                let new = case.odds * old / (1.0 - old + case.odds * old);
                detector.push(Stratum {
                    new: 10,
                    new_events: draw_events(&mut rng, 10, new),
                    old: 10,
                    old_events: draw_events(&mut rng, 10, old),
                })
            });
            count += u32::from(tripped);
        }
        assert!(
            case.trips.contains(&count),
            "{:?} with odds {}: {count} of 1,000 tripped",
            case.metric,
            case.odds
        );
    }
}

/// Guards against reclaimed hosts that count as evidence against a version, and against crashes of
/// a version that are mistaken for lost hosts.
#[test]
fn lost_hosts_do_not_count_but_crashes_do() {
    struct Case {
        name: &'static str,
        outcome: Outcome,
        reported_at: Option<u64>,
        trips: bool,
    }
    let cases = [
        Case {
            name: "host lost, reported in time",
            outcome: Outcome::Unreachable,
            reported_at: Some(2_000),
            trips: false,
        },
        Case {
            name: "host never reported lost",
            outcome: Outcome::Unreachable,
            reported_at: None,
            trips: true,
        },
        Case {
            name: "errors of a host that is lost later",
            outcome: Outcome::Failed,
            reported_at: Some(2_000),
            trips: true,
        },
        Case {
            name: "cancelled by callers",
            outcome: Outcome::Inconclusive,
            reported_at: None,
            trips: false,
        },
        Case {
            name: "slow while hosts are missing",
            outcome: SLOW,
            reported_at: Some(0),
            trips: false,
        },
        Case {
            name: "slow with all hosts",
            outcome: SLOW,
            reported_at: None,
            trips: true,
        },
        Case {
            name: "healthy",
            outcome: OK,
            reported_at: None,
            trips: false,
        },
    ];
    for case in cases {
        let mut monitor = monitor();
        let mut tripped = false;
        for now in (0..8_000).step_by(100).map(Millis) {
            if case.reported_at == Some(now.0) {
                monitor.host_lost(100, now);
            }
            monitor.record(0, Arm::New, case.outcome, 100, now);
            monitor.record(0, Arm::Old, OK, 1, now);
            tripped |= monitor.tick(now).is_some();
        }
        assert_eq!(tripped, case.trips, "{}", case.name);
    }
}

/// Guards against evidence that is counted twice when reports are repeated or late, and against
/// evidence that is lost when a node restarts.
#[test]
fn repeated_and_late_reports_are_counted_once() {
    let mut sender = monitor();
    let mut receiver = monitor();
    let name = "node-1".into();
    let mut sent = Vec::new();
    for _ in 0..5 {
        for _ in 0..4 {
            sender.record(0, Arm::New, OK, 1, Millis::ZERO);
            sender.record(1, Arm::Old, Outcome::Failed, 1, Millis::ZERO);
        }
        sent.push(sender.report(1));
    }
    for index in [0, 2, 2, 1, 4, 3, 4, 0] {
        receiver.merge(&name, &sent[index]);
    }
    receiver.tick(Millis(500));
    assert_eq!(receiver.stage_counters()[0].new.requests, 20);
    assert_eq!(receiver.stage_counters()[1].old.failures, 20);

    let mut restarted = monitor();
    restarted.record(0, Arm::New, OK, 1, Millis::ZERO);
    receiver.merge(&name, &restarted.report(2));
    receiver.tick(Millis(1_000));
    assert_eq!(receiver.stage_counters()[0].new.requests, 21);
}

/// Guards against a first stage that is not bounded by a number of requests, so that it exposes
/// many under heavy load, and against faults under load that only a full rollout would reveal.
#[test]
fn first_stages_are_bounded_in_requests() {
    let stage = Stage {
        share: 0.5,
        budget: Some(64),
    };
    let mut sent = [0_u32; 8];
    let mut rng = SmallRng::seed_from_u64(3);
    for index in 0..10_000 {
        let node = index % 8;
        let exposure = Exposure {
            stage: Some(stage),
            sent: sent[node],
            suspicion: 0.0,
            nodes: 8,
        };
        let arm = choose_version(&exposure, rng.random());
        sent[node] += u32::from(arm == Arm::New);
    }
    assert_eq!(sent.iter().sum::<u32>(), 64);
    let none = Exposure {
        stage: None,
        sent: 0,
        suspicion: 0.0,
        nodes: 8,
    };
    assert_eq!(choose_version(&none, 0.0), Arm::Old);
    for (share, endpoints, expected) in [
        (0.02, 5, 1),
        (0.2, 5, 1),
        (0.67, 5, 4),
        (1.0, 5, 5),
        (0.5, 0, 0),
    ] {
        assert_eq!(endpoints_in_use(share, endpoints), expected);
    }
}
