//! Admission: fair shares, classes, deadlines, queue limits and shares of global rate limits.

use std::collections::BTreeMap;
use std::sync::Arc;

use almondpath::admission::{Action, Admission, Capacity, Reason, Settings, Share, Ticket};
use almondpath::clock::Millis;
use almondpath::config::Class;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CAPACITY: Capacity = Capacity {
    any: 1,
    long: 1,
    slots: 1,
};

fn ticket(id: u64, account: &str, class: Class) -> Ticket {
    Ticket {
        id,
        account: account.into(),
        class,
        cost: 100.0,
        expected: Millis(100),
        deadline: Millis(60_000),
    }
}

fn enqueue(admission: &mut Admission, ticket: Ticket) -> Result<(), Reason> {
    admission.enqueue(ticket, 1.0, Millis(0))
}

/// Dispatches up to `count` requests and returns their ids.
fn dispatch(admission: &mut Admission, capacity: Capacity, count: usize) -> Vec<u64> {
    let mut ids = Vec::new();
    while ids.len() < count
        && let Some(Action::Dispatch(ticket)) = admission.poll(capacity, Millis(0))
    {
        ids.push(ticket.id);
    }
    ids
}

/// Guards against an account that gets more than its weighted share while others wait.
#[test]
fn backlogged_accounts_share_by_weight() {
    let mut admission = Admission::new(Settings::default());
    admission.configure(&"large".into(), 3.0, None);
    admission.configure(&"small".into(), 1.0, None);
    for id in 0..200 {
        let account = if id % 2 == 0 { "large" } else { "small" };
        enqueue(&mut admission, ticket(id, account, Class::Interactive))
            .expect("the queue has capacity");
    }
    let ids = dispatch(&mut admission, CAPACITY, 80);
    let large = ids.iter().filter(|id| *id % 2 == 0).count();
    assert!((58..=62).contains(&large), "{large} of 80");
}

/// Guards against idle capacity while requests wait, and against an account that is penalized later
/// for capacity that no other account wanted.
#[test]
fn an_account_uses_idle_capacity_without_a_later_penalty() {
    let mut admission = Admission::new(Settings::default());
    for id in 0..100 {
        enqueue(&mut admission, ticket(id, "busy", Class::Interactive))
            .expect("the queue has capacity");
    }
    assert_eq!(dispatch(&mut admission, CAPACITY, 80).len(), 80);
    for id in 100..120 {
        enqueue(&mut admission, ticket(id, "late", Class::Interactive))
            .expect("the queue has capacity");
    }
    let ids = dispatch(&mut admission, CAPACITY, 20);
    let late = ids.iter().filter(|id| **id >= 100).count();
    assert!((9..=11).contains(&late), "{late} of 20");
}

/// Guards against interactive requests that wait behind long ones, and against an account that
/// exceeds its share through the priority of its interactive requests.
#[test]
fn interactive_requests_go_first_within_the_share() {
    let mut admission = Admission::new(Settings {
        lead: 500.0,
        ..Settings::default()
    });
    for id in 0..50 {
        enqueue(&mut admission, ticket(id, "reviews", Class::Long))
            .expect("the queue has capacity");
        enqueue(
            &mut admission,
            ticket(id + 100, "chats", Class::Interactive),
        )
        .expect("the queue has capacity");
    }
    let ids = dispatch(&mut admission, CAPACITY, 40);
    assert!(ids[..5].iter().all(|id| *id >= 100), "{ids:?}");
    let long = ids.iter().filter(|id| **id < 100).count();
    assert!((16..=20).contains(&long), "{long} of 40");
    // Without capacity for long requests, only interactive ones are dispatched.
    let ids = dispatch(
        &mut admission,
        Capacity {
            any: 1,
            long: 0,
            slots: 1,
        },
        10,
    );
    assert!(
        ids.len() == 10 && ids.iter().all(|id| *id >= 100),
        "{ids:?}"
    );
}

/// Guards against dispatch in order of arrival, by which requests miss their deadlines although
/// others could have waited.
#[test]
fn the_earliest_deadline_goes_first() {
    let mut admission = Admission::new(Settings::default());
    for (id, deadline) in [(0, 9_000), (1, 3_000), (2, 6_000)] {
        let ticket = Ticket {
            deadline: Millis(deadline),
            ..ticket(id, "ada", Class::Interactive)
        };
        enqueue(&mut admission, ticket).expect("the queue has capacity");
    }
    assert_eq!(dispatch(&mut admission, CAPACITY, 3), [1, 2, 0]);
}

/// Guards against wrong reasons of refusals, requests that run although they can't meet their
/// deadline, and unbounded queues.
#[test]
fn requests_that_cannot_be_served_are_refused() {
    struct Case {
        name: &'static str,
        queued: u64,
        limit: Option<f64>,
        deadline: Millis,
        expected: Result<(), Reason>,
    }
    let served = Case {
        name: "served",
        queued: 0,
        limit: None,
        deadline: Millis(60_000),
        expected: Ok(()),
    };
    let cases = [
        Case {
            name: "too little time even without queueing",
            deadline: Millis(99),
            expected: Err(Reason::Deadline),
            ..served
        },
        Case {
            name: "too little time after the queue",
            queued: 10,
            // Ten requests of 100 units at 1,000 units per second take a second and fit their
            // deadline.
            deadline: Millis(1_050),
            expected: Err(Reason::Deadline),
            ..served
        },
        Case {
            name: "enough time after the queue",
            queued: 10,
            deadline: Millis(1_300),
            ..served
        },
        Case {
            name: "full queue",
            queued: 256,
            expected: Err(Reason::QueueFull),
            ..served
        },
        Case {
            name: "rate limit exhausted",
            queued: 3,
            limit: Some(150.0),
            expected: Err(Reason::Limit),
            ..served
        },
        served,
    ];
    for case in cases {
        let mut admission = Admission::new(Settings::default());
        admission.configure(&"ada".into(), 1.0, case.limit);
        for step in 0..10 {
            admission.finished("ada", 100.0, Millis(step * 100));
        }
        let now = Millis(1_000);
        for id in 0..case.queued {
            let queued = Ticket {
                expected: Millis(0),
                cost: 1_000.0 / case.queued.max(10) as f64,
                deadline: Millis(2_000),
                ..ticket(id, "ada", Class::Interactive)
            };
            let _ = admission.enqueue(queued, 1.0, now);
        }
        let ticket = Ticket {
            deadline: now + case.deadline,
            ..ticket(1_000, "ada", Class::Interactive)
        };
        assert_eq!(
            admission.enqueue(ticket, 1.0, now),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// Guards against a request that is dispatched too late to meet its deadline, and against one that
/// stays queued forever while there is no free capacity.
#[test]
fn expired_requests_leave_the_queue_unserved() {
    let mut admission = Admission::new(Settings::default());
    enqueue(&mut admission, ticket(7, "ada", Class::Long)).expect("the queue has capacity");
    let full = Capacity {
        any: 0,
        long: 0,
        slots: 1,
    };
    assert_eq!(admission.poll(full, Millis(59_900)), None);
    let expired = admission.poll(full, Millis(59_901));
    assert!(matches!(expired, Some(Action::Refuse(t, Reason::Deadline)) if t.id == 7));
    assert_eq!(admission.queued(), 0);
}

const WINDOW_MS: u64 = 2_000;
const PEER_TIMEOUT_MS: u64 = 6_000;
const STEP_MS: u64 = 250;
const MIN_SHARE: f64 = 0.02;

/// A change of the nodes or of the network.
#[derive(Clone, Debug)]
enum Change {
    Demand(usize, f64),
    Join,
    Leave(usize),
    Partition(bool),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        6 => (0..8_usize, prop_oneof![Just(0.0), 1.0..1_000.0]).prop_map(|(n, d)| Change::Demand(n, d)),
        1 => Just(Change::Join),
        1 => (0..8_usize).prop_map(Change::Leave),
        1 => any::<bool>().prop_map(Change::Partition),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against nodes that together admit more than the rate limit while demand changes,
    /// nodes join and leave, announcements are delayed, and the network is partitioned.
    #[test]
    fn shares_of_a_limit_stay_within_the_bound(
        changes in prop::collection::vec((0..12_u64, change()), 1..80),
        delays in prop::collection::vec(0..WINDOW_MS, 64),
    ) {
        let name = |id: usize| -> Arc<str> { format!("node-{id}").into() };
        let start = |id: usize, now| {
            (id, Share::new(Millis(WINDOW_MS), Millis(PEER_TIMEOUT_MS), Millis(now)), 0.0)
        };
        let mut nodes = vec![start(0, 0), start(1, 0), start(2, 0)];
        let mut next = 3;
        let mut partitioned = false;
        let mut last_partitioned_at = 0;
        // Announcements in flight: (arrival, number) to (receiver, sender, demand).
        let mut messages = BTreeMap::new();
        let (mut now, mut sent) = (0, 0_usize);
        for (steps, change) in changes {
            match change {
                Change::Demand(index, demand) => {
                    let count = nodes.len();
                    nodes[index % count].2 = demand;
                }
                Change::Join if nodes.len() < 8 => {
                    nodes.push(start(next, now));
                    next += 1;
                }
                Change::Leave(index) if nodes.len() > 1 => {
                    nodes.remove(index % nodes.len());
                }
                Change::Partition(active) => {
                    partitioned = active;
                }
                _ => {}
            }
            for _ in 0..=steps {
                now += STEP_MS;
                let ids: Vec<usize> = nodes.iter().map(|n| n.0).collect();
                for (id, share, demand) in &mut nodes {
                    share.record_own(*demand, Millis(now));
                    for to in ids
                        .iter()
                        .filter(|to| *to != id && (!partitioned || *to % 2 == *id % 2))
                    {
                        sent += 1;
                        // The delay is constant per pair, so that announcements stay in order.
                        let delay = delays[(*id * 8 + to) % 64] / 2;
                        messages.insert((now + delay, sent), (*to, *id, *demand));
                    }
                }
                let later = messages.split_off(&(now + 1, 0));
                for (to, from, demand) in std::mem::replace(&mut messages, later).into_values() {
                    if let Some(node) = nodes.iter_mut().find(|n| n.0 == to) {
                        node.1.record_peer(&name(from), demand, Millis(now));
                    }
                }
                let sum: f64 = nodes.iter().map(|n| n.1.current(Millis(now))).sum();
                if partitioned {
                    last_partitioned_at = now;
                }
                let healed = last_partitioned_at == 0
                    || now >= last_partitioned_at + WINDOW_MS + STEP_MS;
                let groups = if healed { 1.0 } else { 2.0 };
                let bound = groups + MIN_SHARE * nodes.len() as f64;
                prop_assert!(sum <= bound + 1e-9, "{sum} over {bound} at {now}");
            }
        }
    }
}

/// Guards against shares that are not proportional to the demand.
#[test]
fn shares_follow_demand() {
    let mut share = Share::new(Millis(WINDOW_MS), Millis(PEER_TIMEOUT_MS), Millis(0));
    let peer: Arc<str> = "peer".into();
    for step in 0..20 {
        share.record_own(300.0, Millis(step * STEP_MS));
        share.record_peer(&peer, 100.0, Millis(step * STEP_MS));
    }
    assert!((share.current(Millis(5_000)) - 0.75).abs() < 1e-9);
    share.forget(Some("peer"), Millis(PEER_TIMEOUT_MS));
    assert!((share.current(Millis(PEER_TIMEOUT_MS)) - 1.0).abs() < 1e-9);
}

/// Guards against shares of a rate limit that stay too large, or too small, after an hour of
/// network partition between two regions.
#[test]
fn shares_recover_after_an_hour_of_partition() {
    const HOUR_MS: u64 = 3_600_000;
    const NODES: usize = 4;
    struct Case {
        name: &'static str,
        demand: [f64; NODES],
        partitioned: [f64; NODES],
        healed: [f64; NODES],
    }
    // The first two nodes are in one region, the last two in the other.
    let cases = [
        Case {
            name: "even demand",
            demand: [100.0; NODES],
            partitioned: [0.5; NODES],
            healed: [0.25; NODES],
        },
        Case {
            name: "uneven demand",
            demand: [300.0, 100.0, 400.0, 0.0],
            partitioned: [0.75, 0.25, 1.0, 0.02],
            healed: [0.375, 0.125, 0.5, 0.02],
        },
    ];
    for case in cases {
        let names: Vec<Arc<str>> = (0..NODES).map(|n| format!("node-{n}").into()).collect();
        let share = || Share::new(Millis(WINDOW_MS), Millis(PEER_TIMEOUT_MS), Millis(0));
        let mut shares: Vec<Share> = (0..NODES).map(|_| share()).collect();
        let mut now = 0;
        let mut run = |time: u64, partitioned: bool, shares: &mut Vec<Share>| {
            let end = now + time;
            while now < end {
                now += STEP_MS;
                for from in 0..NODES {
                    shares[from].record_own(case.demand[from], Millis(now));
                    for to in (0..NODES).filter(|to| *to != from) {
                        if !partitioned || from / 2 == to / 2 {
                            shares[to].record_peer(&names[from], case.demand[from], Millis(now));
                        }
                    }
                }
                shares.iter_mut().for_each(|s| s.forget(None, Millis(now)));
            }
            shares.iter().map(|s| s.current(Millis(now))).collect()
        };
        let assert_close = |found: Vec<f64>, expected: [f64; NODES], when: &str| {
            for (found, expected) in found.iter().zip(expected) {
                let near = (found - expected).abs() < 1e-9;
                assert!(near, "{}, {when}: {found}, expected {expected}", case.name);
            }
        };
        assert_close(
            run(10 * PEER_TIMEOUT_MS, false, &mut shares),
            case.healed,
            "before",
        );
        assert_close(
            run(HOUR_MS, true, &mut shares),
            case.partitioned,
            "partitioned",
        );
        assert_close(run(STEP_MS, false, &mut shares), case.healed, "healed");
    }
}
