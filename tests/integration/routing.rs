//! Routing decisions among few endpoints, all of which are scored.

use almondpath::clock::Millis;
use almondpath::config::Class;
use almondpath::routing::{Query, Report, Router, Settings, block_hashes};

const LONG_PROMPT_BLOCKS: usize = 100;

pub(crate) fn router(endpoints: u32, seed: u64) -> Router<u32> {
    let settings = Settings {
        seed,
        ..Settings::default()
    };
    let mut router = Router::new(settings);
    for key in 0..endpoints {
        router.upsert(key, u64::from(key), 1.0, true);
    }
    router
}

fn query(blocks: &[u64]) -> Query<'_, u32> {
    Query {
        blocks,
        prompt_tokens: u32::try_from(blocks.len() * 64 + 10).expect("a short prompt"),
        class: Class::Interactive,
        exclude: &[],
    }
}

fn prompt(number: u64) -> Vec<u64> {
    block_hashes(&format!("{number:08}").repeat(LONG_PROMPT_BLOCKS * 32))
}

/// Guards against a long prefix that is recomputed although an endpoint has it cached.
#[test]
fn a_known_prefix_is_routed_to_its_holder() {
    let mut router = router(10, 1);
    let prompt = prompt(7);
    assert_eq!(prompt.len(), LONG_PROMPT_BLOCKS);
    router.dispatched(3, &query(&prompt), Millis(0));
    router.started(3, &query(&prompt), 0, 0, Millis(10));
    router.release_prefill(3, Class::Interactive, query(&prompt).prompt_tokens);
    let choice = router
        .choose(&query(&prompt), Millis(20))
        .expect("a choice");
    assert_eq!(choice.key, 3);
    assert!(choice.matched_tokens > 6_000, "{choice:?}");
    // Waiting for an overloaded holder takes longer than computing the prefix elsewhere.
    let report = Report {
        running: 16,
        queued: 40,
        slots: 16,
    };
    router.report(3, report, Millis(30));
    let choice = router
        .choose(&query(&prompt), Millis(40))
        .expect("a choice");
    assert_ne!(choice.key, 3);
}

/// Guards against nodes that place the same cold prefix at different endpoints.
#[test]
fn nodes_place_a_cold_prefix_at_the_same_endpoint() {
    let mut same = 0;
    for number in 0..50 {
        let prompt = prompt(number);
        let mut first = router(10, number);
        let mut second = router(10, number + 1_000);
        let choices = [&mut first, &mut second].map(|r| r.choose(&query(&prompt), Millis(0)));
        same += i32::from(choices[0].map(|c| c.key) == choices[1].map(|c| c.key));
    }
    assert_eq!(same, 50);
}

/// Guards against nodes with the same stale load reports that all choose the same endpoint.
#[test]
fn near_equal_endpoints_share_the_load() {
    let mut counts = [0_u32; 10];
    for seed in 0..1_000 {
        let mut router = router(10, seed);
        let choice = router.choose(&query(&[]), Millis(0)).expect("a choice");
        counts[choice.key as usize] += 1;
    }
    assert!(counts.iter().all(|n| (50..=200).contains(n)), "{counts:?}");
}

/// Guards against prefix entries that count in full after cache events were lost.
#[test]
fn lost_cache_events_make_entries_stale_until_the_next_use() {
    let mut router = router(10, 1);
    let prompt = prompt(7);
    let matched = |router: &mut Router<u32>| {
        let choice = router
            .choose(&query(&prompt), Millis(2_000))
            .expect("a choice");
        choice.matched_tokens
    };
    router.cache_event(3, &prompt, true, Millis(0));
    let fresh = matched(&mut router);
    router.cache_events_lost(3, Millis(1_000));
    let stale = matched(&mut router);
    router.started(3, &query(&prompt), 0, 6_400, Millis(2_000));
    assert!(stale * 2 <= fresh && stale > 0, "{stale} of {fresh}");
    assert_eq!(matched(&mut router), fresh);
    router.cache_event(3, &prompt, false, Millis(3_000));
    assert_eq!(matched(&mut router), 0);
}

/// Guards against an index that grows without bound or evicts the most recently used entries.
#[test]
fn the_prefix_index_is_bounded_per_endpoint() {
    let mut router = router(10, 1);
    let hot = prompt(0);
    for number in 1..100 {
        router.cache_event(3, &hot, true, Millis(number * 1_000));
        router.cache_event(3, &prompt(number), true, Millis(number * 1_000));
    }
    assert!(router.prefix_len() <= 1_024, "{}", router.prefix_len());
    let now = Millis(100_000);
    let choice = router.choose(&query(&hot), now).expect("a choice");
    assert!(choice.matched_tokens > 6_000, "{choice:?}");
    router.remove(3);
    assert_eq!(router.prefix_len(), 0);
}

/// Guards against requests to endpoints that are closed, excluded or at their limit of long
/// requests.
#[test]
fn ineligible_endpoints_are_not_chosen() {
    let mut router = router(3, 1);
    router.upsert(0, 0, 1.0, false);
    let long = Query {
        class: Class::Long,
        ..query(&[])
    };
    for _ in 0..8 {
        router.dispatched(1, &long, Millis(0));
    }
    assert_eq!(router.free_slots(Class::Long, Millis(0)), 8);
    // Only the limit keeps long requests away from the endpoint with less load.
    let report = Report {
        running: 15,
        queued: 10,
        slots: 16,
    };
    router.report(2, report, Millis(0));
    assert_eq!(router.choose(&long, Millis(0)).expect("a choice").key, 2);
    let excluded = Query {
        exclude: &[1, 2],
        ..query(&[])
    };
    assert_eq!(router.choose(&excluded, Millis(0)), None);
}
