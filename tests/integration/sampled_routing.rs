//! Routing decisions among so many endpoints that only some of them are scored.

use almondpath::clock::Millis;
use almondpath::config::Class;
use almondpath::routing::{Query, Report, Router, Settings, block_hashes};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENDPOINTS: u32 = 600;

const SLOTS: u32 = 16;

/// Scores that one decision may compute, whatever the number of endpoints.
const MAX_SCORED: usize = 80;

/// Decisions of each kind that are compared.
const DECISIONS: u64 = 2_000;

fn settings(seed: u64) -> Settings {
    Settings {
        seed,
        ..Settings::default()
    }
}

/// Returns a router of endpoints with random loads between none and `most` of their slots.
fn router(endpoints: u32, most: f64, settings: Settings) -> Router<u32> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut router = Router::new(settings);
    for key in 0..endpoints {
        router.upsert(key, u64::from(key), 1.0 + f64::from(key % 3), true);
        let running = (f64::from(SLOTS) * most * rng.random_range(0.0..1.0)) as u32;
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

/// Guards against decisions whose time grows with the number of endpoints.
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

struct Fit {
    name: &'static str,
    class: Class,
    closed: fn(u32) -> bool,
    full: fn(u32) -> bool,
    excluded: fn(u32) -> bool,
    /// Whether an endpoint may be chosen; when none may, no choice is expected.
    expected: fn(u32) -> bool,
}

const NONE: fn(u32) -> bool = |_| false;

/// Guards against requests that are refused, or sent to a full endpoint, because the only one
/// that fits was not drawn.
#[test]
fn an_endpoint_that_fits_is_found_as_by_a_full_scan() {
    let cases = [
        Fit {
            name: "one is open",
            class: Class::Interactive,
            closed: |key| key != 417,
            full: NONE,
            excluded: NONE,
            expected: |key| key == 417,
        },
        Fit {
            name: "one is not excluded",
            class: Class::Interactive,
            closed: NONE,
            full: NONE,
            excluded: |key| key != 599,
            expected: |key| key == 599,
        },
        Fit {
            name: "one has room for long work",
            class: Class::Long,
            closed: NONE,
            full: |key| key != 3,
            excluded: NONE,
            expected: |key| key == 3,
        },
        Fit {
            name: "the only one with room is excluded",
            class: Class::Long,
            closed: NONE,
            full: |key| key != 3,
            excluded: |key| key == 3,
            expected: |key| key != 3,
        },
        Fit {
            name: "all are full of long work, and half closed",
            class: Class::Long,
            closed: |key| key % 2 == 0,
            full: |_| true,
            excluded: NONE,
            expected: |key| key % 2 == 1,
        },
        Fit {
            name: "none is left",
            class: Class::Long,
            closed: |key| key < 300,
            full: NONE,
            excluded: |key| key >= 300,
            expected: NONE,
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
        let some = (0..ENDPOINTS).any(case.expected);
        for blocks in [&[][..], &prompt] {
            let query = Query {
                exclude: &exclude,
                ..query(blocks, case.class)
            };
            for _ in 0..50 {
                let choice = router.choose(&query, Millis(0));
                let right = choice.map_or(!some, |choice| (case.expected)(choice.key));
                assert!(right, "{}: {choice:?}", case.name);
            }
        }
    }
}

struct Quality {
    name: &'static str,
    /// Largest load, in parts of the slots.
    most: f64,
    known: bool,
    cold: bool,
    /// Most milliseconds that the mean expected time may be above that of a full scan.
    above_ms: f64,
}

/// Guards against a sample that misses cached prefixes or endpoints that are clearly better.
#[test]
fn a_sample_is_nearly_as_good_as_a_full_scan() {
    let case = |name, most, known, cold, above_ms| Quality {
        name,
        most,
        known,
        cold,
        above_ms,
    };
    // The times of an endpoint's prefill are 320 ms, of a queue 62 ms for each request.
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
            let mut router = router(ENDPOINTS, case.most, settings);
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
/// its own sample, and against places that are far from evenly spread.
#[test]
fn nodes_place_a_cold_prefix_alike_among_many_endpoints() {
    let mut same = 0;
    let mut first = router(ENDPOINTS, 0.0, settings(1));
    let mut second = router(ENDPOINTS, 0.0, settings(2));
    // Another node knows some endpoints as leaving already.
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
    let most = counts.iter().max().copied().unwrap_or(0);
    println!("{same} of {DECISIONS} placed alike, at most {most} at one endpoint");
    assert!(same * 100 >= DECISIONS * 90, "{same}");
    // The mean is 3.3; with equal chances the most is about 12.
    assert!(most <= 20, "{most}");
}
