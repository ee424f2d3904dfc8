//! Routing decisions among so many endpoints that only a sample of them is scored.

use almondpath::clock::Millis;
use almondpath::config::Class;
use almondpath::routing::{Query, Report, Router, Settings, block_hashes};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENDPOINTS: u32 = 600;

const SLOTS: u32 = 16;

/// Maximum scores that one decision may compute, whatever the number of endpoints.
const MAX_SCORED: usize = 80;

/// Number of decisions compared in each case.
const DECISIONS: u64 = 2_000;

fn settings(seed: u64) -> Settings {
    Settings {
        seed,
        ..Settings::default()
    }
}

/// Returns a router whose endpoints have random loads, up to `max_load` times their slots.
fn router(endpoints: u32, max_load: f64, settings: Settings) -> Router<u32> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut router = Router::new(settings);
    for key in 0..endpoints {
        router.upsert(key, u64::from(key), 1.0 + f64::from(key % 3), true);
        let running = (f64::from(SLOTS) * max_load * rng.random_range(0.0..1.0)) as u32;
        let report = Report {
            running: running.min(SLOTS),
            queued: running.saturating_sub(SLOTS),
            slots: SLOTS,
        };
        router.report(key, report, Millis(0));
    }
    router
}

fn prompt(number: u64) -> Vec<u64> {
    block_hashes(&format!("{number:08}").repeat(100 * 32))
}

fn query(blocks: &[u64], class: Class) -> Query<'_, u32> {
    Query {
        blocks,
        prompt_tokens: u32::try_from(blocks.len() * 64 + 10).expect("a short prompt"),
        class,
        exclude: &[],
    }
}

/// Guards against decisions that take time in proportion to the number of endpoints.
#[test]
fn the_scores_of_a_decision_are_bounded() {
    for endpoints in [100, ENDPOINTS, 5_000] {
        let mut router = router(endpoints, 0.8, settings(1));
        for blocks in [Vec::new(), prompt(1)] {
            let query = query(&blocks, Class::Interactive);
            let choice = router.choose(&query, Millis(0)).expect("a choice");
            assert!(choice.scored <= MAX_SCORED, "{endpoints}: {choice:?}");
        }
    }
}

struct EligibilityCase {
    name: &'static str,
    class: Class,
    closed: fn(u32) -> bool,
    full: fn(u32) -> bool,
    excluded: fn(u32) -> bool,
    /// Whether an endpoint may be chosen; if none may, no choice is expected.
    expected: fn(u32) -> bool,
}

const NO_ENDPOINT: fn(u32) -> bool = |_| false;

/// Guards against requests that are refused, or sent to a full endpoint, because the only eligible
/// one is not in the sample.
#[test]
fn a_sample_finds_an_eligible_endpoint_whenever_there_is_one() {
    let cases = [
        EligibilityCase {
            name: "one is open",
            class: Class::Interactive,
            closed: |key| key != 417,
            full: NO_ENDPOINT,
            excluded: NO_ENDPOINT,
            expected: |key| key == 417,
        },
        EligibilityCase {
            name: "one is not excluded",
            class: Class::Interactive,
            closed: NO_ENDPOINT,
            full: NO_ENDPOINT,
            excluded: |key| key != 599,
            expected: |key| key == 599,
        },
        EligibilityCase {
            name: "one is below its limit of long requests",
            class: Class::Long,
            closed: NO_ENDPOINT,
            full: |key| key != 3,
            excluded: NO_ENDPOINT,
            expected: |key| key == 3,
        },
        EligibilityCase {
            name: "the only one below its limit of long requests is excluded",
            class: Class::Long,
            closed: NO_ENDPOINT,
            full: |key| key != 3,
            excluded: |key| key == 3,
            expected: |key| key != 3,
        },
        EligibilityCase {
            name: "all are at their limit of long requests, and half are closed",
            class: Class::Long,
            closed: |key| key % 2 == 0,
            full: |_| true,
            excluded: NO_ENDPOINT,
            expected: |key| key % 2 == 1,
        },
        EligibilityCase {
            name: "none is left",
            class: Class::Long,
            closed: |key| key < 300,
            full: NO_ENDPOINT,
            excluded: |key| key >= 300,
            expected: NO_ENDPOINT,
        },
    ];
    let prompt = prompt(1);
    for case in cases {
        let mut router = router(ENDPOINTS, 0.5, settings(1));
        for key in 0..ENDPOINTS {
            let full = u32::from((case.full)(key)) * SLOTS / 2;
            for _ in 0..full {
                router.dispatched(key, &query(&[], Class::Long), Millis(0));
            }
            router.upsert(key, u64::from(key), 1.0, !(case.closed)(key));
        }
        let exclude: Vec<u32> = (0..ENDPOINTS).filter(|k| (case.excluded)(*k)).collect();
        let choice_expected = (0..ENDPOINTS).any(case.expected);
        for blocks in [&[][..], &prompt] {
            let query = Query {
                exclude: &exclude,
                ..query(blocks, case.class)
            };
            for _ in 0..50 {
                let choice = router.choose(&query, Millis(0));
                let correct = choice.map_or(!choice_expected, |choice| (case.expected)(choice.key));
                assert!(correct, "{}: {choice:?}", case.name);
            }
        }
    }
}

struct ScanCase {
    name: &'static str,
    /// Highest load of an endpoint, relative to its slots.
    max_load: f64,
    /// Whether each prompt's prefix is cached at an endpoint.
    known: bool,
    /// Whether the prompts have prefixes that no endpoint holds.
    cold: bool,
    /// Maximum difference between the mean expected time and that of a full scan, in milliseconds.
    above_ms: f64,
}

/// Guards against a sample that misses cached prefixes or endpoints that are clearly better.
#[test]
fn a_sample_is_nearly_as_good_as_a_full_scan() {
    let case = |name, max_load, known, cold, above_ms| ScanCase {
        name,
        max_load,
        known,
        cold,
        above_ms,
    };
    // The prefill of a prompt takes 320 ms, and each queued request adds 62 ms.
    let cases = [
        case("no prompt, half loaded", 1.0, false, false, 5.0),
        case("no prompt, overloaded", 2.0, false, false, 5.0),
        case("known prefix, half loaded", 1.0, true, false, 5.0),
        case("known prefix, overloaded", 2.0, true, false, 10.0),
        case("cold prefix, half loaded", 1.0, false, true, 10.0),
        case("cold prefix, overloaded", 2.0, false, true, 10.0),
    ];
    for case in cases {
        let full = Settings {
            scan_limit: usize::MAX,
            ..settings(1)
        };
        let [sampled, full] = [settings(1), full].map(|settings| {
            let mut router = router(ENDPOINTS, case.max_load, settings);
            let mut sum = 0.0;
            for number in 0..DECISIONS {
                let blocks = if case.known || case.cold {
                    prompt(number)
                } else {
                    Vec::new()
                };
                if case.known {
                    router.cache_event(number as u32 % ENDPOINTS, &blocks, true, Millis(0));
                }
                let query = query(&blocks, Class::Interactive);
                let choice = router.choose(&query, Millis(0)).expect("a choice");
                sum += choice.expected_ms;
            }
            sum / DECISIONS as f64
        });
        println!(
            "{}: expected {sampled:.1} ms by a sample, {full:.1} ms by a full scan",
            case.name
        );
        assert!(sampled <= full + case.above_ms, "{}", case.name);
    }
}

/// Guards against nodes that place the same cold prefix at different endpoints because each draws
/// its own sample, and against an uneven spread of cold prefixes over the endpoints.
#[test]
fn nodes_place_a_cold_prefix_at_the_same_of_many_endpoints() {
    let mut same = 0;
    let mut first = router(ENDPOINTS, 0.0, settings(1));
    let mut second = router(ENDPOINTS, 0.0, settings(2));
    // The second node already knows that some endpoints are leaving.
    for key in 0..50 {
        second.close(key * 12);
    }
    let mut counts = vec![0_u32; ENDPOINTS as usize];
    for number in 0..DECISIONS {
        let prompt = prompt(number);
        let query = query(&prompt, Class::Interactive);
        let [a, b] = [&mut first, &mut second].map(|router| {
            let choice = router.choose(&query, Millis(0));
            choice.expect("a choice").key
        });
        same += u64::from(a == b);
        counts[a as usize] += 1;
    }
    let max_count = counts.iter().max().copied().unwrap_or(0);
    println!(
        "{same} of {DECISIONS} placed at the same endpoint, at most {max_count} at one endpoint"
    );
    assert!(same * 100 >= DECISIONS * 90, "{same}");
    // The mean is 3.3; with equal probabilities the maximum is about 12.
    assert!(max_count <= 20, "{max_count}");
}
