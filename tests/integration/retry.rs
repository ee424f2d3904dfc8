//! Retry budgets, deadlines, backoff and hedging.

use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::retry::{Attempt, Backoff, Decision, Retry};
use almondpath::verdict::Verdict;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn attempt(account: &Arc<str>) -> Attempt<'_, u32> {
    Attempt {
        account,
        endpoint: 1,
        attempts: 1,
        idempotent: true,
        verdict: Verdict::MayHaveRun,
        expected: Millis(100),
        deadline: Millis(10_000),
    }
}

/// Guards against a retry that repeats a non-idempotent call, one after the deadline, and endless
/// retries.
#[test]
fn retries_respect_idempotence_deadline_and_attempts() {
    struct Case {
        name: &'static str,
        change: fn(&mut Attempt<'_, u32>),
        now: Millis,
        expect: fn(Decision) -> bool,
    }
    let retried = |decision| matches!(decision, Decision::After(_));
    let cases = [
        Case {
            name: "an idempotent call is retried",
            change: |_| (),
            now: Millis(0),
            expect: retried,
        },
        Case {
            name: "a non-idempotent call that may have run is not retried",
            change: |a| a.idempotent = false,
            now: Millis(0),
            expect: |d| d == Decision::NotIdempotent,
        },
        Case {
            name: "a non-idempotent call that did not run is retried",
            change: |a| (a.idempotent, a.verdict) = (false, Verdict::NotRun),
            now: Millis(0),
            expect: retried,
        },
        Case {
            name: "no retry that would end after the deadline",
            change: |_| (),
            now: Millis(9_901),
            expect: |d| d == Decision::Deadline,
        },
        Case {
            name: "no sixth attempt",
            change: |a| a.attempts = 5,
            now: Millis(0),
            expect: |d| d == Decision::Attempts,
        },
    ];
    let account = Arc::from("ada");
    for case in cases {
        let mut attempt = attempt(&account);
        (case.change)(&mut attempt);
        let decision = Retry::new(Backoff::default(), 1).decide(&attempt, case.now);
        assert!((case.expect)(decision), "{}: {decision:?}", case.name);
    }
}

/// Guards against a retry storm: if all attempts fail, the load may grow by a tenth at most.
#[test]
fn retries_stay_below_a_tenth_of_first_attempts() {
    let accounts: [Arc<str>; 2] = ["ada".into(), "ben".into()];
    let mut retry = Retry::new(Backoff::default(), 2);
    let mut granted = [0; 2];
    for request in 0..2_000_u32 {
        let index = request as usize % 2;
        let failed = Attempt {
            endpoint: request % 5,
            ..attempt(&accounts[index])
        };
        retry.record_first(&accounts[index], failed.endpoint);
        let decision = retry.decide(&failed, Millis(0));
        granted[index] += u32::from(matches!(decision, Decision::After(_)));
    }
    // Of 1,000 first attempts each, at most a tenth plus the initial two. The lower bound fails
    // when no retries are granted.
    assert!(
        granted.iter().all(|n| (80..=102).contains(n)),
        "{granted:?}"
    );
}

/// Guards against retries for failing endpoints that overload another one.
#[test]
fn retries_add_at_most_their_budget_to_an_endpoint() {
    let account = Arc::from("ada");
    let mut retry = Retry::new(Backoff::default(), 3);
    for _ in 0..1_000 {
        retry.record_first(&account, 1);
        retry.record_first(&account, 2);
    }
    let target = attempt(&account);
    let mut granted = 0;
    while retry.decide(&target, Millis(0)) != Decision::Budget {
        granted += 1;
        for _ in 0..10 {
            retry.record_first(&account, 2);
        }
        assert!(granted < 100, "the budget has no end");
    }
    assert!(granted >= 10, "{granted}");
}

/// Guards against hedges of non-idempotent calls, and of calls that are not slow.
#[test]
fn only_slow_idempotent_calls_are_hedged_once() {
    let account = Arc::from("ada");
    let cases = [
        ("slow", true, 1, 400, true),
        ("not slow yet", true, 1, 399, false),
        ("non-idempotent", false, 1, 400, false),
        ("hedged before", true, 2, 400, false),
    ];
    for (name, idempotent, attempts, waited, expected) in cases {
        let mut retry = Retry::new(Backoff::default(), 4);
        let slow = Attempt {
            idempotent,
            attempts,
            ..attempt(&account)
        };
        let hedged = retry.hedge(&slow, Millis(waited), Millis(400), Millis(0));
        assert_eq!(hedged, expected, "{name}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against delays above the limit, and against requests that are retried in lockstep.
    #[test]
    fn backoff_is_bounded_and_jittered(seed: u64, attempts in 1..40_u32) {
        use rand::SeedableRng;
        let backoff = Backoff { first: Millis(20), limit: Millis(500) };
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let delays: Vec<_> = (0..32).map(|_| backoff.delay(attempts, &mut rng)).collect();
        prop_assert!(delays.iter().all(|d| d.0 <= 500));
        prop_assert!(delays.iter().any(|d| *d != delays[0]));
    }
}
