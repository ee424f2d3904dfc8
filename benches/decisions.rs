//! Benchmarks of routing and admission decisions. The time budget of a routing decision among 600
//! endpoints is 20 microseconds.

#![allow(
    missing_docs,
    reason = "the macros of criterion generate public functions"
)]

use std::hint::black_box;

use almondpath::admission::{Admission, Capacity, Settings, Ticket};
use almondpath::clock::Millis;
use almondpath::config::Class;
use almondpath::routing::{self, Matches, PrefixIndex, Query, Report, Router};
use criterion::{Criterion, criterion_group, criterion_main};

const ENDPOINT_COUNTS: [u32; 3] = [10, 100, 600];

/// Blocks of a long prompt, 8,000 tokens.
const BLOCKS_PER_PROMPT: u64 = 125;

/// Returns the blocks of a prompt.
fn prompt(number: u64) -> Vec<u64> {
    (0..BLOCKS_PER_PROMPT)
        .map(|block| (number * BLOCKS_PER_PROMPT + block + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect()
}

fn query(blocks: &[u64]) -> Query<'_, u32> {
    Query {
        blocks,
        prompt_tokens: 8_000,
        class: Class::Interactive,
        exclude: &[],
    }
}

/// Returns a router whose prefix index is full: eight long prompts per endpoint.
fn full_router(endpoints: u32) -> Router<u32> {
    let mut router = Router::new(routing::Settings::default());
    for key in 0..endpoints {
        router.upsert(key, u64::from(key), 1.0 + f64::from(key % 3), true);
        let report = Report {
            running: key % 16,
            queued: 0,
            slots: 16,
        };
        router.report(key, report, Millis(u64::from(key)));
        for number in 0..9 {
            let blocks = prompt(u64::from(key) * 9 + number);
            router.cache_event(key, &blocks, true, Millis(0));
        }
    }
    router
}

/// Returns the resident set size of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse().ok());
    pages.unwrap_or(0_u64) * 4_096
}

fn routing_decisions(criterion: &mut Criterion) {
    for size in ENDPOINT_COUNTS {
        let before = resident_bytes();
        let mut router = full_router(size);
        let grown = resident_bytes().saturating_sub(before);
        println!(
            "router with {size} endpoints: {} prefix entries, {} KiB",
            router.prefix_len(),
            grown / 1_024
        );
        let known = prompt(u64::from(size) * 4);
        let cold = prompt(1_000_000);
        let now = Millis(1_000);
        for (name, blocks) in [("known", &known), ("cold", &cold), ("none", &Vec::new())] {
            criterion.bench_function(&format!("route/{size}/{name}"), |bencher| {
                bencher.iter(|| router.choose(black_box(&query(blocks)), now));
            });
        }
    }
}

fn prefix_lookups(criterion: &mut Criterion) {
    for size in ENDPOINT_COUNTS {
        let mut prefixes = PrefixIndex::new(1_024);
        for slot in 0..size {
            for number in 0..8 {
                let blocks = prompt(u64::from(slot) * 8 + number);
                prefixes.insert(slot as u16, &blocks, Millis(0));
            }
        }
        let mut matches = Matches::default();
        let blocks = prompt(u64::from(size) * 4);
        criterion.bench_function(&format!("prefix/{size}"), |bencher| {
            bencher.iter(|| prefixes.lookup(black_box(&blocks), &mut matches));
        });
    }
}

fn admission_decisions(criterion: &mut Criterion) {
    let capacity = Capacity {
        any: 1_000,
        long: 1_000,
        slots: 1_000,
    };
    for accounts in [5_u64, 50, 500] {
        let mut admission = Admission::new(Settings::default());
        let before = resident_bytes();
        let mut id = 0;
        let mut enqueue = |admission: &mut Admission| {
            id += 1;
            let ticket = Ticket {
                id,
                account: format!("account-{}", id % accounts).into(),
                class: Class::Interactive,
                cost: 1_000.0,
                expected: Millis(100),
                deadline: Millis(1_000_000 + id),
            };
            admission.enqueue(ticket, 1.0, Millis(1_000))
        };
        for _ in 0..1_000 {
            // The measured state includes a full queue.
            let _ = enqueue(&mut admission);
        }
        let grown = resident_bytes().saturating_sub(before);
        println!(
            "admission with {accounts} accounts and a full queue: {} KiB",
            grown / 1_024
        );
        criterion.bench_function(&format!("admit/{accounts}"), |bencher| {
            bencher.iter(|| {
                let _ = enqueue(&mut admission);
                admission.poll(capacity, Millis(1_000))
            });
        });
    }
}

criterion_group!(
    decisions,
    routing_decisions,
    prefix_lookups,
    admission_decisions
);
criterion_main!(decisions);
