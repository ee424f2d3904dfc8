//! Counts of requests for the usage reports, exchanged between nodes.

use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::gateway::{Counts, Usage};

const WINDOW: Millis = Millis(5_000);
const MAX_WINDOWS: usize = 4;

fn usage() -> Usage {
    Usage::new(WINDOW, MAX_WINDOWS)
}

/// Returns counts of one account in one window.
fn counts(window: u64, count: u64) -> Counts {
    let account: Arc<str> = "account".into();
    Counts::from([(window, [(account, count)].into())])
}

fn total(usage: &Usage, window: u64) -> u64 {
    usage.sum(window).values().sum()
}

/// Guards against counts that shrink, because a relayed report arrives after a later one of the run.
#[test]
fn an_earlier_report_does_not_replace_a_later_one() {
    let node: Arc<str> = "n1".into();
    let mut usage = usage();
    usage.merge(&node, 1, counts(7, 20));
    usage.merge(&node, 1, counts(7, 12));
    assert_eq!(total(&usage, 7), 20);
    usage.merge(&node, 2, counts(7, 3));
    assert_eq!(total(&usage, 7), 23, "another run counts by itself");
}

/// Guards against a window that lacks the requests of a lost holder, because the next holder was not
/// among the nodes that it reported to.
#[test]
fn the_counts_of_a_lost_holder_reach_the_next_one() {
    let (lost, live): (Arc<str>, Arc<str>) = ("n1".into(), "n2".into());
    let mut reader = usage();
    reader.merge(&lost, 1, counts(7, 20));
    reader.merge(&live, 5, counts(7, 8));
    let mut next_holder = usage();
    next_holder.merge(&live, 5, counts(7, 9));
    for (node, incarnation, counts) in reader.of_lost_runs(|node, _| *node == live) {
        next_holder.merge(node, incarnation, counts.clone());
    }
    assert_eq!(total(&next_holder, 7), 29);
}

/// Guards against counts of other runs that pile up at a node which never reports them.
#[test]
fn counts_of_other_runs_are_bounded_and_forgotten() {
    let node: Arc<str> = "n1".into();
    let mut usage = usage();
    for window in 0..100 {
        usage.merge(&node, 1, counts(window, 1));
    }
    assert_eq!(total(&usage, 90), 0);
    assert_eq!(total(&usage, 99), 1);
    usage.forget_before(100);
    assert_eq!(usage.of_lost_runs(|_, _| false).count(), 0);
}
