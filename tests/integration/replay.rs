//! Targets of admission, routing and retries under load, checked by replays in virtual time.

use std::path::Path;
use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::config::Class;
use almondpath::replay::{
    Account, Endpoint, Header, Options, Outcome, Replay, Request, SharedPrefix, Trace,
};
use almondpath::replay::{Reclaim, compare};
use almondpath::routing::Policy;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Requests of one account and class in a synthetic trace.
#[derive(Clone, Copy)]
struct Workload {
    account: &'static str,
    class: Class,
    /// Mean arrival rate.
    requests_per_s: f64,
    /// Prompt blocks that all requests of the workload with the same prefix share.
    blocks: u32,
    /// Number of different prefixes.
    prefixes: u64,
    /// Minimum number of output tokens; up to 49 are added at random, as to the prompt.
    min_output: u32,
    deadline: Millis,
}

const SHORT: Workload = Workload {
    account: "ada",
    class: Class::Interactive,
    requests_per_s: 10.0,
    blocks: 4,
    prefixes: 40,
    min_output: 40,
    deadline: Millis(10_000),
};

const LONG: Workload = Workload {
    account: "reviews",
    class: Class::Long,
    requests_per_s: 1.0,
    blocks: 100,
    prefixes: 40,
    min_output: 300,
    deadline: Millis(60_000),
};

/// Returns a trace with Poisson arrivals of these workloads.
fn synthetic_trace(engines: usize, seconds: f64, workloads: &[Workload]) -> Trace {
    let mut requests = Vec::new();
    for (index, workload) in workloads.iter().enumerate() {
        // Each workload has its own generator, so that adding a workload does not change the others.
        let mut rng = SmallRng::seed_from_u64(index as u64);
        let mut at = 0.0;
        while at < seconds {
            at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / workload.requests_per_s;
            let prefix = rng.random_range(0..workload.prefixes);
            requests.push((at, prefix, index, rng.random_range(0..50), workload));
        }
    }
    requests.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut first_use = std::collections::HashMap::new();
    let requests = requests.iter().enumerate();
    let requests = requests.map(|(n, (at, prefix, index, extra, workload))| {
        let n = n as u64;
        let first = *first_use.entry((*index, *prefix)).or_insert(n);
        Request {
            n,
            at_ms: Millis((at * 1_000.0) as u64),
            account: workload.account.into(),
            route: format!("{}-{:?}", workload.account, workload.class).into(),
            service: "text".into(),
            class: workload.class,
            idempotent: true,
            deadline_ms: workload.deadline,
            prompt_tokens: workload.blocks * 64 + 10 + extra,
            blocks: workload.blocks,
            shared: (first != n).then_some(SharedPrefix {
                n: first,
                blocks: workload.blocks,
            }),
            output_tokens: Some(workload.min_output + extra),
        }
    });
    let mut accounts: Vec<Arc<str>> = workloads.iter().map(|w| w.account.into()).collect();
    accounts.dedup();
    Trace {
        header: Header::new("test".into()),
        accounts: accounts
            .into_iter()
            .map(|name| Account { name, weight: 1.0 })
            .collect(),
        endpoints: (0..engines)
            .map(|n| Endpoint {
                name: format!("engine-{n}").into(),
                service: "text".into(),
                domain: ["a", "b", "c"][n % 3].into(),
                price: 1.0,
            })
            .collect(),
        requests: requests.collect(),
        reclaims: Vec::new(),
    }
}

/// Loads a trace of the repository.
fn load_trace(name: &str) -> Trace {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("traces")
        .join(name);
    Trace::load(&path).expect("the trace is valid")
}

/// Returns the 95th percentile of the time from arrival to the last token.
fn p95_total_ms(outcome: &Outcome, account: Option<&str>, class: Class) -> f64 {
    let row = outcome
        .row(account, Some(class))
        .expect("the class has requests");
    row.total_ms.p95
}

fn run(trace: &Trace, options: Options) -> Outcome {
    Replay::new(trace, options).run()
}

/// Guards against a collapse under overload: endpoints spend their capacity on requests that then
/// miss their deadlines, and goodput drops.
#[test]
fn goodput_holds_at_twice_the_capacity() {
    // 60 short requests per second with 40 to 89 output tokens and one long one are about twice the
    // capacity.
    let short = |account| Workload {
        account,
        requests_per_s: 30.0,
        ..SHORT
    };
    let workloads = [
        short("ada"),
        short("ben"),
        Workload {
            requests_per_s: 1.0,
            ..LONG
        },
    ];
    let overload = synthetic_trace(4, 200.0, &workloads);
    let mut unbounded = overload.clone();
    for request in &mut unbounded.requests {
        request.deadline_ms = Millis::from_secs(100_000);
    }
    let mut options = Options {
        engines: Some(4),
        ..Options::default()
    };
    options.admission.account_queue = usize::MAX;
    options.admission.node_queue = usize::MAX;
    let capacity = run(&unbounded, options);
    let overloaded = run(&overload, Options::default());
    let offered_load = capacity.seconds / 200.0;
    assert!(
        offered_load > 1.8,
        "the load is only {offered_load} times the capacity"
    );
    let ratio = overloaded.rows[0].goodput * overloaded.seconds / 200.0 / capacity.rows[0].goodput;
    assert!(ratio >= 0.9, "goodput is {ratio} of that at capacity");
}

/// Guards against interactive requests that wait behind long ones.
#[test]
fn short_requests_stay_fast_beside_long_ones() {
    let short = Workload {
        requests_per_s: 20.0,
        ..SHORT
    };
    let alone = run(&synthetic_trace(10, 120.0, &[short]), Options::default());
    let beside = run(
        &synthetic_trace(
            10,
            120.0,
            &[
                short,
                Workload {
                    requests_per_s: 4.0,
                    ..LONG
                },
            ],
        ),
        Options::default(),
    );
    let [alone, beside] =
        [alone, beside].map(|o| p95_total_ms(&o, Some("ada"), Class::Interactive));
    assert!(
        beside <= alone * 1.2,
        "p95 {beside} ms beside long requests, {alone} ms alone"
    );
}

/// Guards against an account whose burst of requests slows down the other accounts.
#[test]
fn a_burst_of_one_account_does_not_slow_down_the_others() {
    let workload = |account, requests_per_s| Workload {
        account,
        requests_per_s,
        ..SHORT
    };
    let workloads = |burst_per_s| {
        [
            workload("ada", 15.0),
            workload("ben", 15.0),
            workload("cleo", 15.0),
            workload("dan", burst_per_s),
        ]
    };
    let baseline = run(
        &synthetic_trace(10, 120.0, &workloads(15.0)),
        Options::default(),
    );
    let burst = run(
        &synthetic_trace(10, 120.0, &workloads(200.0)),
        Options::default(),
    );
    for account in ["ada", "ben", "cleo"] {
        let [baseline, during_burst] =
            [&baseline, &burst].map(|o| p95_total_ms(o, Some(account), Class::Interactive));
        assert!(
            during_burst < baseline * 1.1,
            "{account}: p95 {during_burst} ms during the burst, {baseline} ms without"
        );
    }
}

/// Guards against routing that misses prefix caches, so that prompts are recomputed and the latency
/// target needs a larger fleet.
#[test]
fn the_ikeja_trace_costs_less_than_with_least_outstanding() {
    let trace = load_trace("ikeja-heldout.jsonl");
    let policies = [Policy::Expected, Policy::LeastOutstanding];
    let [expected, least] = &compare(&trace, Options::default(), &policies)[..] else {
        panic!("two policies are compared");
    };
    let [expected_tokens, least_tokens] = [expected, least].map(|c| c.outcome.recomputed_tokens);
    assert!(
        expected_tokens * 2 <= least_tokens,
        "recomputed {expected_tokens} tokens, {least_tokens} with least outstanding"
    );
    let expected_cost = expected.cost_at_target.expect("a fleet meets the target");
    // When no fleet tried meets the target, the cost of the largest is a lower bound.
    let least_cost = least
        .cost_at_target
        .unwrap_or(trace.endpoints.len() as f64 * 3.0);
    assert!(
        expected_cost <= least_cost * 0.75,
        "cost {expected_cost}, {least_cost} with least outstanding"
    );
}

/// Guards against herding, where all nodes send to the same endpoint because they see the same
/// stale load reports, and against routing that degrades when cache events are lost.
#[test]
fn late_reports_and_lost_events_cause_no_herding() {
    let trace = load_trace("ikeja-heldout.jsonl");
    let least = Options {
        policy: Policy::LeastOutstanding,
        ..Options::default()
    };
    let least = run(&trace, least);
    for lag in [0, 1_000, 5_000] {
        for event_loss in [0.0, 0.1, 0.5] {
            let options = Options {
                nodes: 6,
                report_lag: Millis(lag),
                event_loss,
                ..Options::default()
            };
            let outcome = run(&trace, options);
            let row = &outcome.rows[0];
            assert!(
                outcome.largest_share <= 0.5,
                "lag {lag}, loss {event_loss}: {outcome}"
            );
            assert!(
                outcome.recomputed_tokens * 2 <= least.recomputed_tokens,
                "lag {lag}, loss {event_loss}: {outcome}"
            );
            assert!(
                row.good * 100 >= row.requests * 99,
                "lag {lag}, loss {event_loss}: {outcome}"
            );
        }
    }
}

/// Guards against accepted requests that are lost when their host is reclaimed after a notice, or
/// that are retried only while the retry budget allows it.
#[test]
fn hosts_reclaimed_after_a_notice_lose_no_requests() {
    let mut trace = synthetic_trace(6, 60.0, &[SHORT, LONG]);
    for (engine, notice_ms) in [(0, 2_000), (1, 2_000)] {
        trace.reclaims.push(Reclaim {
            at_ms: Millis::from_secs(20 + engine * 5),
            notice_ms: Millis(notice_ms),
            endpoint: format!("engine-{engine}").into(),
        });
    }
    let outcome = run(&trace, Options::default());
    assert!(outcome.retries > 0);
    assert_eq!(outcome.rows[0].good, outcome.rows[0].requests, "{outcome}");
}

/// Guards against a replay whose outcome depends on anything but the trace, the options and the
/// seed.
#[test]
fn a_replay_is_reproducible_by_its_seed() {
    let trace = synthetic_trace(4, 20.0, &[SHORT, LONG]);
    let with = |seed| {
        run(
            &trace,
            Options {
                seed,
                event_loss: 0.3,
                ..Options::default()
            },
        )
    };
    assert_eq!(with(5), with(5));
    assert_ne!(with(5), with(6));
}
