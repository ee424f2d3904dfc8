//! The lease of the duties under every order of events.

use std::collections::BTreeMap;

use almondpath::clock::Millis;
use almondpath::gateway::{DutyRecord, Lease, Terms};
use proptest::prelude::*;

const TERMS: Terms = Terms {
    valid_for: Millis(2_500),
    takeover_after: Millis(3_800),
};

/// Longest time between the check of the lease and the arrival of a call.
const CALL_MS: u64 = 1_200;

const NODES: usize = 3;

/// What a node does in a step.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The append is stored, and its answer is lost.
    AnswerLost,
    /// The append arrives after this many steps, if its condition still holds.
    Late(usize),
    /// The append is lost.
    Lost,
    /// The node does nothing, as a process that is frozen.
    Frozen,
    /// The node can't reach the store.
    Cut,
}

struct World {
    log: Vec<DutyRecord>,
    nodes: Vec<Lease>,
    late: Vec<(usize, u64, DutyRecord)>,
    acted: Vec<(Millis, usize, u64)>,
}

impl World {
    fn new() -> Self {
        let lease = |n| Lease::new(format!("n{n}").into(), 1, TERMS, Millis(0));
        Self {
            log: Vec::new(),
            nodes: (0..NODES).map(lease).collect(),
            late: Vec::new(),
            acted: Vec::new(),
        }
    }

    fn store(&mut self, at: u64, entry: DutyRecord) -> bool {
        let holds = at == self.log.len() as u64;
        if holds {
            self.log.push(entry);
        }
        holds
    }

    fn arrivals(&mut self, step: usize) {
        let (due, rest) = self.late.drain(..).partition(|(when, _, _)| *when <= step);
        self.late = rest;
        let due: Vec<(usize, u64, DutyRecord)> = due;
        for (_, at, entry) in due {
            self.store(at, entry);
        }
    }

    fn read(&mut self, node: usize, now: Millis) {
        let lease = &mut self.nodes[node];
        while let Some(entry) = self.log.get(lease.next() as usize) {
            lease.apply(lease.next(), entry.clone(), now);
        }
        lease.mark_caught_up();
    }

    fn step(&mut self, step: usize, node: usize, fault: Fault, now: Millis) {
        if matches!(fault, Fault::Frozen | Fault::Cut) {
            if matches!(fault, Fault::Cut) {
                self.act(node, now);
            }
            return;
        }
        self.read(node, now);
        let lease = &mut self.nodes[node];
        let entry = if lease.is_held() {
            let fence = lease.holder().expect("a holder").1;
            let number = lease.begin_append(now);
            DutyRecord::Renew { fence, number }
        } else if lease.is_available(now) {
            DutyRecord::Take {
                node: format!("n{node}").into(),
                incarnation: 1,
                number: lease.begin_append(now),
            }
        } else {
            return;
        };
        let at = lease.next();
        match fault {
            Fault::Late(steps) => self.late.push((step + steps, at, entry)),
            Fault::Lost => {}
            Fault::AnswerLost => {
                self.store(at, entry);
            }
            _ => {
                if self.store(at, entry.clone()) {
                    self.nodes[node].apply(at, entry, now);
                }
            }
        }
        self.act(node, now);
    }

    fn act(&mut self, node: usize, now: Millis) {
        if let Some(holder) = self.nodes[node].valid_holder(now) {
            self.acted.push((now, node, holder.fence));
        }
    }
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::AnswerLost),
        1 => (1_usize..30).prop_map(Fault::Late),
        1 => Just(Fault::Lost),
        2 => Just(Fault::Frozen),
        2 => Just(Fault::Cut),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against two holders at one time, a fence that goes down, and one fence of two nodes.
    #[test]
    fn one_node_acts_at_a_time_and_fences_only_grow(
        steps in prop::collection::vec((0..NODES, 1_u64..900, faults(), 1_usize..8), 1..120),
    ) {
        let mut world = World::new();
        let mut now = Millis(0);
        for (step, (node, passed, fault, times)) in steps.into_iter().enumerate() {
            for _ in 0..times {
                now += Millis(passed);
                world.arrivals(step);
                world.step(step, node, fault, now);
            }
        }
        let mut owners: BTreeMap<u64, usize> = BTreeMap::new();
        let mut highest = 0;
        for (at, node, fence) in &world.acted {
            prop_assert!(*fence >= highest, "fence {fence} after {highest} at {at}");
            highest = *fence;
            prop_assert_eq!(*owners.entry(*fence).or_insert(*node), *node);
        }
        for pair in world.acted.windows(2) {
            let ((before, one, _), (after, other, _)) = (pair[0], pair[1]);
            if one != other {
                // A call that was checked before may still be on its way.
                prop_assert!(after.0 - before.0 >= TERMS.takeover_after.0 - TERMS.valid_for.0);
                prop_assert!(after.0 - before.0 >= CALL_MS);
            }
        }
    }
}

/// Guards against two counts for one window after the holder changes.
#[test]
fn the_first_count_of_a_window_stays() {
    let mut lease = Lease::new("n".into(), 1, TERMS, Millis(0));
    let usage = |count| DutyRecord::Usage {
        fence: 0,
        window: 7,
        counts: [("account".into(), count)].into(),
        number: 0,
    };
    lease.apply(0, usage(5), Millis(0));
    lease.apply(1, usage(6), Millis(10));
    assert_eq!(lease.totals(7).and_then(|c| c.get("account")), Some(&5));
}

/// Guards against a day without duties: nobody waits for a holder that never was.
#[test]
fn an_empty_topic_is_taken_at_once_after_it_was_read() {
    let mut lease = Lease::new("n".into(), 1, TERMS, Millis(0));
    assert!(!lease.is_available(Millis(1)), "nothing was read yet");
    lease.mark_caught_up();
    assert!(lease.is_available(Millis(1)));
}
